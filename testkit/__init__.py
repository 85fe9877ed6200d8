"""Build test data and run the real processes for tests."""
