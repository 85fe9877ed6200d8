"""Run an instance process, which serves calls and coordinates with its peers."""
