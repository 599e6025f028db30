"""Whether this host has a path to the servers of each service.

A host can be partitioned from servers that the other hosts reach. It is
judged by several servers of a service: one that fails alone is at fault
itself.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.backends.registry import BackendRegistry
from waxwingarch.core.base import Action, Server, ServerId, ServiceId
from waxwingarch.core.exchange.exchange_messages import AttemptOutcome

# The path to a service counts as lost when servers at this many addresses
# failed and none has answered on a new connection since.
LOST_AFTER_SERVERS: Final = 2
# Failures that are further apart than this are no partition.
FAILURE_VALID_S: Final = 3.0
# While a path is lost, one request in this time tries it.
TRIAL_INTERVAL_S: Final = 0.5
# Outcomes that a partition causes. A connection that breaks is no sign of
# one: servers that crash under a request break it as well.
PARTITION_OUTCOMES: Final = frozenset(
    {AttemptOutcome.NOT_SENT, AttemptOutcome.SILENT}
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PathChanged(Action):
    """The path to a service was lost, or is there again.

    `failed` are the servers that did not answer.
    """

    service: ServiceId
    is_lost: bool
    failed: tuple[ServerId, ...]


@dataclass(kw_only=True, slots=True)
class _Path:
    """The servers of a service that failed, with the times.

    `lost_at` is when the path was found to be lost, and `next_trial_at`
    when a request may try it again.
    """

    failed_at: dict[ServerId, float] = field(default_factory=dict)
    lost_at: float | None = None
    next_trial_at: float = 0.0


class PathMonitor:
    """Judges the paths to services by the attempts of this host."""

    def __init__(self, registry: BackendRegistry) -> None:
        self._registry = registry
        self._paths: dict[ServiceId, _Path] = {}
        self._changes: list[PathChanged] = []

    def is_lost(self, service: ServiceId) -> bool:
        """Return whether this host has no path to a service's servers."""
        path = self._paths.get(service)
        return path is not None and path.lost_at is not None

    def explains_failure(self, service: ServiceId, sent_at: float) -> bool:
        """Return whether a partition may have ended an attempt.

        An attempt that was sent later had a connection of its own.
        """
        path = self._paths.get(service)
        return (
            path is not None
            and path.lost_at is not None
            and sent_at < path.lost_at
        )

    def lost_services(self) -> tuple[ServiceId, ...]:
        """Return the services to which the path is lost."""
        return tuple(s for s in sorted(self._paths) if self.is_lost(s))

    def take_trial(self, now: float, service: ServiceId) -> bool:
        """Return whether a request may try a lost path, and count it."""
        path = self._paths[service]
        if now < path.next_trial_at:
            return False
        path.next_trial_at = now + TRIAL_INTERVAL_S
        return True

    def has_untried(self, service: ServiceId) -> bool:
        """Return whether a server has not failed since the path was lost."""
        path = self._paths[service]
        return any(
            b.server.server_id not in path.failed_at
            for b in self._registry.usable_backends(service)
        )

    def record_failure(
        self,
        now: float,
        server_id: ServerId,
        outcome: AttemptOutcome,
        *,
        response_started: bool,
        last_activity_at: float,
        sent_at: float,
    ) -> None:
        """Record the end of an attempt that failed.

        An attempt on a connection counts only if the server has sent
        nothing at all since; that the connection can't be made counts in
        any case. A server whose address a later process has says nothing of
        the path.
        """
        backend = self._registry.get(server_id)
        if (
            backend is None
            or self._registry.is_superseded(server_id)
            or outcome not in PARTITION_OUTCOMES
            or response_started
            or (
                outcome is not AttemptOutcome.NOT_SENT
                and last_activity_at > sent_at
            )
        ):
            return
        service = backend.server.service
        path = self._paths.setdefault(service, _Path())
        path.failed_at[server_id] = now
        if path.lost_at is not None:
            return
        path.failed_at = {
            name: at
            for name, at in path.failed_at.items()
            if now - at <= FAILURE_VALID_S
        }
        usable = self._registry.usable_backends(service)
        addresses = {b.server.address for b in usable}
        failed = {
            found.server.address
            for name in path.failed_at
            if (found := self._registry.get(name)) is not None
            and not self._registry.is_superseded(name)
        }
        if len(failed) >= min(LOST_AFTER_SERVERS, len(addresses)):
            path.lost_at = now
            path.next_trial_at = now + TRIAL_INTERVAL_S
            self._note_change(service, path.failed_at, is_lost=True)

    def record_answer(
        self, server: Server, *, sent_at: float, on_new_connection: bool
    ) -> Collection[ServerId]:
        """Record that a server answers; returns the servers to forgive.

        Connections from before a partition may live on, so that only a new
        one shows a path. The servers that failed while there was none were
        sound, as far as this host can tell.
        """
        path = self._paths.get(server.service)
        if path is None or not on_new_connection:
            return ()
        if path.lost_at is None:
            path.failed_at.clear()
            return ()
        if sent_at < path.lost_at:
            return ()
        failed = list(path.failed_at)
        del self._paths[server.service]
        self._note_change(server.service, failed, is_lost=False)
        return failed

    def _note_change(
        self, service: ServiceId, failed: Iterable[ServerId], *, is_lost: bool
    ) -> None:
        change = PathChanged(
            service=service, is_lost=is_lost, failed=tuple(sorted(failed))
        )
        self._changes.append(change)

    def take_changes(self) -> list[PathChanged]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes
