"""Model checks."""
