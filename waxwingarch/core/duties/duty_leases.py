"""The leases of the contract node's duties, one for each duty.

Each follows the protocol of `lease`. The hosts on the platform have one
lease for all their duties instead, see `leader_election`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Event
from waxwingarch.core.cluster.assignments import Duty
from waxwingarch.core.cluster.cluster import Cluster
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
    """Read or write the row of a duty's lease."""

    duty: str
    call: ReadLease | WriteLease


@dataclass(kw_only=True, slots=True)
class _LeaseState:
    """A lease machine, whether it was started, and its timer."""

    machine: LeaseMachine
    started: bool = False
    wake_at: float | None = None


class DutyLeases:
    """The lease machines of this host, one for each duty.

    Only the candidates that rendezvous hashing selects read or write the
    row of a lease, so that the load on the table does not grow with the
    number of hosts.
    """

    def __init__(self, cluster: Cluster, duties: Iterable[str]) -> None:
        self._cluster = cluster
        own = cluster.own
        self._own = own.host_id
        self._incarnation = own.incarnation
        self._leases = {duty: self._new_lease(duty) for duty in duties}

    def _new_lease(self, duty: str) -> _LeaseState:
        machine = LeaseMachine(duty, self._own, self._incarnation)
        return _LeaseState(machine=machine)

    def may_act(self, now: float, duty: str) -> bool:
        """Return whether this host may act for a duty at this moment."""
        return self._leases[duty].machine.may_act(now)

    def fencing(self, duty: str) -> int:
        """Return the fencing number for orders; it is valid if `may_act`."""
        return self._leases[duty].machine.fencing

    def handle(self, now: float, event: LeaseReply) -> list[Action]:
        """Handle the reply to a call on a lease row."""
        lease = self._leases[event.duty]
        return self._translate(lease, lease.machine.handle(now, event.reply))

    def tick(self, now: float) -> list[Action]:
        """Start leases this host is now a candidate for; fire due timers."""
        actions: list[Action] = []
        for duty, lease in list(self._leases.items()):
            if not lease.started:
                actions += self._start(now, duty, lease)
            elif lease.wake_at is not None and now >= lease.wake_at:
                lease.wake_at = None
                if self._may_stop(duty, lease):
                    self._leases[duty] = self._new_lease(duty)
                    continue
                results = lease.machine.handle(now, LeaseTimer())
                actions += self._translate(lease, results)
        return actions

    def resign(self, now: float) -> list[Action]:
        """Release all leases that this host holds, as it is stopping."""
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

    def _may_stop(self, duty: str, lease: _LeaseState) -> bool:
        """Return whether this host may stop reading the row.

        It may if it was a candidate only while there were fewer hosts,
        and does not hold the lease.
        """
        return not lease.machine.memory.held and not self._is_candidate(duty)

    def _start(
        self, now: float, duty: str, lease: _LeaseState
    ) -> list[Action]:
        if not self._is_candidate(duty):
            return []
        lease.started = True
        return self._translate(lease, lease.machine.start(now))

    def _translate(
        self, lease: _LeaseState, actions: list[Action]
    ) -> list[Action]:
        """Keep timers, and wrap calls in the action of this module."""
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
