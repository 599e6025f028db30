"""Who is alive among the entry hosts: probes, suspicion, refutation."""

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
INDIRECT_PROBES: Final = 3
SUSPICION_PERIODS: Final = 2.0
RECONNECT_PERIOD_S: Final = 5.0
JOIN_PERIOD_S: Final = 0.5
DEAD_RETENTION_S: Final = 3_600.0
# A gap this long between two ticks means that this process was paused.
PAUSE_S: Final = 0.9


@dataclass(kw_only=True, slots=True)
class _Pending:
    """The probe that waits for its answer."""

    sequence: int
    host_id: HostId
    incarnation: int
    indirect_at: float
    fails_at: float
    indirect_sent: bool = False


def suspicion_s(hosts: int) -> float:
    """Return how long a suspect among so many hosts may refute."""
    return SUSPICION_PERIODS * PROBE_PERIOD_S * math.log10(max(10, hosts))


class Membership:
    """Members known to one host; a constant number of probes a second.

    `changed` collects the hosts whose record changed since it was last
    taken. A host that is told something wrong of itself refutes it; one
    that learns of a later process in its own name is `superseded`.
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
        self._gone_at: dict[HostId, float] = {}
        self._round: list[HostId] = []
        self._pending: _Pending | None = None
        self._relays = RelayTable()
        self._sequence = rng.getrandbits(24)
        self._next_probe_at = 0.0
        self._next_reconnect_at = 0.0
        self._last_tick_at: float | None = None

    def members(self) -> tuple[Member, ...]:
        """Return all members known, this host and dead ones included."""
        return tuple(self._members.values())

    def member(self, host_id: HostId) -> Member | None:
        """Return what is known of the host."""
        return self._members.get(host_id)

    def reachable(self) -> list[Member]:
        """Return the peers that count as there."""
        if self._reachable is None:
            self._reachable = [
                m
                for m in self._members.values()
                if m.reachable and m.host_id != self.own.host_id
            ]
        return self._reachable

    def is_current(self, host_id: HostId, incarnation: int) -> bool:
        """Tell whether this process of the host may still be running."""
        member = self._members.get(host_id)
        if member is None or incarnation > member.incarnation:
            return True
        return incarnation == member.incarnation and member.reachable

    def take_changed(self) -> list[HostId]:
        """Return the hosts changed since the last call."""
        changed = list(self.changed)
        self.changed.clear()
        return changed

    # -- what this host says of itself

    def update_own(self, *, draining: bool) -> None:
        """Change the draining flag of this host."""
        self._set_own(replace(self.own, draining=draining), corrects=True)

    def leave(self) -> None:
        """Record that this process ends; peers stop probing it."""
        self._set_own(replace(self.own, state=MemberState.LEFT))

    def _set_own(self, member: Member, *, corrects: bool = False) -> None:
        if corrects:
            member = replace(member, refutation=member.refutation + 1)
        self.own = member
        self._members[member.host_id] = member
        self.changed[member.host_id] = None

    def _heard_of_self(self, said: Member) -> None:
        own = self.own
        if own.state is MemberState.LEFT or not supersedes(said, own):
            return
        if said.incarnation > own.incarnation:
            elsewhere = said.addresses.peer_udp != own.addresses.peer_udp
            if elsewhere and said.reachable:
                self.superseded = True
                return
            # An earlier process had a clock that was ahead.
            self._set_own(replace(own, incarnation=said.incarnation + 1))
            return
        if said.state is MemberState.LEFT:
            self._set_own(replace(own, incarnation=own.incarnation + 1))
            return
        self._set_own(
            replace(own, refutation=max(own.refutation, said.refutation)),
            corrects=True,
        )

    # -- what others say

    def learn(self, now: float, member: Member) -> None:
        """Merge a record that came from a peer."""
        if member.host_id == self.own.host_id:
            self._heard_of_self(member)
            return
        old = self._members.get(member.host_id)
        if old is None and not member.reachable:
            return
        if old is not None and not supersedes(member, old):
            return
        if self._outdated_by_address(member):
            return
        if _needs_second_opinion(member, old):
            member = replace(member, state=MemberState.SUSPECT)
        self._store(now, member)

    def _outdated_by_address(self, member: Member) -> bool:
        """Tell whether a later process has the address of this one."""
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
        self._gone_at.pop(host_id, None)
        if member.state is MemberState.SUSPECT:
            limit = now + suspicion_s(len(self._members))
            self._suspected_until[host_id] = limit
        if not member.reachable:
            self._gone_at[host_id] = now
            return
        address = member.addresses.peer_udp
        before = self._members.get(self._by_udp.get(address, HostId("")))
        self._by_udp[address] = host_id
        if before is None or before.host_id == host_id:
            return
        if before.reachable and before.addresses.peer_udp == address:
            # A new process listens where the old one did.
            self._store(now, replace(before, state=MemberState.DEAD))

    def _judge(self, now: float, host_id: HostId, state: MemberState) -> None:
        member = self._members.get(host_id)
        if member is not None:
            judged = replace(member, state=state)
            if supersedes(judged, member):
                self._store(now, judged)

    # -- probes

    def tick(self, now: float) -> list[Outgoing]:
        """Run the timers; return the messages to send."""
        self._forgive_pause(now)
        out = self._check_pending(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_S
            out.extend(self._start_probe(now))
        if now >= self._next_reconnect_at:
            wait = RECONNECT_PERIOD_S if self.reachable() else JOIN_PERIOD_S
            wait *= self._rng.uniform(0.75, 1.25)
            self._next_reconnect_at = now + wait
            out.extend(self._reconnect())
        self._expire(now)
        return out

    def _forgive_pause(self, now: float) -> None:
        """Blame nobody for answers missed while this process stood."""
        gap = now - (now if self._last_tick_at is None else self._last_tick_at)
        self._last_tick_at = now
        if gap < PAUSE_S:
            return
        self._pending = None
        for host_id in self._suspected_until:
            self._suspected_until[host_id] += gap

    def _check_pending(self, now: float) -> list[Outgoing]:
        pending = self._pending
        if pending is None:
            return []
        if now >= pending.fails_at:
            self._pending = None
            member = self._members.get(pending.host_id)
            if member and member.incarnation == pending.incarnation:
                self._judge(now, pending.host_id, MemberState.SUSPECT)
            return []
        if pending.indirect_sent or now < pending.indirect_at:
            return []
        pending.indirect_sent = True
        return self._ask_others(pending)

    def _ask_others(self, pending: _Pending) -> list[Outgoing]:
        target = self._members[pending.host_id]
        others = [m for m in self.reachable() if m.host_id != pending.host_id]
        chosen = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        body = IndirectProbe(
            sequence=pending.sequence,
            target=target.host_id,
            incarnation=target.incarnation,
            address=target.addresses.peer_udp,
        )
        return [_outgoing(helper, body) for helper in chosen]

    def _start_probe(self, now: float) -> list[Outgoing]:
        target = self._next_target()
        if target is None:
            return []
        self._sequence += 1
        self._pending = _Pending(
            sequence=self._sequence,
            host_id=target.host_id,
            incarnation=target.incarnation,
            indirect_at=now + ACK_TIMEOUT_S,
            fails_at=now + PROBE_PERIOD_S,
        )
        return [_outgoing(target, self._probe_of(target))]

    def _probe_of(self, target: Member) -> Probe:
        return Probe(
            sequence=self._sequence,
            target=target.host_id,
            incarnation=target.incarnation,
        )

    def _next_target(self) -> Member | None:
        # One shuffled round after another: each peer's turn comes.
        for _ in range(2):
            while self._round:
                member = self._members.get(self._round.pop())
                if member is not None and member.reachable:
                    return member
            self._round = [m.host_id for m in self.reachable()]
            self._rng.shuffle(self._round)
        return None

    def _reconnect(self) -> list[Outgoing]:
        """Try one host that seems dead and one seed not among members."""
        out: list[Outgoing] = []
        dead = [
            m for m in self._members.values() if m.state is MemberState.DEAD
        ]
        if dead:
            target = self._rng.choice(dead)
            self._sequence += 1
            out.append(_outgoing(target, self._probe_of(target)))
        missing = [seed for seed in self._seeds if not self._has(seed)]
        if missing:
            seed = self._rng.choice(missing)
            probe = Probe(sequence=0, target=HostId(""), incarnation=0)
            out.append(Outgoing(address=seed, target=None, body=probe))
        return out

    def _has(self, address: str) -> bool:
        member = self._members.get(self._by_udp.get(address, HostId("")))
        return member is not None and member.reachable

    def _expire(self, now: float) -> None:
        for host_id, limit in list(self._suspected_until.items()):
            if now >= limit:
                self._judge(now, host_id, MemberState.DEAD)
        for host_id, gone_at in list(self._gone_at.items()):
            if now >= gone_at + DEAD_RETENTION_S:
                self._forget(host_id)
        self._relays.expire(now)

    def _forget(self, host_id: HostId) -> None:
        address = self._members[host_id].addresses.peer_udp
        if self._by_udp.get(address) == host_id:
            del self._by_udp[address]
        del self._gone_at[host_id]
        del self._members[host_id]
        self.changed[host_id] = None

    # -- messages

    def ask(self, host_id: HostId) -> Outgoing | None:
        """Return a probe outside the rounds; silence blames nobody."""
        member = self._members.get(host_id)
        if member is None:
            return None
        probe = Probe(
            sequence=0, target=host_id, incarnation=member.incarnation
        )
        return _outgoing(member, probe)

    def on_probe(self, source: str, sender: HostId, probe: Probe) -> Outgoing:
        """Answer a probe in this process's own name, whoever was meant."""
        body = Ack(
            sequence=probe.sequence,
            host_id=self.own.host_id,
            incarnation=self.own.incarnation,
        )
        return Outgoing(address=source, target=sender, body=body)

    def on_indirect_probe(
        self, now: float, source: str, probe: IndirectProbe
    ) -> list[Outgoing]:
        """Probe the target in the name of the host that asked."""
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
        """Take an answer, or pass it on to the host that wants it."""
        relay = self._relays.pop(ack.sequence)
        if relay is not None:
            passed_on = replace(ack, sequence=relay.sequence)
            return [
                Outgoing(address=relay.address, target=None, body=passed_on)
            ]
        pending = self._pending
        if pending is None or pending.sequence != ack.sequence:
            return []
        # Another process may answer where the one asked for used to be.
        same = (ack.host_id, ack.incarnation) == (
            pending.host_id,
            pending.incarnation,
        )
        if same:
            self._pending = None
        return []


def _needs_second_opinion(new: Member, old: Member | None) -> bool:
    """Tell whether a death is news to a host that suspected nothing.

    When regions find each other again, each says that the other's hosts
    are dead; as mere suspects they get the time to refute it.
    """
    if old is None or new.state is not MemberState.DEAD:
        return False
    return old.state is MemberState.ALIVE


def _outgoing(target: Member, body: Probe | IndirectProbe) -> Outgoing:
    return Outgoing(
        address=target.addresses.peer_udp, target=target.host_id, body=body
    )
