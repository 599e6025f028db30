"""Version moves that an operator orders for a service of the platform."""
