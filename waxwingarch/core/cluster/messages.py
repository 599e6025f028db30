"""Messages between entry hosts, independent of their encoding."""

from dataclasses import dataclass

from waxwingarch.core.base import AccountId, Action, Event, HostId
from waxwingarch.core.cluster.items import Item
from waxwingarch.core.cluster.members import Member


@dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Asks whether a process is alive.

    `target` is empty when only an address is known (a seed).
    """

    sequence: int
    target: HostId
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Says that a process is alive, in answer to the probe `sequence`."""

    sequence: int
    host_id: HostId
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class IndirectProbe:
    """Asks another host to probe the target and relay the answer."""

    sequence: int
    target: HostId
    incarnation: int
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """Carries records only; receivers relay them if `relay` is set."""

    relay: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Carries the sender's bucket sums and asks for records it lacks.

    `reply` is set on the sums sent in answer to another request.
    """

    sums: tuple[int, ...]
    reply: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanAsk:
    """Asks for a loan of units of an account's limit.

    `incarnation` is the borrower's; see `core/limits/shares.py`.
    """

    account: AccountId
    resource: str
    incarnation: int
    loan_sequence: int
    units: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanAnswer:
    """Answers the request `loan_sequence`.

    See `core/limits/shares.py`.
    """

    account: AccountId
    resource: str
    incarnation: int
    loan_sequence: int
    units: int
    spare: int


Loan = LoanAsk | LoanAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A message to send.

    The target is None if only the address is known, as for a seed.
    """

    address: str
    target: HostId | None
    body: Probe | Ack | IndirectProbe


Body = Probe | Ack | IndirectProbe | Gossip | SyncRequest | Loan


@dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """One message with the gossip records that are piggybacked on it.

    `applied_revision` is the settings revision in force at the sender.
    """

    sender: HostId
    incarnation: int
    applied_revision: int
    body: Body
    members: tuple[Member, ...] = ()
    items: tuple[Item, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Tick(Event):
    """Time has passed; `unix_now` is the wall clock in Unix seconds."""

    unix_now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DatagramReceived(Event):
    """A datagram arrived from `source` ("ip:port")."""

    source: str
    datagram: Datagram


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPeer(Action):
    """Send a datagram to the address ("ip:port")."""

    address: str
    datagram: Datagram
