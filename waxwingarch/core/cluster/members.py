"""Member records of the entry hosts, and their order of precedence."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import FailureDomain, HostId


class MemberState(StrEnum):
    """State in which an entry host is believed to be."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


STATE_RANK: Final = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}

REACHABLE: Final = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


@dataclass(frozen=True, kw_only=True, slots=True)
class Addresses:
    """Where an entry host listens, each as "ip:port"."""

    http: str
    peer_tcp: str
    peer_udp: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """An entry host as a peer knows it.

    `incarnation` grows with each process started as this host;
    `refutation` grows each time the process itself corrects the record
    that peers have of it. A draining host gets no new duties or
    hand-overs.
    """

    host_id: HostId
    incarnation: int
    refutation: int
    region: str
    failure_domain: FailureDomain
    addresses: Addresses
    state: MemberState
    draining: bool = False

    @property
    def reachable(self) -> bool:
        """Return whether the host is alive or only suspected."""
        return self.state in REACHABLE

    @property
    def eligible(self) -> bool:
        """Return whether the host may be assigned duties."""
        return self.reachable and not self.draining


def precedence(member: Member) -> tuple[int, bool, int, int, bool]:
    """Return the rank of a record among those of the same host.

    A later process wins over an earlier one. A process that has left
    stays so. Its own refutation wins over any suspicion before it.
    """
    return (
        member.incarnation,
        member.state is MemberState.LEFT,
        member.refutation,
        STATE_RANK[member.state],
        member.draining,
    )


def supersedes(new: Member, old: Member) -> bool:
    """Return whether the new record replaces the old one."""
    if new == old:
        return False
    new_rank, old_rank = precedence(new), precedence(old)
    if new_rank != old_rank:
        return new_rank > old_rank
    # Two processes claim the same host id: any rule will do as long as
    # all hosts apply the same one.
    return repr(new) > repr(old)
