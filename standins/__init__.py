"""Stand in for the systems around catkintrack, for tests and demonstrations."""
