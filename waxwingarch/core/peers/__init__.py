"""Reports that hosts send to each other directly, several times a second."""
