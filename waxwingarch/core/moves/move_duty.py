"""Advances the version moves on the host that holds their lease."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, Server, ServerId, ServiceId
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.duties.duty_leases import DutyLeases
from waxwingarch.core.moves.move import MoveDriver, MoveView
from waxwingarch.core.moves.move_coordinator import MoveCoordinator
from waxwingarch.core.moves.move_policy import PacedPolicy
from waxwingarch.core.moves.move_record import MoveRecord, WriteMove
from waxwingarch.core.moves.service_load import ServiceLoad
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.servers.server_registry import ServerRegistry

MOVES_DUTY: Final = "moves"
TICK_PERIOD_S: Final = 1.0
# Assumed time from the order of a server until it is ready.
ASSUMED_START_S: Final = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitMove(Action):
    """Write a move as a settings document, then carry out `then`.

    The write succeeds only if `base_revision` is still in force, and the
    actions of `then` are carried out only if it has succeeded.
    """

    record: MoveRecord
    base_revision: int
    then: tuple[Action, ...]


class MoveDuty:
    """Ticks the driver for each move while this host holds the lease."""

    def __init__(
        self,
        cluster: Cluster,
        servers: ServerRegistry,
        selector: ServerSelector,
        coordinator: MoveCoordinator,
        leases: DutyLeases,
        unix_offset: float,
    ) -> None:
        self._cluster = cluster
        self._servers = servers
        self._selector = selector
        self._coordinator = coordinator
        self._leases = leases
        self._unix_offset = unix_offset
        self._driver = MoveDriver(PacedPolicy())
        self._next_tick_at = 0.0
        self._load_by_service: dict[ServiceId, ServiceLoad] = {}

    def tick(self, now: float) -> list[Action]:
        """Advance each move by at most one write per `TICK_PERIOD_S`."""
        may_act = self._leases.may_act(now, MOVES_DUTY)
        if not may_act or now < self._next_tick_at:
            return []
        self._next_tick_at = now + TICK_PERIOD_S
        return [
            action
            for record in self._coordinator.records()
            for action in self._advance(now, record)
        ]

    def _advance(self, now: float, record: MoveRecord) -> list[Action]:
        actions = self._driver.tick(self._build_view(now, record))
        if not actions or not isinstance(actions[0], WriteMove):
            return actions
        return [
            CommitMove(
                record=actions[0].record,
                base_revision=self._cluster.settings.applied_revision,
                then=tuple(actions[1:]),
            )
        ]

    def _build_view(self, now: float, record: MoveRecord) -> MoveView:
        candidates = self._servers.candidates(record.service)
        new = [s for s in candidates if s.version == record.new_version]
        old = [s for s in candidates if s.version == record.old_version]
        starting = [
            s
            for s in self._servers.starting
            if s.service == record.service and s.version == record.new_version
        ]
        needed = max(len(old), 1)
        closed_hosts = self._coordinator.evidence.closed_hosts(record.move_id)
        hosts = self._cluster.membership.members()
        return MoveView(
            unix_now=now + self._unix_offset,
            record=record,
            record_version=self._cluster.settings.applied_revision,
            fencing=self._leases.fencing(MOVES_DUTY),
            stop_marks=self._coordinator.stop_marks(),
            verdict=self._coordinator.verdict(now, record),
            new_servers=_sorted_ids(new),
            old_servers=_sorted_ids(old),
            starting_new=len(starting),
            start_s=ASSUMED_START_S,
            needed=needed,
            full_load_share=self._full_load_share(record.service, old, new),
            route_shares=self._coordinator.evidence.route_shares(
                record.move_id
            ),
            new_running=sum(self._selector.running(s) for s in new),
            open_hosts=tuple(
                sorted(
                    m.host_id
                    for m in hosts
                    if m.reachable and m.host_id not in closed_hosts
                )
            ),
        )

    def _full_load_share(
        self, service: ServiceId, old: list[Server], new: list[Server]
    ) -> float:
        """Return the share of the service's requests that fills a server.

        The current load enters the moving average first.
        """
        load = self._load_by_service.setdefault(service, ServiceLoad())
        load.record_running(sum(self._selector.running(s) for s in old + new))
        return load.full_load_share(
            sum(server.slots for server in old) / max(len(old), 1)
        )


def _sorted_ids(servers: list[Server]) -> tuple[ServerId, ...]:
    return tuple(sorted(server.server_id for server in servers))
