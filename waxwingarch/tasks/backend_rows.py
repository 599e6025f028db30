"""Decodes the rows of the listed backend servers."""

from collections.abc import Mapping

from eliot import log_message

from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.ports.front import BadRowError, RowCodec, StoredRow


class BackendRows:
    """Decoder that keeps the result for each row until the row changes.

    The listing is long and changes only a few rows at a time.
    """

    def __init__(self, codec: RowCodec) -> None:
        self._codec = codec
        self._decoded: dict[str, tuple[StoredRow, ListedBackend | None]] = {}

    def backends(
        self, rows: Mapping[str, StoredRow]
    ) -> tuple[ListedBackend, ...]:
        """Return the servers; an invalid row is skipped and logged once."""
        previous = self._decoded
        self._decoded = {}
        for key, row in rows.items():
            decoded = previous.get(key)
            if decoded is None or decoded[0] is not row:
                decoded = (row, self._decode(row))
            self._decoded[key] = decoded
        return tuple(
            backend
            for _, backend in self._decoded.values()
            if backend is not None
        )

    def _decode(self, row: StoredRow) -> ListedBackend | None:
        if row.value is None:
            return None
        try:
            return self._codec.decode_backend(row.key, row.value)
        except BadRowError as exc:
            log_message(
                message_type="bad_server_row", key=row.key, reason=str(exc)
            )
            return None
