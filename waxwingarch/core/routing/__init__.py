"""Routes, services and client accounts of the configuration in force."""
