"""Adapters between the users' platform and waxwingarch's own types."""
