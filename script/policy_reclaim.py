"""Loss of one failure domain on notice: tokens recomputed by each plan."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from policy_feed import SLOTS, FakeServer, Running
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
Left = list[tuple[FakeServer, Running]]


@dataclass(kw_only=True)
class Loss:
    """What the loss of a domain cost, summed over many notices."""

    link_bytes_per_s: float
    streams: int = 0
    finished: int = 0
    moved: int = 0
    resumed: int = 0
    cut: int = 0
    recomputed_tokens: int = 0

    def add(
        self,
        plan: Plan,
        now: float,
        notice_s: float,
        servers: list[FakeServer],
        zone: str,
    ) -> None:
        """Play one notice: plan again each second, with true lengths."""
        ends_at = now + notice_s
        gone = [s for s in servers if s.info.failure_domain == zone]
        stays = [s for s in servers if s.info.failure_domain != zone]
        left = [
            (server, running)
            for server in gone
            for running in server.running.values()
            if running.first_token_at <= now
        ]
        taken = dict.fromkeys((s.info.server_id for s in stays), 0)
        links: dict[ServerId, float] = {}
        self.streams += len(left)
        while left and now < ends_at:
            streams = [_stream(now, s, r) for s, r in left]
            targets = [
                _target(
                    s, taken[s.info.server_id], left, self.link_bytes_per_s
                )
                for s in stays
            ]
            steps = {
                RequestId(step.request_id): step
                for step in plan(now, ends_at, streams, targets, links)
            }
            left = self._apply(now, left, steps, taken, links)
            now += 1.0
        self._lose(ends_at, left)

    def _apply(
        self,
        now: float,
        left: Left,
        steps: dict[RequestId, ReclaimStep],
        taken: dict[ServerId, int],
        links: dict[ServerId, float],
    ) -> Left:
        """Carry out what starts within a second; return what is left."""
        rest: Left = []
        for server, running in left:
            step = steps[RequestId(str(running.arrival.number))]
            target = step.target
            if running.ends_at <= now + 1.0 and target is None:
                self.finished += 1
            elif target is None:
                rest.append((server, running))
            elif step.method is ReclaimMethod.RESUME:
                self.resumed += 1
                self.recomputed_tokens += step.recomputed_tokens
                taken[target] += 1
            elif step.start_at < now + 1.0:
                self.moved += 1
                taken[target] += 1
                for end in (server.info.server_id, target):
                    links[end] = max(links.get(end, now), step.done_by)
            else:
                rest.append((server, running))
        return rest

    def _lose(self, ends_at: float, left: Left) -> None:
        for _, running in left:
            if running.ends_at <= ends_at:
                self.finished += 1
                continue
            self.cut += 1
            self.recomputed_tokens += _tokens(ends_at, running)


def _generated(now: float, running: Running) -> int:
    return int((now - running.first_token_at) * running.tokens_per_s)


def _tokens(now: float, running: Running) -> int:
    return running.arrival.prompt_tokens + _generated(now, running)


def _stream(now: float, server: FakeServer, running: Running) -> StreamView:
    """See a stream as a host does: its length is not known."""
    arrival = running.arrival
    generated = _generated(now, running)
    expected = arrival.kind.output_tokens
    remaining = max(expected - generated, expected // 4)
    return StreamView(
        request_id=RequestId(str(arrival.number)),
        server_id=server.info.server_id,
        prompt_tokens=arrival.prompt_tokens,
        generated_tokens=generated,
        remaining_tokens=remaining,
        tokens_per_s=running.tokens_per_s,
        kv_bytes=_tokens(now, running) * KV_BYTES_PER_TOKEN,
        whole_answer_at=arrival.at + arrival.kind.whole_answer_s,
    )


def _target(
    server: FakeServer, taken: int, left: Left, link_bytes_per_s: float
) -> TargetView:
    free = SLOTS + EXTRA_SLOTS - len(server.running) - taken
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
            for _, running in left
        ),
    )
