"""Passive health checks: servers are judged by the results of requests."""

from dataclasses import dataclass
from itertools import islice
from typing import Final

from waxwingarch.core.base import ServerId

# Weight of the newest result in the moving average of failures, which
# thus covers about the last eight results.
RESULT_WEIGHT: Final = 0.125
# A server whose average exceeds this is avoided. Plain services that
# return some errors of their own stay well below it.
MAX_FAILURE_RATIO: Final = 0.3
# This many failures without a success between them show a dead server.
DEAD_AFTER_FAILURES: Final = 2
# How long a failing server is avoided at first. The time doubles whenever
# it has to be avoided again, up to the maximum.
INITIAL_AVOID_S: Final = 1.0
MAX_AVOID_S: Final = 8.0
# Connections of a server that break within this time count as one failure:
# their path may have been reset.
BREAKS_TOGETHER_S: Final = 0.1
# The average halves in this time while there are no new results.
FAILURE_HALF_LIFE_S: Final = 4.0
# A report lists at most this many avoided servers, since it has to fit
# into one datagram.
MAX_REPORTED_SERVERS: Final = 32


@dataclass(kw_only=True, slots=True)
class _ServerHealth:
    """The recent results of one server.

    `avoid_s` is how long the server is avoided the next time.
    `is_on_trial` is set while the single request is in flight that tries
    a dead server again. `is_silent` is set while no bytes have come since
    a response paused for too long. `broken_at` is when a connection last
    broke though the server took the next one.
    """

    failure_ratio: float = 0.0
    consecutive_failures: int = 0
    updated_at: float = 0.0
    avoid_until: float = float("-inf")
    avoid_s: float = INITIAL_AVOID_S
    broken_at: float = float("-inf")
    is_on_trial: bool = False
    is_silent: bool = False


class HealthTracker:
    """Failure ratios by server, and the servers that are avoided."""

    def __init__(self) -> None:
        self._records: dict[ServerId, _ServerHealth] = {}

    def failure_ratio(self, now: float, server_id: ServerId) -> float:
        """Return the share of recent requests that failed on a server."""
        record = self._records.get(server_id)
        return self._decayed_ratio(now, record) if record else 0.0

    def is_avoided(self, now: float, server_id: ServerId) -> bool:
        """Return whether a server should get no requests now.

        When the time for which a dead server is avoided has passed, a
        single request tries it, and the server is avoided until that
        request ends. A server that is avoided for any other reason gets
        requests again as soon as its time has passed.
        """
        record = self._records.get(server_id)
        if record is None:
            return False
        return now < record.avoid_until or record.is_on_trial

    def avoided_servers(self, now: float) -> tuple[ServerId, ...]:
        """Return the servers that this host avoids, for its report."""
        found = (
            server_id
            for server_id, record in self._records.items()
            if now < record.avoid_until
        )
        return tuple(islice(found, MAX_REPORTED_SERVERS))

    def record_attempt(self, now: float, server_id: ServerId) -> None:
        """Record a request to a server, which may be its trial."""
        record = self._records.get(server_id)
        if (
            record is not None
            and record.consecutive_failures >= DEAD_AFTER_FAILURES
        ):
            record.is_on_trial = True

    def record_success(self, now: float, server_id: ServerId) -> None:
        """Record a success, which may end the time a server is avoided.

        With a failure ratio that is still too high, the server is avoided
        for the rest of that time.
        """
        record = self._records.get(server_id)
        if record is None:
            return
        record.failure_ratio = self._decayed_ratio(now, record) * (
            1 - RESULT_WEIGHT
        )
        record.updated_at = now
        record.consecutive_failures = 0
        record.is_on_trial = False
        if record.failure_ratio < MAX_FAILURE_RATIO:
            record.avoid_s = INITIAL_AVOID_S
            record.avoid_until = now

    def record_failure(
        self, now: float, server_id: ServerId, *, unreachable: bool
    ) -> bool:
        """Record a failure; return whether it makes the server avoided.

        It doesn't if the server is avoided already. `unreachable` says that
        the request did not get to the server, which is then avoided at its
        first failure.
        """
        record = self._records.setdefault(
            server_id, _ServerHealth(updated_at=now)
        )
        decayed = self._decayed_ratio(now, record)
        record.failure_ratio = decayed * (1 - RESULT_WEIGHT) + RESULT_WEIGHT
        record.updated_at = now
        record.consecutive_failures += 1
        record.is_on_trial = record.is_silent = False
        is_dead = (
            unreachable or record.consecutive_failures >= DEAD_AFTER_FAILURES
        )
        if now < record.avoid_until or not (
            is_dead or record.failure_ratio > MAX_FAILURE_RATIO
        ):
            return False
        record.avoid_until = now + record.avoid_s
        record.avoid_s = min(MAX_AVOID_S, record.avoid_s * 2)
        return True

    def record_break(self, now: float, server_id: ServerId) -> None:
        """Record that a connection broke whose server takes the next one."""
        record = self._records.setdefault(
            server_id, _ServerHealth(updated_at=now)
        )
        is_first = now - record.broken_at > BREAKS_TOGETHER_S
        record.broken_at = now
        if is_first:
            self.record_failure(now, server_id, unreachable=False)
        else:
            self.end_trial(server_id)

    def is_silent(self, server_id: ServerId) -> bool:
        """Return whether no bytes came since a pause that was recorded."""
        record = self._records.get(server_id)
        return record is not None and record.is_silent

    def record_silence(self, now: float, server_id: ServerId) -> None:
        """Record that a response has paused for too long."""
        self.record_failure(now, server_id, unreachable=False)
        self._records[server_id].is_silent = True

    def extend_silence(self, now: float, server_id: ServerId) -> None:
        """Avoid a server for as long as responses of it wait for bytes.

        They show that it goes on as soon as a trial would.
        """
        record = self._records.get(server_id)
        if record is not None and record.is_silent:
            record.avoid_until = max(record.avoid_until, now + INITIAL_AVOID_S)

    def end_silence(self, now: float, server_id: ServerId) -> None:
        """Stop avoiding a silent server: bytes have come from it."""
        record = self._records.get(server_id)
        if record is None or not record.is_silent:
            return
        record.is_silent = record.is_on_trial = False
        record.consecutive_failures = 0
        record.avoid_until = now

    def end_trial(self, server_id: ServerId) -> None:
        """Allow another trial: the last request ended without a result."""
        record = self._records.get(server_id)
        if record is not None:
            record.is_on_trial = False

    def forget(self, server_id: ServerId) -> None:
        """Drop the record of a server that has departed or restarted."""
        self._records.pop(server_id, None)

    def _decayed_ratio(self, now: float, record: _ServerHealth) -> float:
        elapsed_s = max(0.0, now - record.updated_at)
        return float(
            record.failure_ratio * 0.5 ** (elapsed_s / FAILURE_HALF_LIFE_S)
        )
