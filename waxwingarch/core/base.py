"""Base types of the decision core: events in, actions out."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NewType

HostId = NewType("HostId", str)
ServerId = NewType("ServerId", str)
FailureDomain = NewType("FailureDomain", str)
AccountId = NewType("AccountId", str)
ServiceId = NewType("ServiceId", str)
VersionId = NewType("VersionId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class of the inputs of the core: something that happened."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Action:
    """Base class of the outputs of the core: something to carry out."""


class ExecutionStatus(StrEnum):
    """Whether a refused or failed request was run by a backend server."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ServerKind(StrEnum):
    """Kinds of backend server."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """One incarnation of a backend server.

    `address` is "ip:port". `price` is in cost units per hour. `slots`
    is the number of requests that the server processes concurrently.
    `incarnation` distinguishes successive processes on one address.
    """

    server_id: ServerId
    address: str
    failure_domain: FailureDomain
    service: ServiceId
    kind: ServerKind
    version: VersionId
    machine_class: str
    reclaimable: bool
    price: float
    slots: int
    incarnation: int
