"""Tests of capacity."""
