"""How sound servers are, judged by the answers that requests get."""

from dataclasses import dataclass
from itertools import islice
from typing import Final

from waxwingarch.core.base import ServerId

# Weight of the newest result in the failure average: about the last
# eight results count.
RESULT_WEIGHT: Final = 0.125
# A server that fails more often than this is avoided. Plain services
# with flaky answers of their own stay well below it.
FAILING: Final = 0.3
# Failures in a row, without any success between, that show a dead server.
DEAD_IN_A_ROW: Final = 2
FIRST_AVOID_S: Final = 1.0
LONGEST_AVOID_S: Final = 8.0
# The average falls by half in this time without results.
FORGET_S: Final = 4.0
# Avoided servers in one report, which has to fit into a datagram.
MOST_TOLD: Final = 32


@dataclass(kw_only=True, slots=True)
class _Record:
    failing: float = 0.0
    in_a_row: int = 0
    updated_at: float = 0.0
    avoid_until: float = float("-inf")
    avoid_s: float = FIRST_AVOID_S
    trial: bool = False


class HealthTracker:
    """Failure averages by server, and who is avoided for a while."""

    def __init__(self) -> None:
        self._records: dict[ServerId, _Record] = {}

    def failure_ratio(self, now: float, server_id: ServerId) -> float:
        """Return the part of recent requests that a server failed."""
        record = self._records.get(server_id)
        return self._faded(now, record) if record else 0.0

    def is_avoided(self, now: float, server_id: ServerId) -> bool:
        """Tell whether a server should get no requests now.

        After the wait a single request tries it.
        """
        record = self._records.get(server_id)
        if record is None:
            return False
        return now < record.avoid_until or record.trial

    def avoided_servers(self, now: float) -> tuple[ServerId, ...]:
        """Return the servers that this host avoids, for the others."""
        found = (
            server_id
            for server_id, record in self._records.items()
            if now < record.avoid_until
        )
        return tuple(islice(found, MOST_TOLD))

    def record_attempt(self, now: float, server_id: ServerId) -> None:
        """Note a request to a server: it may be the one that tries it."""
        record = self._records.get(server_id)
        if record is not None and record.in_a_row >= DEAD_IN_A_ROW:
            record.trial = True

    def record_success(self, now: float, server_id: ServerId) -> None:
        """Count a success."""
        record = self._records.get(server_id)
        if record is None:
            return
        record.failing = self._faded(now, record) * (1 - RESULT_WEIGHT)
        record.updated_at = now
        record.in_a_row = 0
        record.trial = False
        if record.failing < FAILING:
            record.avoid_s = FIRST_AVOID_S
            record.avoid_until = now

    def record_failure(
        self, now: float, server_id: ServerId, *, unreachable: bool
    ) -> bool:
        """Count a failure; `unreachable` says that the server was not there.

        Returns whether the server is avoided from now on.
        """
        record = self._records.setdefault(server_id, _Record(updated_at=now))
        faded = self._faded(now, record)
        record.failing = faded * (1 - RESULT_WEIGHT) + RESULT_WEIGHT
        record.updated_at = now
        record.in_a_row += 1
        record.trial = False
        dead = unreachable or record.in_a_row >= DEAD_IN_A_ROW
        if now < record.avoid_until or not (dead or record.failing > FAILING):
            return False
        record.avoid_until = now + record.avoid_s
        record.avoid_s = min(LONGEST_AVOID_S, record.avoid_s * 2)
        return True

    def end_trial(self, server_id: ServerId) -> None:
        """Let another request try: the last one ended without a result."""
        record = self._records.get(server_id)
        if record is not None:
            record.trial = False

    def forget(self, server_id: ServerId) -> None:
        """Drop a server that is gone or has started again."""
        self._records.pop(server_id, None)

    def _faded(self, now: float, record: _Record) -> float:
        passed_s = max(0.0, now - record.updated_at)
        return float(record.failing * 0.5 ** (passed_s / FORGET_S))
