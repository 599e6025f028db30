"""Keeps a copy of one table of the store: a full read, then changes."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import Final

from eliot import log_message, write_traceback

from waxwingarch.adapters.platform_http import Backoff
from waxwingarch.core.peers.report_gossip import LONG_POLL_S
from waxwingarch.ports.front import (
    HistoryLostError,
    Rows,
    RowStore,
    StoredRow,
    StoreUnavailableError,
)

# A long poll may exceed its hold time by this much before its connection is
# given up.
HOLD_GRACE_S: Final = 0.7
READ_TIMEOUT_S: Final = 1.5
# Bound of a call while the store is unreachable. Such a call asks the store
# to respond at once, because a store that went silent during a long poll never
# responds to that call, even after its recovery.
PROBE_TIMEOUT_S: Final = 0.7
RETRY_DELAY_MAX_S: Final = 0.5
# Interval of full reads while the store discards its history all the time.
HISTORY_LOST_INTERVAL_S: Final = 0.3
# Rows that the store dropped during an outage are registered again within
# about two seconds of its recovery.
REREGISTRATION_S: Final = 2.5
# Bound of the removed keys that are kept, so that peers learn of removals.
MAX_REMOVED_KEYS: Final = 1000
# Changes come in groups. This pause after a change lets the next call return
# several.
CHANGE_BATCH_PAUSE_S: Final = 0.1

WatchCallback = Callable[["TableWatch"], None]
# Returns the number of a row's content, which never falls, or 0 for a row
# whose content has none.
ContentNumber = Callable[[StoredRow], int]


@dataclass(frozen=True, kw_only=True, slots=True)
class TableChanges:
    """Changes of a table since a version, or a snapshot of all its rows.

    A row whose value is None was removed. With `after_outage`, rows that
    are missing may be registered again.
    """

    version: int
    is_snapshot: bool
    after_outage: bool
    rows: tuple[StoredRow, ...]


class TableWatch:
    """A copy of a table that follows the store or the peers.

    `version` is that of the newest change. `on_rows` is called after each
    change, and `on_checked` after each call to the store that brings the
    copy up to date.

    With `content_number`, a row whose number falls keeps its content: the
    store has returned from an older copy.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        rng: Random,
        on_rows: WatchCallback,
        on_checked: WatchCallback | None = None,
        content_number: ContentNumber = lambda row: 0,
    ) -> None:
        self.table = table
        self.rows: dict[str, StoredRow] = {}
        self.version = 0
        # Whether the newest rows were pulled from a peer.
        self.is_from_peer = False
        # Versions at which keys were removed, the oldest removal first.
        self._removed: dict[str, int] = {}
        # Peers whose copy is older than this version need a snapshot.
        self._changes_known_since = 0
        # The store is asked for changes after this version.
        self._cursor = 0
        # Until this time, rows that are missing may be registered again.
        self._missing_rows_until = float("-inf")
        self._store = store
        self._on_rows = on_rows
        self._on_checked = on_checked
        self._content_number = content_number
        # The highest number of the content of a row.
        self.number = 0
        self._backoff = Backoff(rng)
        # While this is False, the next call reads all rows.
        self._synced = False
        self._hold_s = LONG_POLL_S
        self._following = asyncio.Event()
        self._following.set()
        self._unreachable_since: float | None = None
        self._history_lost_at = float("-inf")
        self._poll_task: asyncio.Task[Rows] | None = None
        self._run_task: asyncio.Task[None] | None = None

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._unreachable_since is not None

    @property
    def removed(self) -> Mapping[str, int]:
        """The versions at which keys were removed, as far as known."""
        return self._removed

    @property
    def after_outage(self) -> bool:
        """Whether missing rows may be registered again after an outage."""
        return self.is_store_unreachable or _now() < self._missing_rows_until

    async def async_setup(self) -> None:
        """Start to follow the table in a task."""
        self._run_task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop the task."""
        if self._run_task is not None:
            self._run_task.cancel()
            await asyncio.gather(self._run_task, return_exceptions=True)

    def set_following(self, following: bool, hold_s: float) -> None:
        """Poll the store for changes, or rely on the peers for them."""
        self._hold_s = hold_s
        if following:
            self._following.set()
        else:
            self._following.clear()

    # Peers

    def changes_since(self, version: int, number: int = 0) -> TableChanges:
        """Return what a peer lacks whose copy is at a version.

        `number` is the highest number of the content of the peer's rows.
        """
        is_snapshot = version < self._changes_known_since
        rows = [
            row
            for row in self.rows.values()
            if is_snapshot
            or row.version > version
            or (
                self.number > number
                and self._content_number(row) == self.number
            )
        ]
        if not is_snapshot:
            rows += [
                StoredRow(key=key, value=None, version=removed_at)
                for key, removed_at in self._removed.items()
                if removed_at > version
            ]
        return TableChanges(
            version=self.version,
            is_snapshot=is_snapshot,
            after_outage=self.after_outage,
            rows=tuple(rows),
        )

    def merge(self, changes: TableChanges) -> None:
        """Apply the changes that a peer has sent, if they are newer."""
        self.is_from_peer = True
        if changes.version <= self.version:
            self._merge_newer_content(changes)
            return
        if changes.after_outage:
            self._expect_missing_rows(REREGISTRATION_S)
        if changes.is_snapshot:
            self._replace_rows(changes.rows, changes.version)
        else:
            self._apply_changes(changes.rows)
        self.version = changes.version
        self._cursor = max(self._cursor, changes.version)
        self._synced = True
        self._on_rows(self)
        # The call in progress may have stalled: start a new one.
        if self._poll_task is not None:
            self._poll_task.cancel()

    def _merge_newer_content(self, changes: TableChanges) -> None:
        """Adopt the rows whose content is newer than in the store's copy."""
        newer = {
            row.key: row
            for row in changes.rows
            if row.value is not None
            and self._content_number(row) > self.number
        }
        if newer:
            log_message(
                message_type="content_kept",
                table=self.table,
                keys=sorted(newer),
                number=self.number,
            )
            self.rows |= newer
            self._record_numbers(newer.values())
            self._on_rows(self)

    def _record_numbers(self, rows: Iterable[StoredRow]) -> None:
        numbers = map(self._content_number, rows)
        self.number = max(self.number, max(numbers, default=0))

    def _newest_content(self, row: StoredRow) -> StoredRow:
        """Return a row of the store, with the content known so far if newer.

        The store returns from a copy with an older row than was in force.
        """
        known = self.rows.get(row.key)
        if known is None or not self.number:
            return row
        known_number = self._content_number(known)
        if known_number <= self._content_number(row):
            return row
        log_message(
            message_type="content_kept",
            table=self.table,
            keys=[row.key],
            number=known_number,
        )
        return replace(known, version=row.version)

    # The store

    async def _async_run(self) -> None:
        while True:
            await self._following.wait()
            try:
                await self._async_follow()
            except Exception as exc:
                # The table would not be followed any more.
                write_traceback(exc_info=(type(exc), exc, exc.__traceback__))
                self._synced = False
                await asyncio.sleep(RETRY_DELAY_MAX_S)

    async def _async_follow(self) -> None:
        """Make one call and apply its outcome."""
        self._poll_task = asyncio.create_task(self._async_poll())
        try:
            rows = await self._poll_task
        except HistoryLostError as exc:
            log_message(message_type="history_lost", reason=str(exc))
            self._synced = False
            self._expect_missing_rows(REREGISTRATION_S)
            await self._async_pause_after_lost_history()
        except StoreUnavailableError as exc:
            self._handle_store_failure(exc)
            pause_s = min(RETRY_DELAY_MAX_S, self._backoff.next_s())
            await asyncio.sleep(pause_s)
        except asyncio.CancelledError:
            # `merge` cancels only the call, not this task.
            current = asyncio.current_task()
            if current is None or current.cancelling():
                raise
        else:
            self._apply_poll(rows)
            if rows.rows:
                await asyncio.sleep(CHANGE_BATCH_PAUSE_S)

    async def _async_pause_after_lost_history(self) -> None:
        """Pause before another full read soon after the last one."""
        read_at = self._history_lost_at + HISTORY_LOST_INTERVAL_S
        await asyncio.sleep(max(0.0, read_at - _now()))
        self._history_lost_at = _now()

    async def _async_poll(self) -> Rows:
        if not self._synced:
            return await self._store.async_read(
                self.table, deadline=_now() + READ_TIMEOUT_S
            )
        hold_s = 0.0 if self.is_store_unreachable else self._hold_s
        timeout_s = (
            PROBE_TIMEOUT_S
            if self.is_store_unreachable
            else hold_s + HOLD_GRACE_S
        )
        return await self._store.async_changes(
            self.table, self._cursor, hold_s, deadline=_now() + timeout_s
        )

    def _apply_poll(self, rows: Rows) -> None:
        self._handle_store_success()
        self.is_from_peer = False
        is_full_read = not self._synced
        self._synced = True
        if is_full_read and rows.version < self.version:
            # Changes from a peer are newer than this read.
            return
        self._cursor = max(self._cursor, rows.version)
        newest = max((row.version for row in rows.rows), default=0)
        if not is_full_read:
            self._apply_changes(rows.rows)
        elif self._replace_rows(rows.rows, rows.version):
            # A full read does not show when a row was removed, so its own
            # version stands for that of the removal.
            newest = rows.version
        self.version = max(self.version, newest)
        if is_full_read or rows.rows:
            self._on_rows(self)
        if self._on_checked is not None:
            self._on_checked(self)

    def _replace_rows(self, rows: tuple[StoredRow, ...], version: int) -> bool:
        """Replace all rows; return whether any known key was removed."""
        previous = self.rows
        kept = {
            key: replace(row, version=version)
            for key, row in previous.items()
            if self.number and self._content_number(row)
        }
        self.rows = kept | {
            row.key: self._newest_content(row)
            for row in rows
            if row.value is not None
        }
        self._record_numbers(self.rows.values())
        self._changes_known_since = version
        self._removed = {}
        return not previous.keys() <= self.rows.keys()

    def _apply_changes(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key, None)
                self._removed.pop(row.key, None)
                self._removed[row.key] = row.version
            else:
                self.rows[row.key] = self._newest_content(row)
                self._removed.pop(row.key, None)
        self._record_numbers(row for row in rows if row.value is not None)
        while len(self._removed) > MAX_REMOVED_KEYS:
            oldest = next(iter(self._removed))
            self._changes_known_since = max(
                self._changes_known_since, self._removed.pop(oldest)
            )

    def _expect_missing_rows(self, duration_s: float) -> None:
        self._missing_rows_until = max(
            self._missing_rows_until, _now() + duration_s
        )

    def _handle_store_failure(self, exc: StoreUnavailableError) -> None:
        if self._unreachable_since is None:
            self._unreachable_since = _now()
            log_message(
                message_type="store_lost", table=self.table, reason=str(exc)
            )

    def _handle_store_success(self) -> None:
        self._backoff.reset()
        if self._unreachable_since is None:
            return
        unreachable_s = _now() - self._unreachable_since
        self._unreachable_since = None
        self._expect_missing_rows(REREGISTRATION_S)
        log_message(
            message_type="store_regained",
            table=self.table,
            away_s=round(unreachable_s, 3),
            version=self.version,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
