"""Tests of once."""
