"""How many hosts of which class to run."""
