"""Puts evacuations of failure domains in force on a front host."""

from collections.abc import Mapping

from waxwingarch.core.backends.evacuations import (
    EvacuationChanged,
    EvacuationPhase,
    Evacuations,
    EvacuationsRead,
)
from waxwingarch.core.backends.load_balancer import LoadBalancer
from waxwingarch.core.base import Action, Event
from waxwingarch.core.duties.autoscaler import Autoscaler
from waxwingarch.core.node import Handler
from waxwingarch.core.peers.report import HostReport


class FrontEvacuations:
    """Applies changes of evacuations to the parts that obey them.

    `is_enabled` says whether this deployment has evacuations; without them
    their rows and reports are ignored.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        load_balancer: LoadBalancer,
        autoscaler: Autoscaler,
        *,
        is_enabled: bool,
    ) -> None:
        self._evacuations = evacuations
        self._load_balancer = load_balancer
        self._autoscaler = autoscaler
        self._is_enabled = is_enabled

    def handlers(self) -> Mapping[type[Event], Handler]:
        """Return the handlers of the events about evacuations."""
        return {EvacuationsRead: self._handle_read}

    def _handle_read(self, now: float, event: EvacuationsRead) -> list[Action]:
        if not self._is_enabled:
            return []
        return self._apply(now, self._evacuations.apply(now, event))

    def record_report(self, now: float, report: HostReport) -> list[Action]:
        """Adopt the evacuations that a peer keeps without their rows."""
        if not report.kept_evacuations or not self._is_enabled:
            return []
        changes = self._evacuations.record_report(
            now, report.config_version, report.kept_evacuations
        )
        return self._apply(now, changes)

    def tick(self, now: float, *, serving: bool) -> list[Action]:
        """End what was kept for long enough, and warn of likely mistakes."""
        if not self._evacuations:
            return []
        actions = self._apply(now, self._evacuations.tick(now))
        if not serving:
            return actions
        known_domains = {
            backend.server.failure_domain
            for backend in self._load_balancer.registry.all_backends()
        }
        return [*actions, *self._evacuations.warnings(known_domains)]

    def _apply(
        self, now: float, changes: list[EvacuationChanged]
    ) -> list[Action]:
        """Put changed evacuations in force; returns actions to log.

        At the end of one the load returns to the domain, whose servers may
        have become cold meanwhile.
        """
        if not changes:
            return []
        self._load_balancer.registry.set_evacuated(self._evacuations.domains)
        actions: list[Action] = [*changes]
        for change in changes:
            if change.phase is EvacuationPhase.ENDED:
                self._autoscaler.handle_evacuation_end(now, change.domain)
                actions += self._load_balancer.cold.record_evacuation_end(
                    now, change.domain
                )
        return actions
