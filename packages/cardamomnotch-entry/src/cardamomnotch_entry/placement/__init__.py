"""The planner, at one entry at a time."""
