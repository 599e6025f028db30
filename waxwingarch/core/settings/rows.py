"""Rows of the table service and the transactions on them."""

from dataclasses import dataclass
from typing import Any, Final

MAX_TRANSACTION_WRITES: Final = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read.

    If it is absent, `value` is None; `version` is then 0 if the row never
    existed, while a deleted row keeps a version.
    """

    table: str
    key: str
    value: Any
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """The version that a row must have for a transaction to commit."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """The new value of a row, as JSON types; None deletes the row."""

    table: str
    key: str
    value: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed:
    """A transaction took effect.

    `versions` holds the new version of each written row, in order.
    """

    versions: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A transaction took no effect.

    `rows` are those whose versions did not match the conditions.
    """

    rows: tuple[Row, ...]
