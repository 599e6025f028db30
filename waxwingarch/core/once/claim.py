"""Claim rows: which host may run a request that runs at most once.

Only the transitions of `ROW_RULES` are written, and each write is
conditional on the version that its writer has read. A claim that reaches
the table late therefore conflicts with the row that exists by then, which
may be a tombstone (`NOT_RUN`).
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
PATH_SAFE_KEY: Final = re.compile(r"[A-Za-z0-9._-]{1,128}")


class ClaimState(StrEnum):
    """State of a claim row."""

    ABSENT = "absent"
    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Writer(StrEnum):
    """Role of the host that writes a claim row."""

    OWNER = "owner"
    OTHER = "other"


_State = ClaimState
_ANY: Final = frozenset(Writer)
_OWNER: Final = frozenset({Writer.OWNER})

# Any host may claim an absent row or a tombstone, and becomes its owner.
# An unknown outcome never becomes a tombstone: callers were told that the
# request will not be run again, but a tombstone can be claimed.
ROW_RULES: Final[Mapping[tuple[ClaimState, ClaimState], frozenset[Writer]]] = {
    (_State.ABSENT, _State.CLAIMED): _OWNER,
    (_State.ABSENT, _State.NOT_RUN): _OWNER,
    (_State.NOT_RUN, _State.CLAIMED): _OWNER,
    (_State.CLAIMED, _State.NOT_RUN): _OWNER,
    (_State.CLAIMED, _State.DONE): _ANY,
    (_State.CLAIMED, _State.UNKNOWN): _ANY,
    (_State.UNKNOWN, _State.DONE): _ANY,
}


def may_write(old: ClaimState, new: ClaimState, writer: Writer) -> bool:
    """Return whether `writer` may change a row from `old` to `new`."""
    return writer in ROW_RULES.get((old, new), frozenset())


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """The answer of a service; a large body is in the object `ref`."""

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
        """Return the answer that `to_json` encoded."""
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
    the same host claims the key again. `operation_id` is the same for
    all attempts of a key, so that a service can deduplicate them.
    After `settle_after_unix` (Unix seconds) other hosts may stop waiting
    for the owner; no guarantee depends on it. After `expires_unix` the
    row may be deleted.
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
        """Return the row that `to_json` encoded."""
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
    """Return the state of a row; None is an absent row."""
    return row.state if row else ClaimState.ABSENT


def claim_key(account: AccountId, key: str) -> str:
    """Return the row key of an idempotency key.

    A key that is not safe in a URL path is replaced by its digest. The
    prefix "~" prevents collisions with keys that are.
    """
    if PATH_SAFE_KEY.fullmatch(key):
        return f"{account}/{key}"
    return f"{account}/~{sha256(key.encode()).hexdigest()}"


def operation_id(account: AccountId, key: str) -> str:
    """Return the operation id, which all attempts of a key share."""
    qualified_key = f"{len(account)}:{account}{key}"
    return sha256(qualified_key.encode()).hexdigest()[:32]


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of a request's method, path and body.

    It shows whether an idempotency key is reused for another request, and
    whether a request comes again.
    """
    request_line = f"{method} {path}\n".encode()
    return sha256(request_line + body).hexdigest()


def may_delete(row: ClaimRow, unix_now: float) -> bool:
    """Return whether the retention that callers were promised is over."""
    return unix_now > row.expires_unix
