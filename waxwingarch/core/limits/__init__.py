"""Limits, fair shares and budgets."""
