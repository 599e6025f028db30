"""Reads and writes the store row of the quarantined inputs."""

import asyncio
from typing import Final

import orjson
from eliot import log_message

from waxwingarch.adapters.quarantine_codec import (
    decode_entries,
    encode_entries,
)
from waxwingarch.core.quarantine.quarantine_messages import (
    QuarantineChanged,
    QuarantineEntry,
    QuarantineRead,
    QuarantineWritten,
    ReadQuarantine,
    WriteQuarantine,
)
from waxwingarch.ports.front import (
    FrontPorts,
    RowWrite,
    StoreUnavailableError,
)
from waxwingarch.tasks.action_tasks import ActionTasks
from waxwingarch.tasks.quarantine_log import log_quarantine_change
from waxwingarch.tasks.runner import FrontRunner

QUARANTINE_TABLE: Final = "waxwing-quarantine"
# The row also has whole requests; its name is that of the first version.
QUARANTINE_KEY: Final = "parts"
# Delay after a failed read, before the node retries it.
READ_RETRY_DELAY_S: Final = 0.3


class FrontQuarantine(ActionTasks):
    """Runs the calls to the store for the quarantine in tasks.

    The outcome of each call is posted to the node.
    """

    def __init__(self, runner: FrontRunner, ports: FrontPorts) -> None:
        super().__init__()
        self._runner = runner
        self._ports = ports
        self.connect(
            runner,
            {
                ReadQuarantine: self._async_read,
                WriteQuarantine: self._async_write,
            },
        )
        runner.connect(QuarantineChanged, log_quarantine_change)

    async def _async_read(self, _action: ReadQuarantine) -> None:
        entries: tuple[QuarantineEntry, ...] | None = None
        try:
            rows = await self._ports.store.async_read(
                QUARANTINE_TABLE, key=QUARANTINE_KEY, deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            log_message(message_type="quarantine_not_read", reason=str(exc))
            await asyncio.sleep(READ_RETRY_DELAY_S)
        else:
            row = rows.rows[0] if rows.rows else None
            entries = _decode(row.value if row else None)
        self._runner.post(QuarantineRead(entries=entries))

    async def _async_write(self, action: WriteQuarantine) -> None:
        write = RowWrite(
            table=QUARANTINE_TABLE,
            key=QUARANTINE_KEY,
            value=orjson.dumps(encode_entries(action.entries)),
        )
        written = True
        try:
            await self._ports.store.async_write(
                [write], deadline=self._deadline()
            )
        except StoreUnavailableError as exc:
            log_message(message_type="quarantine_not_written", reason=str(exc))
            written = False
        self._runner.post(QuarantineWritten(written=written))


def _decode(value: bytes | None) -> tuple[QuarantineEntry, ...]:
    """Return the entries of the row; one that is not valid has none."""
    if value is None:
        return ()
    try:
        return decode_entries(orjson.loads(value))
    except (TypeError, ValueError) as exc:
        log_message(message_type="bad_quarantine_row", reason=str(exc))
        return ()
