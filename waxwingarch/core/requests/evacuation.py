"""Migration of streams off leaving servers, by `servers.reclaim.plan`."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import Action, RequestId, Server, ServerId
from waxwingarch.core.placement.placement_messages import ServerView
from waxwingarch.core.placement.server_selector import ServerSelector
from waxwingarch.core.requests.request_manager import RequestManager
from waxwingarch.core.requests.stream import RequestState, StreamMachine
from waxwingarch.core.servers.reclaim import (
    ReclaimMethod,
    ReclaimStep,
    StreamView,
    TargetView,
    plan,
)
from waxwingarch.core.servers.server_registry import Departure, ServerRegistry

REPLAN_PERIOD_S: Final = 0.25
KV_BYTES_PER_TOKEN: Final = 160_000
TRANSFER_BYTES_PER_S: Final = 2.5e9
DEFAULT_TOKENS_PER_S: Final = 40.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _LeavingServer:
    """A leaving server on which this node has streams."""

    server: Server
    departure: Departure


class Evacuation:
    """Migrates streams off the servers that have a leaving notice.

    The plan is made anew every `REPLAN_PERIOD_S` until the servers are
    empty, because the estimates improve as the streams progress.
    """

    def __init__(
        self,
        servers: ServerRegistry,
        request_manager: RequestManager,
        selector: ServerSelector,
    ) -> None:
        self._servers = servers
        self._request_manager = request_manager
        self._selector = selector
        self._leaving_ids: set[ServerId] = set()
        self._pending_steps: dict[RequestId, ReclaimStep] = {}
        self._next_plan_at = 0.0

    def handle_server_leaving(
        self, now: float, server_id: ServerId
    ) -> list[Action]:
        """Plan for a newly leaving server and start the steps that are due."""
        self._leaving_ids.add(server_id)
        return self._plan(now)

    def tick(self, now: float) -> list[Action]:
        """Start the steps that are due; plan again when it is time."""
        if not self._leaving_ids:
            return []
        actions = self._start_due_steps(now)
        if now >= self._next_plan_at:
            actions += self._plan(now)
        return actions

    def _plan(self, now: float) -> list[Action]:
        """Plan for all leaving servers together, by the earliest deadline."""
        self._next_plan_at = now + REPLAN_PERIOD_S
        leaving = self._leaving_with_streams()
        self._pending_steps = {}
        if not leaving:
            self._leaving_ids.clear()
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
            for view in self._selector.views(service)
        ]
        first_deadline = min(entry.departure.deadline for entry in leaving)
        for step in plan(now, first_deadline, streams, targets):
            if step.method is not ReclaimMethod.FINISH:
                self._pending_steps[step.request_id] = step
        return self._start_due_steps(now)

    def _leaving_with_streams(self) -> list[_LeavingServer]:
        result: list[_LeavingServer] = []
        for server_id in sorted(self._leaving_ids):
            server = self._servers.get(server_id)
            departure = self._servers.departure(server_id)
            if server and departure and self._streams_on(server_id):
                result.append(
                    _LeavingServer(server=server, departure=departure)
                )
        return result

    def _streams_on(self, server_id: ServerId) -> list[StreamMachine]:
        return [
            machine
            for machine in self._request_manager.machines_on(server_id)
            if isinstance(machine, StreamMachine)
            and machine.state is RequestState.RUNNING
        ]

    def _start_due_steps(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for request_id, step in list(self._pending_steps.items()):
            if step.start_at > now:
                continue
            del self._pending_steps[request_id]
            actions += self._request_manager.migrate(
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
            tokens_per_s=_tokens_per_s(now, machine),
            kv_bytes=tokens * KV_BYTES_PER_TOKEN,
            whole_answer_at=request.deadline,
            movable=generated > 0,
        )


def _tokens_per_s(now: float, machine: StreamMachine) -> float:
    """Return the average speed of a stream since its first token."""
    started_at = machine.first_token_at
    if started_at is None or now <= started_at:
        return DEFAULT_TOKENS_PER_S
    return max(1.0, machine.assembly.offset / (now - started_at))


def _target_view(view: ServerView) -> TargetView:
    free = view.server.slots - view.running - view.waiting
    return TargetView(
        server_id=view.server.server_id,
        free_slots=max(0, free),
        transfer_bytes_per_s=TRANSFER_BYTES_PER_S,
        prefill_tokens_per_s=view.prefill_tokens_per_s,
    )
