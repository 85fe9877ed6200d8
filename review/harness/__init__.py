"""Stand-ins and helpers for the review's scripts; standard library only."""
