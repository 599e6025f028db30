"""Items that the entry hosts exchange by gossip.

Each item has a key; of two items with the same key the merge rule keeps
one, so that merging is commutative, associative and idempotent.
"""

from dataclasses import dataclass

from waxwingarch.core.base import (
    AccountId,
    FailureDomain,
    HostId,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineOrigin,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsRevision:
    """The highest settings revision known; the greater number wins."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LeavingServer:
    """A server incarnation that gets no new requests.

    `deadline_unix` is when its host shuts down, in Unix seconds; the
    earliest wins. Once known, an incarnation stays leaving.
    """

    server_id: ServerId
    incarnation: int
    deadline_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StopMark:
    """A version that must get no traffic; it is never withdrawn.

    `move_id` names the move whose evidence stopped it; a later move of
    the same version has another id and starts unmarked.
    """

    service: ServiceId
    version: VersionId
    move_id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SpentShare:
    """What one host has used of a client account's limit.

    `requests` grows over the life of the host's incarnation. `wanted`
    is the demand in requests a second over the last window, `running`
    the requests in progress. As these two also fall, each publication
    has a higher `sequence`, and the greater `(incarnation, sequence,
    requests)` wins. A sequence of 0 is filled in on publication.
    """

    account: AccountId
    host_id: HostId
    incarnation: int
    requests: int
    wanted: float
    running: int
    sequence: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSummary:
    """Load of a server as read last by the host that watches it.

    The greater `(incarnation, as_of_ms)` wins; `as_of_ms` is the
    server's own clock, in milliseconds.
    """

    server_id: ServerId
    incarnation: int
    as_of_ms: int
    running: int
    waiting: int
    kv_used: int
    kv_total: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheSummary:
    """Prefix blocks that a server is believed to hold.

    `blocks` are 64-bit block hashes truncated to 32 bits, the most
    recently used ones first; the greater `(incarnation, sequence)` wins.
    """

    server_id: ServerId
    incarnation: int
    sequence: int
    blocks: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceCount:
    """Requests that one host counted for a version in a version move.

    `band` is the load band of the servers. Counts grow over the life of
    the host's incarnation; the greater `(incarnation, sequence)` wins.
    `closed` says that the host sets no more stop marks for the move.
    """

    move_id: str
    host_id: HostId
    incarnation: int
    sequence: int
    closed: bool
    version: VersionId
    route: str
    band: str
    requests: int
    failures: int
    timed: int
    slow: int


@dataclass(frozen=True, kw_only=True, slots=True)
class InputCrash:
    """An input under which a server process ended, see `quarantine/`.

    The latest crash wins, and of the same one what says that the process
    went on.
    """

    server_id: ServerId
    incarnation: int
    domain: FailureDomain
    at: float
    key: str
    refuted: bool
    in_rollout: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantinedInput:
    """The state of an input that was quarantined.

    The greater `(number, seen_at)` wins.
    """

    key: str
    number: int
    state: InputState
    origin: QuarantineOrigin
    seen_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SoundInput:
    """When an answer with a suspected input last went well."""

    key: str
    at: float


Item = (
    SettingsRevision
    | LeavingServer
    | StopMark
    | SpentShare
    | LoadSummary
    | CacheSummary
    | EvidenceCount
    | InputCrash
    | QuarantinedInput
    | SoundInput
)
