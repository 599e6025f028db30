"""Requests that run at most once."""
