"""Tests of moves."""
