"""The entry hosts that are entitled to a share of each limit.

One row of a table lists the members, for all accounts. While a change of
the members is pending, every host uses the smaller of its old and its
new entitlement. The change is complete when each old member has
confirmed that it knows the change, or is known to have ended. A silent
member keeps its entitlement, so an outage of the table changes none.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass
from typing import Any, Final

from waxwingarch.core.base import HostId
from waxwingarch.core.limits.shares import entitlements

SHARES_TABLE: Final = "shares"
MEMBERS_KEY: Final = "members"
SHARES_DUTY: Final = "shares"

Member = tuple[HostId, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class MembersRow:
    """Members as (host, incarnation), and those that replace them.

    `pending` is None unless a change of the members is in progress.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    pending: tuple[Member, ...] | None = None

    def entitlement(self, limit: int, member: Member) -> int:
        """Return the units that an incarnation is entitled to."""
        current = _entitlement(limit, self.members, member)
        if self.pending is None:
            return current
        return min(current, _entitlement(limit, self.pending, member))

    def to_json(self) -> dict[str, Any]:
        """Return the row as JSON types."""
        pending = self.pending
        return {
            "epoch": self.epoch,
            "members": [list(m) for m in self.members],
            "pending": None if pending is None else [list(m) for m in pending],
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any] | None) -> "MembersRow":
        """Return the row that `to_json` wrote, or an empty one for None."""
        if value is None:
            return cls()
        pending = value["pending"]
        return cls(
            epoch=int(value["epoch"]),
            members=_members(value["members"]),
            pending=None if pending is None else _members(pending),
        )


def next_members(
    row: MembersRow,
    now: float,
    *,
    live: Set[Member],
    ended_since: Mapping[Member, float],
    known_epoch: Mapping[Member, int],
    loans_expire_s: float,
) -> MembersRow | None:
    """Return the row to write next, if any.

    Only the holder of the duty may call this. `ended_since` holds only
    incarnations that have certainly ended, with the time at which this
    host learned it: the platform listed them once, and a later list lacks
    them or has a newer incarnation of the host. A silent host has not
    ended. The units that an ended member lent may be in use for another
    `loans_expire_s`. `known_epoch` is the epoch that each member has
    confirmed.
    """
    ended = {
        member
        for member, since in ended_since.items()
        if now >= since + loans_expire_s
    }
    if row.pending is not None:
        return _complete_change(row, ended, known_epoch)
    desired = sorted({*row.members, *live} - ended)
    if tuple(desired) == row.members:
        return None
    return MembersRow(
        epoch=row.epoch + 1, members=row.members, pending=tuple(desired)
    )


def _complete_change(
    row: MembersRow, ended: Set[Member], known_epoch: Mapping[Member, int]
) -> MembersRow | None:
    """Return the row after the change if all members confirmed it."""
    assert row.pending is not None
    unconfirmed = [
        member
        for member in row.members
        if member not in ended and known_epoch.get(member, 0) < row.epoch
    ]
    if unconfirmed:
        return None
    return MembersRow(epoch=row.epoch + 1, members=row.pending)


def _entitlement(
    limit: int, members: tuple[Member, ...], member: Member
) -> int:
    if member not in members:
        return 0
    names = [HostId(f"{host}#{inc}") for host, inc in members]
    return entitlements(limit, names)[HostId(f"{member[0]}#{member[1]}")]


def _members(value: list[list[Any]]) -> tuple[Member, ...]:
    return tuple((HostId(host), int(inc)) for host, inc in value)
