"""Protocols for the external services that the daemon uses."""
