"""Version moves."""
