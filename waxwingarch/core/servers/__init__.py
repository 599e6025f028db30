"""Backend servers: their registry, orders to them and their reclaim."""
