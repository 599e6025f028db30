"""Planning of how many hosts of which machine class to run."""
