"""Tests of waxwingarch.tasks."""
