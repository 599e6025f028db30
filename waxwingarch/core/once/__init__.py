"""Requests that are run at most once, guarded by claim rows."""
