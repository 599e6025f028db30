"""Command-line tool of waxwingarch."""
