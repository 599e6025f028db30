"""What entry hosts tell each other directly, a few times a second."""
