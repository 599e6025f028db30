"""Tests of the cluster of entry hosts."""
