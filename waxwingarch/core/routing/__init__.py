"""Routes, services and accounts of the configuration in force."""
