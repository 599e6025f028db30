"""The listed servers from their rows."""

import testtools

from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.platform.rows_codec import PlatformRowCodec
from waxwingarch.ports.front import StoredRow
from waxwingarch.tasks.backend_rows import BackendRows

GOOD = (
    b'{"service": "pool", "address": "10.0.0.1:80", "zone": "za",'
    b' "version": "v1", "slots": 8, "state": "ready", "born": 1}'
)


class Counted(PlatformRowCodec):
    def __init__(self) -> None:
        super().__init__()
        self.read: list[str] = []

    def decode_backend(self, key: str, value: bytes) -> ListedBackend:
        self.read.append(key)
        return super().decode_backend(key, value)


def row(key: str, version: int = 1, value: bytes = GOOD) -> StoredRow:
    return StoredRow(key=key, value=value, version=version)


class ReadOnce(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.codec = Counted()
        self.rows = BackendRows(self.codec)
        self.listed = {f"s{n}": row(f"s{n}") for n in range(5)}

    def test_only_what_changed_is_read_again(self) -> None:
        self.assertEqual(5, len(self.rows.backends(self.listed)))
        self.codec.read.clear()
        drained = GOOD.replace(b"ready", b"draining")
        self.listed["s3"] = row("s3", 2, drained)
        self.listed["s9"] = row("s9")
        del self.listed["s0"]
        found = self.rows.backends(self.listed)
        self.assertEqual(["s3", "s9"], self.codec.read)
        self.assertEqual(
            {"s1": False, "s2": False, "s3": True, "s4": False, "s9": False},
            {str(b.server.server_id): b.draining for b in found},
        )

    def test_bad_row_names_no_server_and_is_read_once(self) -> None:
        self.listed["bad"] = row("bad", 1, b"{}")
        for _ in range(3):
            self.assertEqual(5, len(self.rows.backends(self.listed)))
        self.assertEqual(1, self.codec.read.count("bad"))

    def test_row_that_comes_back_is_read_again(self) -> None:
        self.rows.backends(self.listed)
        self.rows.backends({})
        self.codec.read.clear()
        self.rows.backends(self.listed)
        self.assertEqual(5, len(self.codec.read))
