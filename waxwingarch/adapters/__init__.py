"""Implementations of the ports over real transports."""
