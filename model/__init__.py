"""Small specifications of the core protocols, for model checking."""
