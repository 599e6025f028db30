"""Claim rows: who may run a request that runs at most once.

A row is written only along `ROW_RULES`, each write conditional on the
version that its writer has seen. So a claim that arrives late fails
against the row that is there by then, a tombstone included.
"""

import re
from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from hashlib import sha256
from typing import Any, Final

from waxwingarch.core.base import AccountId, HostId

CLAIM_TABLE: Final = "claims"
INLINE_ANSWER_MAX_BYTES: Final = 16 * 1024
PLAIN_KEY: Final = re.compile(r"[A-Za-z0-9._-]{1,128}")


class ClaimState(StrEnum):
    """What a claim row says about its request."""

    ABSENT = "absent"
    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Writer(StrEnum):
    """Who writes a claim row."""

    OWNER = "owner"
    OTHER = "other"


_S = ClaimState
_ANY: Final = frozenset(Writer)
_OWNER: Final = frozenset({Writer.OWNER})

# The owner of a row that is absent or a tombstone is whoever claims it.
# An unknown outcome never becomes a tombstone: callers were told that
# the request will not be run again, and a tombstone can be claimed.
ROW_RULES: Final[Mapping[tuple[ClaimState, ClaimState], frozenset[Writer]]] = {
    (_S.ABSENT, _S.CLAIMED): _OWNER,
    (_S.ABSENT, _S.NOT_RUN): _OWNER,
    (_S.NOT_RUN, _S.CLAIMED): _OWNER,
    (_S.CLAIMED, _S.NOT_RUN): _OWNER,
    (_S.CLAIMED, _S.DONE): _ANY,
    (_S.CLAIMED, _S.UNKNOWN): _ANY,
    (_S.UNKNOWN, _S.DONE): _ANY,
}


def may_write(old: ClaimState, new: ClaimState, writer: Writer) -> bool:
    """Return whether `writer` may take a row from `old` to `new`."""
    return writer in ROW_RULES.get((old, new), frozenset())


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """A service's answer; a large body is in the object `ref`."""

    status: int
    content_type: str
    body: bytes = b""
    ref: str | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the answer as JSON types."""
        return {
            "status": self.status,
            "content_type": self.content_type,
            "body": b64encode(self.body).decode("ascii"),
            "ref": self.ref,
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> "StoredAnswer":
        """Return the answer that `to_json` wrote."""
        return cls(
            status=int(value["status"]),
            content_type=str(value["content_type"]),
            body=b64decode(value["body"]),
            ref=value["ref"],
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRow:
    """The value of a claim row.

    `claim_id` is unique to one attempt to run the request, also when
    the same host claims the key again; `operation_id` is the same for
    all attempts of a key, so that a service can recognise them.
    `settle_after_unix` (Unix seconds) is when others may stop waiting
    for the owner; no promise rests on it. After `expires_unix` the row
    may be deleted.
    """

    state: ClaimState
    owner: HostId
    incarnation: int
    claim_id: str
    operation_id: str
    body_digest: str
    settle_after_unix: float
    expires_unix: float
    answer: StoredAnswer | None = None

    def with_state(
        self, state: ClaimState, answer: StoredAnswer | None = None
    ) -> "ClaimRow":
        """Return the same claim in another state."""
        return replace(self, state=state, answer=answer)

    def to_json(self) -> dict[str, Any]:
        """Return the row's value as JSON types."""
        return {
            "state": self.state.value,
            "owner": self.owner,
            "incarnation": self.incarnation,
            "claim_id": self.claim_id,
            "operation_id": self.operation_id,
            "body_digest": self.body_digest,
            "settle_after_unix": self.settle_after_unix,
            "expires_unix": self.expires_unix,
            "answer": self.answer.to_json() if self.answer else None,
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any]) -> "ClaimRow":
        """Return the row that `to_json` wrote."""
        answer = value["answer"]
        return cls(
            state=ClaimState(value["state"]),
            owner=HostId(value["owner"]),
            incarnation=int(value["incarnation"]),
            claim_id=str(value["claim_id"]),
            operation_id=str(value["operation_id"]),
            body_digest=str(value["body_digest"]),
            settle_after_unix=float(value["settle_after_unix"]),
            expires_unix=float(value["expires_unix"]),
            answer=StoredAnswer.from_json(answer) if answer else None,
        )


def row_state(row: ClaimRow | None) -> ClaimState:
    """Return the state of a row that may be absent."""
    return row.state if row else ClaimState.ABSENT


def claim_key(account: AccountId, key: str) -> str:
    """Return the row key of an idempotency key.

    A key that does not fit a URL path as it is goes by its digest; the
    "~" keeps the two kinds apart.
    """
    if PLAIN_KEY.fullmatch(key):
        return f"{account}/{key}"
    return f"{account}/~{sha256(key.encode()).hexdigest()}"


def operation_id(account: AccountId, key: str) -> str:
    """Return the operation id that all attempts of a key share."""
    named = f"{len(account)}:{account}{key}"
    return sha256(named.encode()).hexdigest()[:32]


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that tells another request under the same key."""
    head = f"{method} {path}\n".encode()
    return sha256(head + body).hexdigest()


def may_delete(row: ClaimRow, unix_now: float) -> bool:
    """Return whether a row was kept for as long as callers were told."""
    return unix_now > row.expires_unix
