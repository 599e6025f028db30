"""Small stand-ins for the systems waxwingarch talks to."""
