"""Prompt parts under which backend servers crash."""
