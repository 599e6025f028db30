"""Interfaces between the daemon and what lies outside it."""
