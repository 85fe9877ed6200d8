"""Run the agent."""
