"""Tests of decoding the rows of listed backend servers."""

import testtools

from waxwingarch.core.backends.registry import ListedBackend
from waxwingarch.platform.rows_codec import PlatformRowCodec
from waxwingarch.ports.front import StoredRow
from waxwingarch.tasks.backend_rows import BackendRows

VALID_ROW = (
    b'{"service": "pool", "address": "10.0.0.1:80", "zone": "za",'
    b' "version": "v1", "slots": 8, "state": "ready", "born": 1}'
)


class CountingCodec(PlatformRowCodec):
    def __init__(self) -> None:
        super().__init__()
        self.decoded_keys: list[str] = []

    def decode_backend(self, key: str, value: bytes) -> ListedBackend:
        self.decoded_keys.append(key)
        return super().decode_backend(key, value)


def row(key: str, version: int = 1, value: bytes = VALID_ROW) -> StoredRow:
    return StoredRow(key=key, value=value, version=version)


class DecodeOnce(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.codec = CountingCodec()
        self.rows = BackendRows(self.codec)
        self.listed = {f"s{n}": row(f"s{n}") for n in range(5)}

    def test_only_changed_rows_are_decoded_again(self) -> None:
        self.assertEqual(5, len(self.rows.backends(self.listed)))
        self.codec.decoded_keys.clear()
        drained = VALID_ROW.replace(b"ready", b"draining")
        self.listed["s3"] = row("s3", 2, drained)
        self.listed["s9"] = row("s9")
        del self.listed["s0"]
        backends = self.rows.backends(self.listed)
        self.assertEqual(["s3", "s9"], self.codec.decoded_keys)
        self.assertEqual(
            {"s1": False, "s2": False, "s3": True, "s4": False, "s9": False},
            {str(b.server.server_id): b.draining for b in backends},
        )

    def test_invalid_row_is_skipped_and_decoded_once(self) -> None:
        self.listed["bad"] = row("bad", 1, b"{}")
        for _ in range(3):
            self.assertEqual(5, len(self.rows.backends(self.listed)))
        self.assertEqual(1, self.codec.decoded_keys.count("bad"))

    def test_row_that_returns_is_decoded_again(self) -> None:
        self.rows.backends(self.listed)
        self.rows.backends({})
        self.codec.decoded_keys.clear()
        self.rows.backends(self.listed)
        self.assertEqual(5, len(self.codec.decoded_keys))
