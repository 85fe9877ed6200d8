"""Run the router."""
