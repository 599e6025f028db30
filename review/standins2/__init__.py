"""Stand-ins of the second review's scripts."""
