"""Tests of servers."""
