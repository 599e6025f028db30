"""Requests in progress, from arrival to the final answer."""
