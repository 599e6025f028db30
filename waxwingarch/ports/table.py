"""The port to the table service."""

from collections.abc import Sequence
from typing import Protocol

from waxwingarch.core.settings.rows import (
    Committed,
    Condition,
    Conflict,
    Row,
    Write,
)
from waxwingarch.exceptions import PlatformUnavailableError

__all__ = [
    "Committed",
    "Condition",
    "Conflict",
    "Row",
    "TableReplyLostError",
    "TableStore",
    "TableUnavailableError",
    "Write",
]


class TableUnavailableError(PlatformUnavailableError):
    """The call was certainly not applied; retry after `retry_after_s`."""

    def __init__(self, message: str, retry_after_s: float = 1.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class TableReplyLostError(PlatformUnavailableError):
    """The reply was lost: the call may have been applied.

    The caller has to read the rows back.
    """


class TableStore(Protocol):
    """Versioned rows with transactions.

    Deadlines are on the event loop's clock.
    """

    async def async_get(self, table: str, key: str, *, deadline: float) -> Row:
        """Return a row; raises `TableUnavailableError`."""

    async def async_scan(
        self,
        table: str,
        *,
        deadline: float,
        prefix: str = "",
        after: str = "",
        limit: int = 1000,
    ) -> tuple[Row, ...]:
        """Return at most `limit` rows, in the order of their keys.

        Their keys begin with `prefix` and are greater than `after`. Raises
        `TableUnavailableError`.
        """

    async def async_transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        *,
        deadline: float,
    ) -> Committed | Conflict:
        """Commit all writes if all conditions hold, none otherwise.

        Raises `TableUnavailableError` or `TableReplyLostError`.
        """
