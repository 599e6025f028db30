"""Backend servers: the book of them, reclaim and orders."""
