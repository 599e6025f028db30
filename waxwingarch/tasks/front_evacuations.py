"""Evacuations of failure domains: reads their rows, logs and counts them."""

from typing import Any, Final

from eliot import log_message

from waxwingarch.adapters.front_metrics import FrontMetrics
from waxwingarch.core.backends.evacuations import (
    EvacuationChanged,
    EvacuationSource,
    EvacuationsRead,
    EvacuationWarning,
)
from waxwingarch.core.base import FailureDomain
from waxwingarch.core.front_node import FrontNode
from waxwingarch.ports.front import RowCodec
from waxwingarch.tasks.runner import FrontRunner
from waxwingarch.tasks.table_watch import TableWatch

# Bounds of the names in one log line: an operator may write any key.
MAX_LOGGED_DOMAINS: Final = 8
MAX_LOGGED_NAME_CHARS: Final = 64


class FrontEvacuations:
    """Posts the evacuations in the operator's table, and logs changes."""

    def __init__(
        self, runner: FrontRunner, codec: RowCodec, metrics: FrontMetrics
    ) -> None:
        self._runner = runner
        self._codec = codec
        self._metrics = metrics
        metrics.evacuated_running = lambda: running_in_evacuated(runner.node)
        runner.connect(EvacuationChanged, self._log_change)
        runner.connect(EvacuationWarning, self._log_warning)

    def post_rows(self, watch: TableWatch) -> None:
        """Post the rows of a copy of the operator's table."""
        rows: dict[FailureDomain, int] = {}
        for row in watch.rows.values():
            domain = self._codec.decode_evacuated_domain(row.key)
            if domain is not None:
                rows[domain] = row.version
        removed: dict[FailureDomain, int] = {}
        for key, version in watch.removed.items():
            domain = self._codec.decode_evacuated_domain(key)
            if domain is not None:
                removed[domain] = version
        self._runner.post(
            EvacuationsRead(
                version=watch.version,
                rows=rows,
                removed=removed,
                source=EvacuationSource.PEER
                if watch.is_from_peer
                else EvacuationSource.STORE,
            )
        )

    def _log_change(self, action: EvacuationChanged) -> None:
        self._metrics.events[f"evacuation {action.phase.value}"] += 1
        log_message(
            message_type=f"evacuation_{action.phase.value}",
            failure_domain=action.domain[:MAX_LOGGED_NAME_CHARS],
            version=action.version,
            learnt_from=action.source.value,
            own_requests_there=_running_in(self._runner.node, action.domain),
        )

    def _log_warning(self, action: EvacuationWarning) -> None:
        self._metrics.events["evacuation warning"] += 1
        log_message(
            message_type="evacuation_warning",
            failure_domains=[
                domain[:MAX_LOGGED_NAME_CHARS]
                for domain in action.domains[:MAX_LOGGED_DOMAINS]
            ],
            reason=action.reason.value,
        )


def running_in_evacuated(front: FrontNode) -> dict[str, int]:
    """Return the own requests that still run in each evacuated domain."""
    return {
        domain: _running_in(front, domain)
        for domain in sorted(front.evacuations.domains)
    }


def build_evacuation_state(front: FrontNode, now: float) -> list[Any]:
    """Return the evacuations in force, for operators.

    `ends_in_s` is null for an evacuation whose row is in the store.
    """
    return [
        {
            "failure_domain": domain,
            "version": evacuation.version,
            "learnt_from": evacuation.source.value,
            "ends_in_s": None
            if evacuation.kept_until is None
            else round(evacuation.kept_until - now, 1),
            "own_requests_there": _running_in(front, domain),
        }
        for domain, evacuation in sorted(front.evacuations.in_force.items())
    ]


def _running_in(front: FrontNode, domain: FailureDomain) -> int:
    """Return the number of own requests on the servers of a domain."""
    balancer = front.load_balancer
    return sum(
        balancer.loads.own_running(backend.server.server_id)
        for backend in balancer.registry.all_backends()
        if backend.server.failure_domain == domain
    )
