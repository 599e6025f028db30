"""Base types of the decision machines: events in, actions out."""

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
    """Something that happened; input of a decision machine."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Action:
    """Something to be done; output of a decision machine."""


class ExecutionStatus(StrEnum):
    """Whether a refused or failed request ran on a backend server."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ServerKind(StrEnum):
    """Kinds of backend server."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A backend server; one incarnation of it.

    `address` is "ip:port"; `price` is in cost units an hour; `slots` is
    how many requests it serves at once; `started` distinguishes
    incarnations on one address.
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
