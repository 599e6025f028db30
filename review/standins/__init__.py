"""Stand-ins and the common parts of the review's scripts."""
