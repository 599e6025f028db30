"""Choice of a backend server for an attempt."""
