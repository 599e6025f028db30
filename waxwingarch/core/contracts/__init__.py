"""Contracts of client accounts in force."""
