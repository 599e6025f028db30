"""Hands the progress of requests to peers when this host is reclaimed.

A connection to a caller cannot move. So each stream's progress goes to
two peers in other failure domains, at the notice and again right before
the connections are closed; the caller goes on through any entry host.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    RequestId,
    ServerId,
)
from waxwingarch.core.requests.handover import hand_over_key
from waxwingarch.core.requests.request_manager import RequestManager
from waxwingarch.core.requests.stream import StreamMachine

CLOSE_LEAD_S: Final = 1.0

Keepers = Callable[[str], tuple[str, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnHostLeaving(Event):
    """The platform reclaims this host at `deadline_unix` (Unix seconds)."""

    deadline_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SendHandOver(Action):
    """Give a request's progress to peers ("ip:port" each).

    With `close` the caller's connection is closed after that; it is told
    how to go on.
    """

    request_id: RequestId
    account: AccountId
    peers: tuple[str, ...]
    tokens: tuple[str, ...]
    server_id: ServerId
    stream_id: str
    deadline_unix: float
    digest: str
    close: bool


class HandOff:
    """The hand-over of this host's streams, once it must go."""

    def __init__(
        self, desk: RequestManager, keepers: Keepers, unix_offset: float
    ) -> None:
        self._desk = desk
        self._hand_over_peers = keepers
        self._unix_offset = unix_offset
        self._close_at: float | None = None

    def begin(self, now: float, event: OwnHostLeaving) -> list[Action]:
        """Hand over all streams; plan to close their connections."""
        gone_at = event.deadline_unix - self._unix_offset
        self._close_at = gone_at - CLOSE_LEAD_S
        if now >= self._close_at:
            return self.tick(now)
        return [self._hand_over(m, close=False) for m in self._streams()]

    def tick(self, now: float) -> list[Action]:
        """Hand over what is left and close, when it is time."""
        if self._close_at is None or now < self._close_at:
            return []
        actions: list[Action] = []
        for machine in self._streams():
            actions.append(self._hand_over(machine, close=True))
            actions += self._desk.let_go(now, machine.request.request_id)
        return actions

    def _streams(self) -> list[StreamMachine]:
        return [
            machine
            for machine in self._desk.machines()
            if isinstance(machine, StreamMachine) and machine.attempt
        ]

    def _hand_over(self, machine: StreamMachine, *, close: bool) -> Action:
        attempt = machine.attempt
        assert attempt is not None
        request = machine.request
        return SendHandOver(
            request_id=request.request_id,
            account=request.account,
            peers=self._hand_over_peers(hand_over_key(attempt.stream_id)),
            tokens=tuple(machine.assembly.tokens),
            server_id=attempt.server.server_id,
            stream_id=attempt.stream_id,
            deadline_unix=request.deadline + self._unix_offset,
            digest=machine.assembly.digest,
            close=close,
        )
