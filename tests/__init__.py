"""Tests of waxwingarch."""
