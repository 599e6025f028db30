"""Failure detection among the entry hosts, in the manner of SWIM.

Each host probes one peer after another. A peer that answers neither its
probe nor the indirect ones through other hosts is suspected, and counts
as dead unless it refutes the suspicion in time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.base import HostId
from waxwingarch.core.cluster.members import (
    Member,
    MemberState,
    supersedes,
)
from waxwingarch.core.cluster.messages import (
    Ack,
    IndirectProbe,
    Outgoing,
    Probe,
)
from waxwingarch.core.cluster.relays import RelayTable
from waxwingarch.core.randomness import RandomSource

PROBE_PERIOD_S: Final = 1.0
ACK_TIMEOUT_S: Final = 0.3
INDIRECT_PROBE_HELPERS: Final = 3
# Probe periods in which a suspect may refute the suspicion, among up to ten
# hosts; their number grows with the decimal logarithm of that of the hosts.
SUSPICION_PERIODS: Final = 2.0
# Time between probes of dead hosts and missing seeds; as long as no peer is
# reachable it is JOIN_PERIOD_S.
RECONNECT_PERIOD_S: Final = 5.0
JOIN_PERIOD_S: Final = 0.5
DEAD_RETENTION_S: Final = 3_600.0
# A gap this long between two ticks means that this process was paused.
MIN_PAUSE_S: Final = 0.9


@dataclass(kw_only=True, slots=True)
class _PendingProbe:
    """The probe whose acknowledgement is awaited."""

    sequence: int
    host_id: HostId
    incarnation: int
    indirect_at: float
    fails_at: float
    indirect_sent: bool = False


def suspicion_s(hosts: int) -> float:
    """Return how long a suspect has to refute, in a cluster of `hosts`."""
    return SUSPICION_PERIODS * PROBE_PERIOD_S * math.log10(max(10, hosts))


class Membership:
    """Members known to one host, which sends one probe a period.

    The rate of probes does not depend on the number of members.
    `changed` collects the hosts whose record changed since the last
    `pop_changed`. A host that receives a wrong record of itself refutes
    it; one that learns of a later process with its own host id is
    `superseded`.
    """

    def __init__(
        self, own: Member, seeds: Iterable[str], rng: RandomSource
    ) -> None:
        self.own = own
        self.superseded = False
        self.changed: dict[HostId, None] = {own.host_id: None}
        self._rng = rng
        self._seeds = [s for s in seeds if s != own.addresses.peer_udp]
        self._members: dict[HostId, Member] = {own.host_id: own}
        self._reachable: list[Member] | None = None
        self._by_udp: dict[str, HostId] = {}
        self._suspected_until: dict[HostId, float] = {}
        self._unreachable_since: dict[HostId, float] = {}
        self._probe_round: list[HostId] = []
        self._pending: _PendingProbe | None = None
        self._relays = RelayTable()
        self._sequence = rng.getrandbits(24)
        self._next_probe_at = 0.0
        self._next_reconnect_at = 0.0
        self._last_tick_at: float | None = None

    def members(self) -> tuple[Member, ...]:
        """Return all known members, this host and dead ones included."""
        return tuple(self._members.values())

    def member(self, host_id: HostId) -> Member | None:
        """Return the record of the host, None if it is unknown."""
        return self._members.get(host_id)

    def reachable(self) -> list[Member]:
        """Return the peers that are alive or only suspected."""
        if self._reachable is None:
            self._reachable = [
                m
                for m in self._members.values()
                if m.reachable and m.host_id != self.own.host_id
            ]
        return self._reachable

    def is_current(self, host_id: HostId, incarnation: int) -> bool:
        """Return whether this process of the host may still be running."""
        member = self._members.get(host_id)
        if member is None or incarnation > member.incarnation:
            return True
        return incarnation == member.incarnation and member.reachable

    def pop_changed(self) -> list[HostId]:
        """Return the hosts whose record changed since the last call."""
        changed = list(self.changed)
        self.changed.clear()
        return changed

    # -- own record

    def set_draining(self, *, draining: bool) -> None:
        """Set the draining flag in a new version of this host's record."""
        self._set_own(replace(self.own, draining=draining), refute=True)

    def leave(self) -> None:
        """Record that this process ends; peers stop probing it."""
        self._set_own(replace(self.own, state=MemberState.LEFT))

    def _set_own(self, member: Member, *, refute: bool = False) -> None:
        if refute:
            member = replace(member, refutation=member.refutation + 1)
        self.own = member
        self._members[member.host_id] = member
        self.changed[member.host_id] = None

    def _merge_own(self, received: Member) -> None:
        """Refute a record of this host, unless a later process made it."""
        own = self.own
        if own.state is MemberState.LEFT or not supersedes(received, own):
            return
        if received.incarnation > own.incarnation:
            is_elsewhere = (
                received.addresses.peer_udp != own.addresses.peer_udp
            )
            if is_elsewhere and received.reachable:
                self.superseded = True
                return
            # An earlier process of this host had a clock that was ahead.
            self._set_own(replace(own, incarnation=received.incarnation + 1))
            return
        if received.state is MemberState.LEFT:
            # LEFT outranks any refutation within the same incarnation.
            self._set_own(replace(own, incarnation=own.incarnation + 1))
            return
        self._set_own(
            replace(own, refutation=max(own.refutation, received.refutation)),
            refute=True,
        )

    # -- records from peers

    def merge(self, now: float, member: Member) -> None:
        """Merge a record received from a peer."""
        if member.host_id == self.own.host_id:
            self._merge_own(member)
            return
        old = self._members.get(member.host_id)
        if old is None and not member.reachable:
            return
        if old is not None and not supersedes(member, old):
            return
        if self._is_address_reused(member):
            return
        if _must_be_suspect_first(member, old):
            member = replace(member, state=MemberState.SUSPECT)
        self._store(now, member)

    def _is_address_reused(self, member: Member) -> bool:
        """Return whether a later process has the address of this one."""
        if not member.reachable:
            return False
        holder = self._by_udp.get(member.addresses.peer_udp)
        known = self._members.get(holder) if holder else None
        if known is None or known.host_id == member.host_id:
            return False
        return known.reachable and known.incarnation > member.incarnation

    def _store(self, now: float, member: Member) -> None:
        host_id = member.host_id
        self._members[host_id] = member
        self._reachable = None
        self.changed[host_id] = None
        self._suspected_until.pop(host_id, None)
        self._unreachable_since.pop(host_id, None)
        if member.state is MemberState.SUSPECT:
            deadline = now + suspicion_s(len(self._members))
            self._suspected_until[host_id] = deadline
        if not member.reachable:
            self._unreachable_since[host_id] = now
            return
        address = member.addresses.peer_udp
        previous = self._members.get(self._by_udp.get(address, HostId("")))
        self._by_udp[address] = host_id
        if previous is None or previous.host_id == host_id:
            return
        if previous.reachable and previous.addresses.peer_udp == address:
            # A new process listens on the address of the old one.
            self._store(now, replace(previous, state=MemberState.DEAD))

    def _set_state(
        self, now: float, host_id: HostId, state: MemberState
    ) -> None:
        member = self._members.get(host_id)
        if member is not None:
            changed = replace(member, state=state)
            if supersedes(changed, member):
                self._store(now, changed)

    # -- probes

    def tick(self, now: float) -> list[Outgoing]:
        """Run the timers; return the probes to send."""
        self._allow_for_pause(now)
        out = self._check_pending(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_S
            out.extend(self._start_probe(now))
        if now >= self._next_reconnect_at:
            wait_s = RECONNECT_PERIOD_S if self.reachable() else JOIN_PERIOD_S
            wait_s *= self._rng.uniform(0.75, 1.25)
            self._next_reconnect_at = now + wait_s
            out.extend(self._reconnect())
        self._expire(now)
        return out

    def _allow_for_pause(self, now: float) -> None:
        """Discount the time in which this process did not run.

        Answers missed in it don't count against peers: the pending probe
        is dropped, and suspects get the gap in addition.
        """
        gap_s = now - (
            now if self._last_tick_at is None else self._last_tick_at
        )
        self._last_tick_at = now
        if gap_s < MIN_PAUSE_S:
            return
        self._pending = None
        for host_id in self._suspected_until:
            self._suspected_until[host_id] += gap_s

    def _check_pending(self, now: float) -> list[Outgoing]:
        pending = self._pending
        if pending is None:
            return []
        if now >= pending.fails_at:
            self._pending = None
            member = self._members.get(pending.host_id)
            if member and member.incarnation == pending.incarnation:
                self._set_state(now, pending.host_id, MemberState.SUSPECT)
            return []
        if pending.indirect_sent or now < pending.indirect_at:
            return []
        pending.indirect_sent = True
        return self._make_indirect_probes(pending)

    def _make_indirect_probes(self, pending: _PendingProbe) -> list[Outgoing]:
        target = self._members[pending.host_id]
        others = [m for m in self.reachable() if m.host_id != pending.host_id]
        helpers = self._rng.sample(
            others, min(INDIRECT_PROBE_HELPERS, len(others))
        )
        body = IndirectProbe(
            sequence=pending.sequence,
            target=target.host_id,
            incarnation=target.incarnation,
            address=target.addresses.peer_udp,
        )
        return [_outgoing(helper, body) for helper in helpers]

    def _start_probe(self, now: float) -> list[Outgoing]:
        target = self._next_target()
        if target is None:
            return []
        self._sequence += 1
        self._pending = _PendingProbe(
            sequence=self._sequence,
            host_id=target.host_id,
            incarnation=target.incarnation,
            indirect_at=now + ACK_TIMEOUT_S,
            fails_at=now + PROBE_PERIOD_S,
        )
        return [_outgoing(target, self._make_probe(target))]

    def _make_probe(self, target: Member) -> Probe:
        return Probe(
            sequence=self._sequence,
            target=target.host_id,
            incarnation=target.incarnation,
        )

    def _next_target(self) -> Member | None:
        # Shuffled rounds: each peer is probed once before any is again.
        for _ in range(2):
            while self._probe_round:
                member = self._members.get(self._probe_round.pop())
                if member is not None and member.reachable:
                    return member
            self._probe_round = [m.host_id for m in self.reachable()]
            self._rng.shuffle(self._probe_round)
        return None

    def _reconnect(self) -> list[Outgoing]:
        """Probe a dead host and a seed that is no reachable member."""
        out: list[Outgoing] = []
        dead = [
            m for m in self._members.values() if m.state is MemberState.DEAD
        ]
        if dead:
            target = self._rng.choice(dead)
            self._sequence += 1
            out.append(_outgoing(target, self._make_probe(target)))
        missing = [
            seed for seed in self._seeds if not self._is_member_address(seed)
        ]
        if missing:
            seed = self._rng.choice(missing)
            probe = Probe(sequence=0, target=HostId(""), incarnation=0)
            out.append(Outgoing(address=seed, target=None, body=probe))
        return out

    def _is_member_address(self, address: str) -> bool:
        member = self._members.get(self._by_udp.get(address, HostId("")))
        return member is not None and member.reachable

    def _expire(self, now: float) -> None:
        for host_id, deadline in list(self._suspected_until.items()):
            if now >= deadline:
                self._set_state(now, host_id, MemberState.DEAD)
        for host_id, since in list(self._unreachable_since.items()):
            if now >= since + DEAD_RETENTION_S:
                self._forget(host_id)
        self._relays.expire(now)

    def _forget(self, host_id: HostId) -> None:
        address = self._members[host_id].addresses.peer_udp
        if self._by_udp.get(address) == host_id:
            del self._by_udp[address]
        del self._unreachable_since[host_id]
        del self._members[host_id]
        self.changed[host_id] = None

    # -- messages

    def make_extra_probe(self, host_id: HostId) -> Outgoing | None:
        """Return a probe whose missing answer has no consequence."""
        member = self._members.get(host_id)
        if member is None:
            return None
        probe = Probe(
            sequence=0, target=host_id, incarnation=member.incarnation
        )
        return _outgoing(member, probe)

    def on_probe(self, source: str, sender: HostId, probe: Probe) -> Outgoing:
        """Acknowledge a probe as this process, whatever its target was."""
        body = Ack(
            sequence=probe.sequence,
            host_id=self.own.host_id,
            incarnation=self.own.incarnation,
        )
        return Outgoing(address=source, target=sender, body=body)

    def on_indirect_probe(
        self, now: float, source: str, probe: IndirectProbe
    ) -> list[Outgoing]:
        """Probe the target on behalf of the host that asked."""
        self._sequence += 1
        if not self._relays.put(now, self._sequence, source, probe.sequence):
            return []
        body = Probe(
            sequence=self._sequence,
            target=probe.target,
            incarnation=probe.incarnation,
        )
        return [
            Outgoing(address=probe.address, target=probe.target, body=body)
        ]

    def on_ack(self, ack: Ack) -> list[Outgoing]:
        """Handle an acknowledgement, or relay it to the host that asked."""
        relay = self._relays.pop(ack.sequence)
        if relay is not None:
            relayed = replace(ack, sequence=relay.sequence)
            return [Outgoing(address=relay.address, target=None, body=relayed)]
        pending = self._pending
        if pending is None or pending.sequence != ack.sequence:
            return []
        # Another process may answer on the address of the one probed.
        is_target = (ack.host_id, ack.incarnation) == (
            pending.host_id,
            pending.incarnation,
        )
        if is_target:
            self._pending = None
        return []


def _must_be_suspect_first(new: Member, old: Member | None) -> bool:
    """Return whether a peer reported dead is only suspected at first.

    That holds for one that this host believed alive: when regions are
    connected again after a partition, each spreads records of the other's
    hosts as dead, and as suspects these get the time to refute that.
    """
    if old is None or new.state is not MemberState.DEAD:
        return False
    return old.state is MemberState.ALIVE


def _outgoing(target: Member, body: Probe | IndirectProbe) -> Outgoing:
    return Outgoing(
        address=target.addresses.peer_udp, target=target.host_id, body=body
    )
