"""Replay seeded workloads against a fleet and measure what clients see."""
