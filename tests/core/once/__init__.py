"""Tests of requests that run at most once."""
