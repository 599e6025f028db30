"""Asyncio tasks that do the I/O of a node: they execute its actions."""
