"""Plan for the streams of servers that are being reclaimed."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import RequestId, ServerId

NO_LINKS: Final[Mapping[ServerId, float]] = {}
MARGIN_S: Final = 0.5
FINISH_SAFETY: Final = 1.2
TRANSFER_FRACTION: Final = 0.8
PREFILL_TOKENS_PER_S: Final = 4000.0


class ReclaimMethod(StrEnum):
    """What happens to a stream of a server that goes."""

    FINISH = "finish"
    MOVE_KV = "move kv"
    RESUME = "resume"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamView:
    """A stream in progress on a server that goes.

    `remaining_tokens` is an estimate. `whole_answer_at` is the deadline
    by contract. `movable`: its KV cache can be exported; `resumable`: it
    may be sent again from its offset.
    """

    request_id: RequestId
    server_id: ServerId
    prompt_tokens: int
    generated_tokens: int
    remaining_tokens: int
    tokens_per_s: float
    kv_bytes: int
    whole_answer_at: float
    movable: bool = True
    resumable: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetView:
    """A server that stays and can take streams over.

    `cached_tokens` says how much of the prompts it is known to hold, by
    request.
    """

    server_id: ServerId
    free_slots: int
    transfer_bytes_per_s: float
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    cached_tokens: tuple[tuple[RequestId, int], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimStep:
    """What to do with one stream, from when, and until when it takes.

    `recomputed_tokens` is what the way is expected to recompute.
    `target` is None for a stream that finishes where it is, and for a
    resumed one that has to wait for a free slot.
    """

    request_id: RequestId
    method: ReclaimMethod
    target: ServerId | None
    start_at: float
    done_by: float
    recomputed_tokens: int


class _Targets:
    """Free slots and transfer time of the servers that stay."""

    def __init__(
        self,
        now: float,
        targets: Sequence[TargetView],
        links_free_at: Mapping[ServerId, float] = NO_LINKS,
    ) -> None:
        self._targets = targets
        self._free = {t.server_id: t.free_slots for t in targets}
        self._busy_until = {
            t.server_id: max(now, links_free_at.get(t.server_id, now))
            for t in targets
        }
        self._cached = {t.server_id: dict(t.cached_tokens) for t in targets}

    def cached(self, target: TargetView, request_id: RequestId) -> int:
        """Return how many prompt tokens a target holds already."""
        return self._cached[target.server_id].get(request_id, 0)

    def free(self) -> list[TargetView]:
        """Return the targets that have a free slot."""
        return [t for t in self._targets if self._free[t.server_id] > 0]

    def transfer(
        self, target: TargetView, kv_bytes: int, source_free_at: float
    ) -> tuple[float, float]:
        """Return when a transfer would start and end.

        It takes a fraction of the link, so that streams that generate on
        either end are not starved.
        """
        start_at = max(source_free_at, self._busy_until[target.server_id])
        speed = target.transfer_bytes_per_s * TRANSFER_FRACTION
        return start_at, start_at + kv_bytes / max(speed, 1.0)

    def take(self, target: TargetView, busy_until: float | None) -> None:
        """Take a slot of a target, and its link until a time."""
        self._free[target.server_id] -= 1
        if busy_until is not None:
            self._busy_until[target.server_id] = busy_until


def plan(
    now: float,
    notice_deadline: float,
    streams: Sequence[StreamView],
    targets: Sequence[TargetView],
    links_free_at: Mapping[ServerId, float] = NO_LINKS,
) -> list[ReclaimStep]:
    """Choose for each stream the way that recomputes the fewest tokens.

    What finishes in time stays. Of the rest, nearest deadline first, a
    stream's KV cache is moved if the transfer ends before the notice
    does, unless only resuming keeps the answer in time; else it is
    resumed elsewhere at once. One transfer at a time leaves a server and
    one enters a target. Streams of all servers under one notice belong
    into one plan, so that they don't count on the same slots. To be
    called again while the notice runs: a stream that proves longer than
    expected is then moved or resumed. `links_free_at` tells when the
    transfers end that are under way, by server at either end.
    """
    ends_at = notice_deadline - MARGIN_S
    pool = _Targets(now, targets, links_free_at)
    steps: list[ReclaimStep] = []
    leaving: list[StreamView] = []
    for stream in streams:
        if _finish_at(now, stream) <= ends_at or _must_stay(stream):
            steps.append(_finish(now, stream))
        else:
            leaving.append(stream)
    leaving.sort(key=lambda s: (s.whole_answer_at, s.request_id))
    link_free_at = dict(links_free_at)
    for stream in leaving:
        free_at = max(now, link_free_at.get(stream.server_id, now))
        step = _move(now, stream, pool, free_at, ends_at)
        if step is not None:
            link_free_at[stream.server_id] = step.done_by
        else:
            step = _resume(now, stream, pool)
        steps.append(step)
    return steps


def plan_recompute(
    now: float,
    notice_deadline: float,
    streams: Sequence[StreamView],
    targets: Sequence[TargetView],
    links_free_at: Mapping[ServerId, float] = NO_LINKS,
) -> list[ReclaimStep]:
    """Resume every stream elsewhere at once: the baseline."""
    pool = _Targets(now, targets)
    ordered = sorted(streams, key=lambda s: (s.whole_answer_at, s.request_id))
    return [
        _finish(now, stream)
        if _must_stay(stream)
        else _resume(now, stream, pool)
        for stream in ordered
    ]


def _must_stay(stream: StreamView) -> bool:
    return not stream.movable and not stream.resumable


def _finish_at(now: float, stream: StreamView) -> float:
    rate = max(stream.tokens_per_s, 1e-9)
    return now + FINISH_SAFETY * stream.remaining_tokens / rate


def _finish(now: float, stream: StreamView) -> ReclaimStep:
    return ReclaimStep(
        request_id=stream.request_id,
        method=ReclaimMethod.FINISH,
        target=None,
        start_at=now,
        done_by=_finish_at(now, stream),
        recomputed_tokens=0,
    )


def _move(
    now: float,
    stream: StreamView,
    pool: _Targets,
    source_free_at: float,
    ends_at: float,
) -> ReclaimStep | None:
    """Move the KV cache to the target that has it first, if in time."""
    if not stream.movable:
        return None
    best: tuple[float, float, TargetView] | None = None
    for target in pool.free():
        start_at, done_by = pool.transfer(
            target, stream.kv_bytes, source_free_at
        )
        if best is None or done_by < best[1]:
            best = (start_at, done_by, target)
    if best is None or best[1] > ends_at:
        return None
    start_at, done_by, target = best
    if _only_resuming_is_in_time(now, done_by, stream, target):
        return None
    pool.take(target, done_by)
    return ReclaimStep(
        request_id=stream.request_id,
        method=ReclaimMethod.MOVE_KV,
        target=target.server_id,
        start_at=start_at,
        done_by=done_by,
        recomputed_tokens=0,
    )


def _resume(now: float, stream: StreamView, pool: _Targets) -> ReclaimStep:
    """Resume where most of the prompt is cached already."""
    total = stream.prompt_tokens + stream.generated_tokens
    free = pool.free()
    if not stream.resumable:
        return _finish(now, stream)
    if not free:
        return ReclaimStep(
            request_id=stream.request_id,
            method=ReclaimMethod.RESUME,
            target=None,
            start_at=now,
            done_by=float("inf"),
            recomputed_tokens=total,
        )
    target = max(free, key=lambda t: pool.cached(t, stream.request_id))
    missing = total - min(total, pool.cached(target, stream.request_id))
    pool.take(target, None)
    return ReclaimStep(
        request_id=stream.request_id,
        method=ReclaimMethod.RESUME,
        target=target.server_id,
        start_at=now,
        done_by=now + missing / target.prefill_tokens_per_s,
        recomputed_tokens=missing,
    )


def _only_resuming_is_in_time(
    now: float, moved_at: float, stream: StreamView, target: TargetView
) -> bool:
    """Compare with resuming now, without any of the prompt cached."""
    if not stream.resumable:
        return False
    left_s = stream.remaining_tokens / max(stream.tokens_per_s, 1e-9)
    total = stream.prompt_tokens + stream.generated_tokens
    resumed_at = now + total / target.prefill_tokens_per_s
    latest = stream.whole_answer_at - left_s
    return resumed_at <= latest < moved_at
