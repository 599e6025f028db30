"""Simulates notices for a whole failure domain and counts their costs."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from policy_feed import SLOTS, RunningRequest, SimulatedServer
from policy_workload import BLOCK_TOKENS

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.servers.reclaim import (
    ReclaimMethod,
    ReclaimStep,
    StreamView,
    TargetView,
)

KV_BYTES_PER_TOKEN = 128 * 1024
EXTRA_SLOTS = 4

Plan = Callable[
    [
        float,
        float,
        Sequence[StreamView],
        Sequence[TargetView],
        Mapping[ServerId, float],
    ],
    list[ReclaimStep],
]
ActiveStreams = list[tuple[SimulatedServer, RunningRequest]]


@dataclass(kw_only=True)
class ReclaimCosts:
    """Costs of losing a failure domain, summed over several notices."""

    link_bytes_per_s: float
    streams: int = 0
    finished: int = 0
    moved: int = 0
    resumed: int = 0
    aborted: int = 0
    recomputed_tokens: int = 0

    def add_notice(
        self,
        plan: Plan,
        now: float,
        notice_s: float,
        servers: list[SimulatedServer],
        failure_domain: str,
    ) -> None:
        """Simulate one notice, planned anew each second until it expires.

        Streams end by their true lengths, which the plan doesn't know.
        """
        ends_at = now + notice_s
        lost_servers = [
            s for s in servers if s.info.failure_domain == failure_domain
        ]
        target_servers = [
            s for s in servers if s.info.failure_domain != failure_domain
        ]
        active = [
            (server, running)
            for server in lost_servers
            for running in server.running.values()
            if running.first_token_at <= now
        ]
        slots_taken = dict.fromkeys(
            (s.info.server_id for s in target_servers), 0
        )
        link_free_at: dict[ServerId, float] = {}
        self.streams += len(active)
        while active and now < ends_at:
            streams = [_make_stream_view(now, s, r) for s, r in active]
            targets = [
                _make_target_view(
                    s,
                    slots_taken[s.info.server_id],
                    active,
                    self.link_bytes_per_s,
                )
                for s in target_servers
            ]
            steps = {
                RequestId(step.request_id): step
                for step in plan(now, ends_at, streams, targets, link_free_at)
            }
            active = self._apply_steps(
                now, active, steps, slots_taken, link_free_at
            )
            now += 1.0
        self._count_lost_streams(ends_at, active)

    def _apply_steps(
        self,
        now: float,
        active: ActiveStreams,
        steps: dict[RequestId, ReclaimStep],
        slots_taken: dict[ServerId, int],
        link_free_at: dict[ServerId, float],
    ) -> ActiveStreams:
        """Apply the steps that start within a second.

        Returns the streams that are still on the lost servers.
        """
        still_active: ActiveStreams = []
        for server, running in active:
            step = steps[RequestId(str(running.arrival.number))]
            target = step.target
            if running.ends_at <= now + 1.0 and target is None:
                self.finished += 1
            elif target is None:
                still_active.append((server, running))
            elif step.method is ReclaimMethod.RESUME:
                self.resumed += 1
                self.recomputed_tokens += step.recomputed_tokens
                slots_taken[target] += 1
            elif step.start_at < now + 1.0:
                self.moved += 1
                slots_taken[target] += 1
                for server_id in (server.info.server_id, target):
                    link_free_at[server_id] = max(
                        link_free_at.get(server_id, now), step.done_by
                    )
            else:
                still_active.append((server, running))
        return still_active

    def _count_lost_streams(
        self, ends_at: float, active: ActiveStreams
    ) -> None:
        for _, running in active:
            if running.ends_at <= ends_at:
                self.finished += 1
                continue
            self.aborted += 1
            self.recomputed_tokens += _total_tokens(ends_at, running)


def _generated_tokens(now: float, running: RunningRequest) -> int:
    return int((now - running.first_token_at) * running.tokens_per_s)


def _total_tokens(now: float, running: RunningRequest) -> int:
    return running.arrival.prompt_tokens + _generated_tokens(now, running)


def _make_stream_view(
    now: float, server: SimulatedServer, running: RunningRequest
) -> StreamView:
    """Return a stream as a host sees it, with an estimated length."""
    arrival = running.arrival
    generated = _generated_tokens(now, running)
    expected = arrival.kind.output_tokens
    remaining = max(expected - generated, expected // 4)
    return StreamView(
        request_id=RequestId(str(arrival.number)),
        server_id=server.info.server_id,
        prompt_tokens=arrival.prompt_tokens,
        generated_tokens=generated,
        remaining_tokens=remaining,
        tokens_per_s=running.tokens_per_s,
        kv_bytes=_total_tokens(now, running) * KV_BYTES_PER_TOKEN,
        whole_answer_at=arrival.at + arrival.kind.whole_answer_s,
    )


def _make_target_view(
    server: SimulatedServer,
    slots_taken: int,
    active: ActiveStreams,
    link_bytes_per_s: float,
) -> TargetView:
    free = SLOTS + EXTRA_SLOTS - len(server.running) - slots_taken
    return TargetView(
        server_id=server.info.server_id,
        free_slots=max(0, free),
        transfer_bytes_per_s=link_bytes_per_s,
        prefill_tokens_per_s=server.prefill_tokens_per_s,
        cached_tokens=tuple(
            (
                RequestId(str(running.arrival.number)),
                server.cached_blocks(running.arrival.blocks) * BLOCK_TOKENS,
            )
            for _, running in active
        ),
    )
