"""Build test data and run fleets of processes for tests and benchmarks."""
