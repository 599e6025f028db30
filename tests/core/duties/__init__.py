"""Tests of the duties of the contract node and their leases."""
