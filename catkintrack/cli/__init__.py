"""Run the cli."""
