"""Leases on the control duties, held by a few candidate hosts each."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.watch import Duty
from waxwingarch.core.duties.lease import (
    LeaseHeld,
    LeaseLost,
    LeaseMachine,
    LeaseTimer,
    ReadLease,
    SetLeaseTimer,
    WriteLease,
)

CANDIDATES_PER_DUTY: Final = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseReply(Event):
    """The reply to a `LeaseCall`."""

    duty: str
    reply: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseCall(Action):
    """Read or write a lease row."""

    duty: str
    call: ReadLease | WriteLease


@dataclass(kw_only=True, slots=True)
class _Held:
    machine: LeaseMachine
    started: bool = False
    wake_at: float | None = None


class DutyLeases:
    """The lease machines of this host, one a duty.

    Only the hosts that rendezvous hashing names as candidates touch a
    lease's row, so that its load on the table does not grow with the
    number of hosts.
    """

    def __init__(self, cluster: Cluster, duties: Iterable[str]) -> None:
        self._cluster = cluster
        own = cluster.own
        self._own = own.host_id
        self._incarnation = own.incarnation
        self._leases = {duty: self._fresh(duty) for duty in duties}

    def _fresh(self, duty: str) -> _Held:
        machine = LeaseMachine(duty, self._own, self._incarnation)
        return _Held(machine=machine)

    def may_act(self, now: float, duty: str) -> bool:
        """Return whether this host may act for a duty at this moment."""
        return self._leases[duty].machine.may_act(now)

    def fencing(self, duty: str) -> int:
        """Return the fencing number for orders; only if `may_act`."""
        return self._leases[duty].machine.fencing

    def handle(self, now: float, event: LeaseReply) -> list[Action]:
        """Take a reply."""
        lease = self._leases[event.duty]
        return self._translate(lease, lease.machine.handle(now, event.reply))

    def tick(self, now: float) -> list[Action]:
        """Start where this host is a candidate; fire due timers."""
        actions: list[Action] = []
        for duty, lease in list(self._leases.items()):
            if not lease.started:
                actions += self._start(now, duty, lease)
            elif lease.wake_at is not None and now >= lease.wake_at:
                lease.wake_at = None
                if self._may_retire(duty, lease):
                    self._leases[duty] = self._fresh(duty)
                    continue
                woken = lease.machine.handle(now, LeaseTimer())
                actions += self._translate(lease, woken)
        return actions

    def resign(self, now: float) -> list[Action]:
        """Release what this host holds: it is stopping."""
        return [
            action
            for lease in self._leases.values()
            if lease.started
            for action in self._translate(lease, lease.machine.resign(now))
        ]

    def _is_candidate(self, duty: str) -> bool:
        return self._cluster.duties().is_responsible(
            self._own,
            f"lease/{duty}",
            Duty.POLL_TABLE,
            CANDIDATES_PER_DUTY,
        )

    def _may_retire(self, duty: str, lease: _Held) -> bool:
        """Tell whether a host may stop reading the row.

        It was a candidate among fewer hosts, and holds nothing.
        """
        return not lease.machine.memory.held and not self._is_candidate(duty)

    def _start(self, now: float, duty: str, lease: _Held) -> list[Action]:
        if not self._is_candidate(duty):
            return []
        lease.started = True
        return self._translate(lease, lease.machine.start(now))

    def _translate(self, lease: _Held, actions: list[Action]) -> list[Action]:
        result: list[Action] = []
        for action in actions:
            match action:
                case SetLeaseTimer(at=at):
                    lease.wake_at = at
                case ReadLease() | WriteLease():
                    call = LeaseCall(duty=action.duty, call=action)
                    result.append(call)
                case LeaseHeld() | LeaseLost():
                    pass
        return result
