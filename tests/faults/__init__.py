"""Failure tests on real processes."""
