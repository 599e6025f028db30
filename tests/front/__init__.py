"""Tests of a whole host on the emulated platform."""
