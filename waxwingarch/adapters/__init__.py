"""Implementations of the ports, and other code that does input or output."""
