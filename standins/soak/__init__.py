"""A fault soak of daemons on the emulated users' platform."""
