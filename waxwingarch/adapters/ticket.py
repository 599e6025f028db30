"""Resume tickets: event ids with which any entry host resumes a stream.

A ticket names the server that holds the stream, the stream, the number of
tokens that the caller has received and their digest. It is signed with a
key derived from the cluster key, so that a caller cannot resume the
stream of another account.
"""

import base64
import binascii
import hashlib
import hmac
from typing import Final

import orjson

from waxwingarch.core.base import AccountId, ServerId
from waxwingarch.core.request import ResumeFrom
from waxwingarch.exceptions import WaxwingError

MAC_BYTES: Final = 12


class BadTicketError(WaxwingError):
    """An event id is not a ticket issued to this client account."""


class TicketSigner:
    """Issues and verifies resume tickets with the cluster key."""

    def __init__(self, cluster_key: bytes) -> None:
        self._key = hashlib.sha256(b"ticket" + cluster_key).digest()

    def issue(self, account: AccountId, resume: ResumeFrom) -> str:
        """Return the event id for a position in a response."""
        body = orjson.dumps(
            [
                resume.server_id,
                resume.stream_id,
                resume.offset,
                resume.digest,
            ]
        )
        raw = self._mac(account, body) + body
        return base64.urlsafe_b64encode(raw).decode()

    def read(self, account: AccountId, ticket: str) -> ResumeFrom:
        """Verify a ticket and return its position in the response.

        Raises `BadTicketError`.
        """
        try:
            raw = base64.urlsafe_b64decode(ticket.encode())
        except (binascii.Error, ValueError):
            raw = b""
        mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(account, body)):
            raise BadTicketError(
                "Last-Event-ID is not one of this account's: send the last"
                " id received, or none"
            )
        server_id, stream_id, offset, digest = orjson.loads(body)
        return ResumeFrom(
            server_id=ServerId(server_id),
            stream_id=stream_id,
            offset=offset,
            digest=digest,
        )

    def _mac(self, account: AccountId, body: bytes) -> bytes:
        """Return the MAC that binds a ticket to its account."""
        mac = hashlib.blake2s(key=self._key, digest_size=MAC_BYTES)
        mac.update(account.encode() + b"\0" + body)
        return mac.digest()
