"""Control duties and the leases on them."""
