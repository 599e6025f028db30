"""Versions of the store's rows, ordered also across eras of the store.

The store counts its transactions. When it returns from an older copy it
goes on from the count of that copy and begins a new era. A version that
this system keeps combines both, so that each version of a later era is
greater than all versions of the eras before.
"""

from typing import Final

# Transactions that fit into one era: at 4,000 a second for eight years.
ERA_BITS: Final = 40


def make_version(era: int, count: int) -> int:
    """Return the version for a count of transactions in an era."""
    return (era << ERA_BITS) + count


def era_of(version: int) -> int:
    """Return the era that a version belongs to."""
    return version >> ERA_BITS


def count_of(version: int) -> int:
    """Return the count of transactions, which the store knows."""
    return version & ((1 << ERA_BITS) - 1)
