"""Progress of an accepted request, as sent from host to host."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from waxwingarch.core.base import AccountId, RequestId, ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class HandOver:
    """What a peer needs to continue a request.

    `tokens` were already sent to the caller; `digest` is the xxh3_64 of
    the tokens joined, in hexadecimal. `deadline_unix` is in Unix
    seconds.
    """

    request_id: RequestId
    account: AccountId
    path: str
    body: bytes
    tokens: tuple[str, ...]
    server_id: ServerId
    stream_id: str
    deadline_unix: float
    digest: str

    @property
    def is_intact(self) -> bool:
        """Whether the tokens match the digest."""
        return tokens_digest(self.tokens) == self.digest


def tokens_digest(tokens: Iterable[str]) -> str:
    """Return the xxh3_64 of the joined tokens, in hexadecimal."""
    return xxhash.xxh3_64_hexdigest("".join(tokens).encode())


def hand_over_key(stream_id: str) -> RequestId:
    """Return the id of the request that first started a stream."""
    return RequestId(stream_id.rpartition("-")[0])
