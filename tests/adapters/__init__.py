"""Tests of waxwingarch.adapters."""
