"""Specifications of the core protocols for model checking."""
