"""Request rates that backend servers name as the most that they take."""

from dataclasses import dataclass
from enum import StrEnum

from waxwingarch.core.base import Action, Event, Server, ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimitSeen(Event):
    """A response told which rate a server takes from all hosts together.

    `per_s` is in requests a second, None if the response named no limit.
    `sent_at` is when the request of the response was sent.
    """

    server: Server
    per_s: float | None
    sent_at: float


class LimitSource(StrEnum):
    """How this host learnt of a server's limit."""

    RESPONSE = "response"
    PEER = "peer"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLimitChanged(Action):
    """A server has a new limit, or none any more if `per_s` is None."""

    server_id: ServerId
    per_s: float | None
    source: LimitSource
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitStatement:
    """What one incarnation of a server said of its limit.

    `as_of` is on the node's clock: the server said it then or later.
    """

    incarnation: int
    per_s: float | None
    as_of: float


class ServerLimits:
    """The newest statement of each server that has named a limit."""

    def __init__(self) -> None:
        self._statements: dict[ServerId, LimitStatement] = {}

    def limit_of(self, server_id: ServerId) -> float | None:
        """Return a server's limit in requests a second; None without one."""
        statement = self._statements.get(server_id)
        return statement.per_s if statement else None

    def record_response(
        self, now: float, event: ServerLimitSeen
    ) -> list[Action]:
        """Record what a response said; returns the change, if it is one.

        A response without a limit ends an earlier one only if its request
        was sent after that was named.
        """
        return self._record(
            now,
            event.server.server_id,
            LimitStatement(
                incarnation=event.server.incarnation,
                per_s=event.per_s,
                as_of=now if event.per_s is not None else event.sent_at,
            ),
            LimitSource.RESPONSE,
        )

    def _record(
        self,
        now: float,
        server_id: ServerId,
        statement: LimitStatement,
        source: LimitSource,
    ) -> list[Action]:
        known = self._statements.get(server_id)
        if known is None and statement.per_s is None:
            return []
        if known is not None and (
            (known.incarnation, known.as_of)
            >= (statement.incarnation, statement.as_of)
        ):
            return []
        self._statements[server_id] = statement
        if known is not None and known.per_s == statement.per_s:
            return []
        return [
            ServerLimitChanged(
                server_id=server_id,
                per_s=statement.per_s,
                source=source,
                age_s=now - statement.as_of,
            )
        ]

    def forget(self, server_id: ServerId) -> None:
        """Drop the limit of a server that has departed or restarted."""
        self._statements.pop(server_id, None)
