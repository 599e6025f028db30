"""The listed servers from their rows, each version of a row read once."""

from collections.abc import Mapping

from eliot import log_message

from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.ports.front import BadRowError, RowCodec, StoredRow


class BackendRows:
    """Reads the rows of a listing that changes a few rows at a time."""

    def __init__(self, codec: RowCodec) -> None:
        self._codec = codec
        self._read: dict[str, tuple[StoredRow, ListedBackend | None]] = {}

    def backends(
        self, rows: Mapping[str, StoredRow]
    ) -> tuple[ListedBackend, ...]:
        """Return the servers; a row that names none is logged once."""
        before = self._read
        self._read = {}
        for key, row in rows.items():
            known = before.get(key)
            if known is None or known[0] is not row:
                known = (row, self._backend(row))
            self._read[key] = known
        return tuple(
            backend
            for _, backend in self._read.values()
            if backend is not None
        )

    def _backend(self, row: StoredRow) -> ListedBackend | None:
        if row.value is None:
            return None
        try:
            return self._codec.decode_backend(row.key, row.value)
        except BadRowError as exc:
            log_message(
                message_type="bad_server_row", key=row.key, reason=str(exc)
            )
            return None
