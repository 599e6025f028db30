"""Who is entitled to a part of each limit.

The members stand in one row for all accounts. While a change of them is
pending, every host uses the lesser of its old and its new part; the
change is complete when each old member has said that it knows of it, or
is known to have ended. A silent member keeps its part, so an outage of
the table changes nobody's part.
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
    """Members as (host, incarnation); `pending` replaces them next."""

    epoch: int = 0
    members: tuple[Member, ...] = ()
    pending: tuple[Member, ...] | None = None

    def entitlement(self, limit: int, member: Member) -> int:
        """Return the units that an incarnation is entitled to."""
        now = _part(limit, self.members, member)
        if self.pending is None:
            return now
        return min(now, _part(limit, self.pending, member))

    def to_json(self) -> dict[str, Any]:
        """Return the row's value as JSON types."""
        pending = self.pending
        return {
            "epoch": self.epoch,
            "members": [list(m) for m in self.members],
            "pending": None if pending is None else [list(m) for m in pending],
        }

    @classmethod
    def from_json(cls, value: Mapping[str, Any] | None) -> "MembersRow":
        """Return the row that `to_json` wrote; None has no members."""
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
    loans_lapse_s: float,
) -> MembersRow | None:
    """Return the row to write next, if any; for the duty's holder.

    `ended_since` holds only incarnations that certainly run no more,
    and when this host learned it: the cloud listed them once and its
    later list does not, or lists a newer incarnation of the host. A
    silent host has not ended. What it lent is in use for up to
    `loans_lapse_s` more. `known_epoch` is the epoch that each member
    says it goes by.
    """
    ended = {
        member
        for member, since in ended_since.items()
        if now >= since + loans_lapse_s
    }
    if row.pending is not None:
        return _completed(row, ended, known_epoch)
    wanted = sorted({*row.members, *live} - ended)
    if tuple(wanted) == row.members:
        return None
    return MembersRow(
        epoch=row.epoch + 1, members=row.members, pending=tuple(wanted)
    )


def _completed(
    row: MembersRow, ended: Set[Member], known_epoch: Mapping[Member, int]
) -> MembersRow | None:
    assert row.pending is not None
    waiting = [
        member
        for member in row.members
        if member not in ended and known_epoch.get(member, 0) < row.epoch
    ]
    if waiting:
        return None
    return MembersRow(epoch=row.epoch + 1, members=row.pending)


def _part(limit: int, members: tuple[Member, ...], member: Member) -> int:
    if member not in members:
        return 0
    names = [HostId(f"{host}#{inc}") for host, inc in members]
    return entitlements(limit, names)[HostId(f"{member[0]}#{member[1]}")]


def _members(value: list[list[Any]]) -> tuple[Member, ...]:
    return tuple((HostId(host), int(inc)) for host, inc in value)
