"""Hand-over of streams to peers when this host is reclaimed.

The connection of a caller cannot be migrated. Therefore the progress of
each stream is sent to at least two peers in different failure domains, if
there are that many: on the notice, and again right before the connections
are closed. The caller then resumes through any entry host.
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

# Callers' connections are closed this long before this host is reclaimed.
CLOSE_LEAD_S: Final = 1.0

HandOverPeers = Callable[[str], tuple[str, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnHostLeaving(Event):
    """The platform reclaims this host at `deadline_unix` (Unix seconds)."""

    deadline_unix: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SendHandOver(Action):
    """Send a request's progress to peers ("ip:port" each).

    With `close` the caller's connection is closed afterwards. The caller
    has, or is sent, an event id (the resume ticket) with which it can
    resume the stream.
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


class HandOverSender:
    """Hands over the streams of this host once it is reclaimed."""

    def __init__(
        self,
        request_manager: RequestManager,
        hand_over_peers: HandOverPeers,
        unix_offset: float,
    ) -> None:
        self._request_manager = request_manager
        self._hand_over_peers = hand_over_peers
        self._unix_offset = unix_offset
        self._close_at: float | None = None

    def start(self, now: float, event: OwnHostLeaving) -> list[Action]:
        """Hand over all streams and schedule the close of connections."""
        host_ends_at = event.deadline_unix - self._unix_offset
        self._close_at = host_ends_at - CLOSE_LEAD_S
        if now >= self._close_at:
            return self.tick(now)
        return [self._hand_over(m, close=False) for m in self._streams()]

    def tick(self, now: float) -> list[Action]:
        """Hand over and close the remaining streams at the scheduled time."""
        if self._close_at is None or now < self._close_at:
            return []
        actions: list[Action] = []
        for machine in self._streams():
            actions.append(self._hand_over(machine, close=True))
            actions += self._request_manager.detach(
                now, machine.request.request_id
            )
        return actions

    def _streams(self) -> list[StreamMachine]:
        return [
            machine
            for machine in self._request_manager.machines()
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
