"""Stand-ins for what the system works with: targets, and callers' load."""
