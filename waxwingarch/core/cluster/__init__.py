"""How the entry hosts act together."""
