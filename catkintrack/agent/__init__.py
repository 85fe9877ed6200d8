"""Run the agent, the process of an instance that coordinates with its peers."""
