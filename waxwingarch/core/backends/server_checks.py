"""What a second connection to a silent server shows of it.

The kernel of a server whose process is stopped or busy goes on taking
connections. That of a lost machine, or one behind a lost path, does not.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import Action, Event, Server, ServerId

# A silent server is checked at most this often, for all its requests. The
# first is for one that has been found alive in the same silence.
ALIVE_CHECK_INTERVAL_S: Final = 2.0
CHECK_INTERVAL_S: Final = 0.6
# A single packet may be lost on a sound path; so many checks in a row aren't.
LOST_AFTER_CHECKS: Final = 2


class CheckResult(StrEnum):
    """The end of one check; FAILED says nothing about the server.

    REJECTED means that the server closed the connection that it took.
    """

    TAKEN = "taken"
    REJECTED = "rejected"
    REFUSED = "refused"
    NO_ANSWER = "no answer"
    FAILED = "failed"


class Contact(StrEnum):
    """What is known of a server since it fell silent."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    DOUBTFUL = "doubtful"
    LOST = "lost"


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckServer(Action):
    """Open a connection to a silent server."""

    server: Server


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerChecked(Event):
    """A check has ended; `began_at` is on the node's clock."""

    server_id: ServerId
    result: CheckResult
    began_at: float


@dataclass(kw_only=True, slots=True)
class _Checks:
    """The checks of one server.

    `taken_at` is when the last one began that was taken. `missed_at` are the
    times at which later ones began that were not.
    """

    began_at: float
    is_pending: bool = True
    taken_at: float = float("-inf")
    missed_at: list[float]

    def next_at(self, since: float) -> float:
        """Return when the server, silent since a time, is checked again."""
        is_alive = self.taken_at >= max(self.began_at, since)
        interval_s = ALIVE_CHECK_INTERVAL_S if is_alive else CHECK_INTERVAL_S
        return self.began_at + interval_s


class ServerChecks:
    """The results of checks, by server.

    Times are on the node's clock, in seconds.
    """

    def __init__(self) -> None:
        self._checks: dict[ServerId, _Checks] = {}

    def begin(self, now: float, server: Server, since: float) -> list[Action]:
        """Start a check of a server that is silent since a time.

        There is none if there was one just now.
        """
        checks = self._checks.get(server.server_id)
        if checks is None:
            self._checks[server.server_id] = _Checks(
                began_at=now, missed_at=[]
            )
        elif checks.is_pending or now < checks.next_at(since):
            return []
        else:
            checks.began_at, checks.is_pending = now, True
        return [CheckServer(server=server)]

    def record(self, event: ServerChecked) -> None:
        """Record the result of a check, unless the server was forgotten."""
        checks = self._checks.get(event.server_id)
        if checks is None or event.began_at < checks.began_at:
            return
        checks.is_pending = False
        if event.result is CheckResult.TAKEN:
            checks.taken_at = event.began_at
            checks.missed_at.clear()
        elif event.result is not CheckResult.FAILED:
            checks.missed_at.append(event.began_at)
            del checks.missed_at[:-LOST_AFTER_CHECKS]

    def contact(self, server_id: ServerId, since: float) -> Contact:
        """Return what the checks show that began after a time."""
        checks = self._checks.get(server_id)
        if checks is None:
            return Contact.UNKNOWN
        missed = sum(at >= since for at in checks.missed_at)
        if missed >= LOST_AFTER_CHECKS:
            return Contact.LOST
        if missed:
            return Contact.DOUBTFUL
        return Contact.ALIVE if checks.taken_at >= since else Contact.UNKNOWN

    def forget(self, server_id: ServerId) -> None:
        """Drop the checks of a server that has departed or restarted."""
        self._checks.pop(server_id, None)
