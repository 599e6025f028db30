"""Plan of how streams leave servers that are being reclaimed."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from waxwingarch.core.base import RequestId, ServerId

NO_LINKS: Final[Mapping[ServerId, float]] = {}
# Streams have to be off a server this long before the notice ends.
MARGIN_S: Final = 0.5
# Streams are expected to take this many times their estimated time.
FINISH_TIME_RATIO: Final = 1.2
# Transfers use this share of a link, to leave some of it to streams that
# generate at either end.
TRANSFER_RATIO: Final = 0.8
PREFILL_TOKENS_PER_S: Final = 4000.0


class ReclaimMethod(StrEnum):
    """What happens to a stream on a leaving server."""

    FINISH = "finish"
    MOVE_KV = "move kv"
    RESUME = "resume"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamView:
    """A stream in progress on a leaving server.

    `remaining_tokens` is an estimate. `whole_answer_at` is the deadline
    of the contract. A stream is `movable` if its KV cache can be
    exported, and `resumable` if it may be sent again from its offset.
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
    """A remaining server that can take over streams.

    `cached_tokens` is the number of tokens that it is known to have
    cached of the prompt of each request.
    """

    server_id: ServerId
    free_slots: int
    transfer_bytes_per_s: float
    prefill_tokens_per_s: float = PREFILL_TOKENS_PER_S
    cached_tokens: tuple[tuple[RequestId, int], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimStep:
    """What to do with one stream, with its expected start and end.

    `recomputed_tokens` is how many tokens are expected to be recomputed.
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
    """Free slots and links of the target servers during planning."""

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

    def cached_tokens(self, target: TargetView, request_id: RequestId) -> int:
        """Return how many prompt tokens of a request a target has cached."""
        return self._cached[target.server_id].get(request_id, 0)

    def with_free_slots(self) -> list[TargetView]:
        """Return the targets that have a free slot."""
        return [t for t in self._targets if self._free[t.server_id] > 0]

    def transfer_times(
        self, target: TargetView, kv_bytes: int, source_free_at: float
    ) -> tuple[float, float]:
        """Return when a transfer to a target would start and end."""
        start_at = max(source_free_at, self._busy_until[target.server_id])
        bytes_per_s = target.transfer_bytes_per_s * TRANSFER_RATIO
        return start_at, start_at + kv_bytes / max(bytes_per_s, 1.0)

    def reserve(self, target: TargetView, busy_until: float | None) -> None:
        """Reserve a slot of a target, and its link until a time if given."""
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
    """Choose for each stream the method that recomputes the fewest tokens.

    A stream stays if it finishes before the notice ends, or can neither
    be moved nor resumed. The others are planned in the order of their
    deadlines. The KV cache of a stream is moved if the transfer ends
    before the notice, unless only resuming the stream meets its
    deadline. Otherwise the stream is resumed elsewhere immediately.

    Each server sends and each target receives one transfer at a time.
    One plan covers the streams of all servers under a notice, so that
    no slot is assigned twice. The plan is made again while the notice
    runs, so that a stream that takes longer than expected is moved or
    resumed. `links_free_at` is when the transfers in progress end, by
    the server at either end.
    """
    ends_at = notice_deadline - MARGIN_S
    pool = _Targets(now, targets, links_free_at)
    steps: list[ReclaimStep] = []
    displaced: list[StreamView] = []
    for stream in streams:
        if _finish_at(now, stream) <= ends_at or _must_stay(stream):
            steps.append(_finish(now, stream))
        else:
            displaced.append(stream)
    displaced.sort(key=lambda s: (s.whole_answer_at, s.request_id))
    link_free_at = dict(links_free_at)
    for stream in displaced:
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
    """Resume every stream elsewhere at once, as a baseline to compare."""
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
    tokens_per_s = max(stream.tokens_per_s, 1e-9)
    return now + FINISH_TIME_RATIO * stream.remaining_tokens / tokens_per_s


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
    """Move the KV cache to the target that gets it first, if in time."""
    if not stream.movable:
        return None
    best: tuple[float, float, TargetView] | None = None
    for target in pool.with_free_slots():
        start_at, done_by = pool.transfer_times(
            target, stream.kv_bytes, source_free_at
        )
        if best is None or done_by < best[1]:
            best = (start_at, done_by, target)
    if best is None or best[1] > ends_at:
        return None
    start_at, done_by, target = best
    if _only_resuming_is_in_time(now, done_by, stream, target):
        return None
    pool.reserve(target, done_by)
    return ReclaimStep(
        request_id=stream.request_id,
        method=ReclaimMethod.MOVE_KV,
        target=target.server_id,
        start_at=start_at,
        done_by=done_by,
        recomputed_tokens=0,
    )


def _resume(now: float, stream: StreamView, pool: _Targets) -> ReclaimStep:
    """Resume on the target that has cached most of the prompt."""
    total = stream.prompt_tokens + stream.generated_tokens
    candidates = pool.with_free_slots()
    if not stream.resumable:
        return _finish(now, stream)
    if not candidates:
        return ReclaimStep(
            request_id=stream.request_id,
            method=ReclaimMethod.RESUME,
            target=None,
            start_at=now,
            done_by=float("inf"),
            recomputed_tokens=total,
        )
    target = max(
        candidates, key=lambda t: pool.cached_tokens(t, stream.request_id)
    )
    recomputed = total - min(
        total, pool.cached_tokens(target, stream.request_id)
    )
    pool.reserve(target, None)
    return ReclaimStep(
        request_id=stream.request_id,
        method=ReclaimMethod.RESUME,
        target=target.server_id,
        start_at=now,
        done_by=now + recomputed / target.prefill_tokens_per_s,
        recomputed_tokens=recomputed,
    )


def _only_resuming_is_in_time(
    now: float, moved_at: float, stream: StreamView, target: TargetView
) -> bool:
    """Return whether a move is too late and resuming now is not.

    The estimate assumes that nothing of the prompt is cached.
    """
    if not stream.resumable:
        return False
    remaining_s = stream.remaining_tokens / max(stream.tokens_per_s, 1e-9)
    total = stream.prompt_tokens + stream.generated_tokens
    resumed_at = now + total / target.prefill_tokens_per_s
    latest_start_at = stream.whole_answer_at - remaining_s
    return resumed_at <= latest_start_at < moved_at
