"""Simulate the external systems of catkintrack for tests and demonstrations."""
