"""Run an instance, a process that serves calls and coordinates with its peers."""
