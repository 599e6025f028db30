"""Gets streams off servers that are leaving, by the plan of `reclaim`."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, RequestId, Server, ServerId
from waxwingarch.core.placement.placement_messages import ServerView
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.requests.request_manager import RequestManager
from waxwingarch.core.requests.stream import StreamMachine, StreamState
from waxwingarch.core.servers.reclaim import (
    ReclaimMethod,
    ReclaimStep,
    StreamView,
    TargetView,
    plan,
)
from waxwingarch.core.servers.server_registry import Departure, ServerRegistry

REPLAN_S: Final = 0.25
KV_BYTES_PER_TOKEN: Final = 160_000
TRANSFER_BYTES_PER_S: Final = 2.5e9
GUESSED_TOKENS_PER_S: Final = 40.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Leaving:
    """A server that is leaving, with streams of this node on it."""

    server: Server
    departure: Departure


class Evacuation:
    """Plans again while a notice runs: estimates get better."""

    def __init__(
        self,
        servers: ServerRegistry,
        desk: RequestManager,
        chooser: ServerSelector,
    ) -> None:
        self._servers = servers
        self._desk = desk
        self._chooser = chooser
        self._leaving: set[ServerId] = set()
        self._due: dict[RequestId, ReclaimStep] = {}
        self._plan_at = 0.0

    def server_leaving(self, now: float, server_id: ServerId) -> list[Action]:
        """Plan at once for the streams on a server."""
        self._leaving.add(server_id)
        return self._plan(now)

    def tick(self, now: float) -> list[Action]:
        """Begin the steps that are due; plan again now and then."""
        if not self._leaving:
            return []
        actions = self._begin_due(now)
        if now >= self._plan_at:
            actions += self._plan(now)
        return actions

    def _plan(self, now: float) -> list[Action]:
        """Plan for all servers under notice together, by deadline."""
        self._plan_at = now + REPLAN_S
        leaving = self._leaving_with_streams()
        self._due = {}
        if not leaving:
            self._leaving.clear()
            return []
        streams = [
            self._stream_view(now, entry.server, machine)
            for entry in leaving
            for machine in self._streams_on(entry.server.server_id)
        ]
        services = sorted({entry.server.service for entry in leaving})
        targets = [
            _target_view(view)
            for service in services
            for view in self._chooser.views(service)
        ]
        ends_at = min(entry.departure.deadline for entry in leaving)
        for step in plan(now, ends_at, streams, targets):
            if step.method is not ReclaimMethod.FINISH:
                self._due[step.request_id] = step
        return self._begin_due(now)

    def _leaving_with_streams(self) -> list[_Leaving]:
        found: list[_Leaving] = []
        for server_id in sorted(self._leaving):
            server = self._servers.get(server_id)
            departure = self._servers.departure(server_id)
            if server and departure and self._streams_on(server_id):
                found.append(_Leaving(server=server, departure=departure))
        return found

    def _streams_on(self, server_id: ServerId) -> list[StreamMachine]:
        return [
            machine
            for machine in self._desk.on_server(server_id)
            if isinstance(machine, StreamMachine)
            and machine.state is StreamState.RUNNING
        ]

    def _begin_due(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for request_id, step in list(self._due.items()):
            if step.start_at > now:
                continue
            del self._due[request_id]
            actions += self._desk.displace(
                now,
                request_id,
                target=step.target,
                move_kv=step.method is ReclaimMethod.MOVE_KV,
            )
        return actions

    def _stream_view(
        self, now: float, server: Server, machine: StreamMachine
    ) -> StreamView:
        request = machine.request
        generated = machine.assembly.offset
        tokens = request.prompt_tokens + generated
        return StreamView(
            request_id=request.request_id,
            server_id=server.server_id,
            prompt_tokens=request.prompt_tokens,
            generated_tokens=generated,
            remaining_tokens=max(0, request.max_tokens - generated),
            tokens_per_s=_speed(now, machine),
            kv_bytes=tokens * KV_BYTES_PER_TOKEN,
            whole_answer_at=request.deadline,
            movable=generated > 0,
        )


def _speed(now: float, machine: StreamMachine) -> float:
    """Return the tokens a second of a stream so far."""
    began = machine.first_token_at
    if began is None or now <= began:
        return GUESSED_TOKENS_PER_S
    return max(1.0, machine.assembly.offset / (now - began))


def _target_view(view: ServerView) -> TargetView:
    free = view.server.slots - view.running - view.waiting
    return TargetView(
        server_id=view.server.server_id,
        free_slots=max(0, free),
        transfer_bytes_per_s=TRANSFER_BYTES_PER_S,
        prefill_tokens_per_s=view.prefill_tokens_per_s,
    )
