"""Evidence about inputs: crashes that they were in, sound answers."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.base import ServerId
from waxwingarch.core.quarantine.inputs import InputKind, kind_of
from waxwingarch.core.quarantine.quarantine_messages import Crash
from waxwingarch.core.quarantine.sound_answers import SoundAnswers

# A crash is evidence for this long: requests with an input may be rare.
CRASH_KEPT_S: Final = 900.0
# The hosts' times of day agree better than this. A crash further ahead was
# seen by a host whose time was wrong, and would count until then.
MAX_AHEAD_S: Final = 5.0
# Hosts see the end of one process at slightly different times.
SAME_CRASH_S: Final = 1.5
# Distinct losses without a sound answer that condemn an input.
CONDEMNED_AFTER: Final = 3
# As many of them have to be explained by no quarantined input.
UNEXPLAINED_LOSSES: Final = 2
# Two requests that were in the same losses are told apart by one more loss.
TIED_AFTER: Final = CONDEMNED_AFTER + 1
# Before a verdict the other hosts have this long, from the first crash on,
# to tell of sound answers.
SETTLE_S: Final = 0.6
# A crash counts only after this time, in which a server that goes on is
# seen to do so.
CONFIRMED_AFTER_S: Final = 0.4
# News of a crash and of sound answers have come from all hosts by then.
RECENT_S: Final = 10.0
# Bounds of memory and of the bytes in a report.
MAX_CRASHES: Final = 64
MAX_REPORTED_CRASHES: Final = 8
MAX_INPUTS_PER_CRASH: Final = 32

_NEVER: Final = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class ProofBar:
    """What counts as proof against inputs of one kind.

    Servers of one failure domain that end within `domain_loss_s` seconds,
    and any that end within `common_loss_s`, were lost together. A sound
    answer clears an input of crashes up to
    `sound_covers_s` seconds after it, as its news and that of the crash
    travel at their own pace. With `needs_old_version`, losses of versions
    on trial alone condemn nothing.
    """

    domain_loss_s: float
    common_loss_s: float
    sound_covers_s: float
    needs_old_version: bool


# A wrong verdict on a part is an outage for many requests, one on a whole
# request concerns that request only. A part may be on all servers that are
# lost together, a request is on one of them unless it comes many times.
BARS: Final = {
    InputKind.PART: ProofBar(
        domain_loss_s=1.0,
        common_loss_s=0.05,
        sound_covers_s=2.0,
        needs_old_version=True,
    ),
    InputKind.REQUEST: ProofBar(
        domain_loss_s=0.0,
        common_loss_s=0.0,
        sound_covers_s=0.5,
        needs_old_version=False,
    ),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """An input to quarantine, and the servers that crashed under it."""

    key: str
    servers: tuple[ServerId, ...]


class CrashEvidence:
    """Crashes of servers by the inputs they were under, over all hosts."""

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        self._sound = SoundAnswers()

    # Evidence

    def record_sound(self, at: float, inputs: Iterable[str]) -> None:
        """Record that an answer with these inputs went well."""
        self._sound.record(at, inputs, self._is_in_crash)

    def sound_at(self, key: str) -> float:
        """Return when an answer with an input last went well."""
        return self._sound.last_at(key)

    def record_crash(self, now: float, crash: Crash) -> None:
        """Add what a host saw of a crash to what is known of it."""
        if not _is_kept(now, crash):
            return
        self._sound.keep(crash.inputs)
        for index, known in enumerate(self._crashes):
            if _is_same(known, crash):
                self._crashes[index] = self._join(known, crash)
                return
        self._crashes.append(crash)
        self._crashes.sort(key=lambda c: c.at)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_one()

    def is_recent(self, now: float) -> bool:
        """Return whether a crash is so recent that a verdict may follow."""
        return bool(self._crashes) and now - self._crashes[-1].at < RECENT_S

    def expire(self, now: float) -> None:
        """Drop crashes that are too old to count, or in the future."""
        self._crashes = [c for c in self._crashes if _is_kept(now, c)]

    def refute(self, now: float, has_gone_on: Callable[[Crash], bool]) -> None:
        """Mark recent crashes of processes that went on afterwards."""
        for index, crash in enumerate(self._crashes):
            is_recent = now - crash.at < RECENT_S
            if is_recent and not crash.refuted and has_gone_on(crash):
                self._crashes[index] = replace(crash, refuted=True)

    # For the report to the peers

    def reported_crashes(self, held: Collection[str]) -> tuple[Crash, ...]:
        """Return the last crashes, also those that other hosts saw.

        Of the inputs only those that can count are told.
        """
        return tuple(
            replace(crash, inputs=self._counting_inputs(crash, held))
            for crash in self._crashes[-MAX_REPORTED_CRASHES:]
        )

    def reported_sound(self, held: Iterable[str]) -> Mapping[str, float]:
        """Return when answers with the inputs in question went well."""
        recent = self._crashes[-MAX_REPORTED_CRASHES:]
        inputs = {key for crash in recent for key in crash.inputs}
        return {
            key: self.sound_at(key)
            for key in sorted({*inputs, *held})
            if self.sound_at(key) > _NEVER
        }

    # Verdicts

    def losses(
        self, key: str, held: Collection[str], since: float = _NEVER
    ) -> list[Crash]:
        """Return the distinct losses that only this input may explain."""
        crashes = self.crashes_under(key, held)
        return _losses(crashes, BARS[kind_of(key)], since)

    def crashes_under(self, key: str, held: Collection[str]) -> list[Crash]:
        """Return the crashes under an input that no held one explains."""
        return [
            crash
            for crash in self._crashes
            if key in crash.inputs
            and not crash.refuted
            and self._is_unsound(key, crash)
            and not any(other in held for other in crash.inputs)
        ]

    def verdict(
        self,
        now: float,
        held: Collection[str],
        released: Mapping[str, float],
    ) -> Verdict | None:
        """Return the next input to quarantine.

        Another input that was in all of its crashes and in more explains
        them better. Of inputs with the same crashes it is the deepest one:
        the parts before it are shared by more. Of inputs that were
        released, at the times in `released`, one crash since then is
        enough.
        """
        best: tuple[int, int, str] | None = None
        under = self._by_suspect(now, held)
        ids = {key: {id(c) for c in found} for key, found in under.items()}
        for key, crashes in under.items():
            if not self._condemns(
                now, key, crashes, held, released.get(key)
            ) or any(ids[key] < others for others in ids.values()):
                continue
            is_new = key not in released
            if is_new and len(crashes) < TIED_AFTER and _is_tied(key, ids):
                continue
            depth = max(crash.inputs[key] for crash in crashes)
            rank = len(crashes), depth, key
            best = rank if best is None else max(best, rank)
        if best is None:
            return None
        key = best[2]
        servers = tuple(crash.server_id for crash in under[key])
        return Verdict(key=key, servers=servers)

    def _by_suspect(
        self, now: float, held: Collection[str]
    ) -> dict[str, list[Crash]]:
        """Return the confirmed crashes by input, without the cleared ones.

        A quarantined part explains its crashes in full. A quarantined
        request may have ended its servers by one of its parts.
        """
        found: dict[str, list[Crash]] = {}
        for crash in self._crashes:
            if (
                crash.refuted
                or now - crash.at < CONFIRMED_AFTER_S
                or _has_held_part(crash, held)
            ):
                continue
            for key in crash.inputs:
                if key not in held and self._is_unsound(key, crash):
                    found.setdefault(key, []).append(crash)
        return found

    def _condemns(
        self,
        now: float,
        key: str,
        crashes: list[Crash],
        held: Collection[str],
        released_at: float | None,
    ) -> bool:
        """Return whether crashes condemn an input."""
        if released_at is None and len(crashes) < CONDEMNED_AFTER:
            return False
        bar = BARS[kind_of(key)]
        unexplained = [
            c for c in crashes if not any(other in held for other in c.inputs)
        ]
        if released_at is not None:
            return bool(_losses(unexplained, bar, released_at))
        losses = _losses(crashes, bar)
        if len(losses) < CONDEMNED_AFTER or now < losses[0].at + SETTLE_S:
            return False
        if len(_losses(unexplained, bar)) < UNEXPLAINED_LOSSES:
            return False
        if not all(loss.in_rollout for loss in losses):
            return True
        return not bar.needs_old_version and self._explains_trials(
            key, since=losses[0].at - RECENT_S
        )

    def _explains_trials(self, key: str, since: float) -> bool:
        """Return whether versions on trial crashed under this input only.

        A bad version may crash under any request.
        """
        return all(
            key in crash.inputs
            for crash in self._crashes
            if crash.in_rollout and not crash.refuted and crash.at >= since
        )

    def _is_in_crash(self, key: str) -> bool:
        return any(key in crash.inputs for crash in self._crashes)

    def _is_unsound(self, key: str, crash: Crash) -> bool:
        covers_s = BARS[kind_of(key)].sound_covers_s
        return self.sound_at(key) < crash.at - covers_s

    def _counting_inputs(
        self, crash: Crash, held: Collection[str]
    ) -> dict[str, int]:
        explained = _has_held_part(crash, held)
        return {
            key: depth
            for key, depth in crash.inputs.items()
            if key in held or (not explained and self._is_unsound(key, crash))
        }

    def _join(self, one: Crash, other: Crash) -> Crash:
        inputs = dict(one.inputs)
        for key, depth in other.inputs.items():
            inputs[key] = max(depth, inputs.get(key, 0))
        return replace(
            one,
            at=min(one.at, other.at),
            inputs=self._bound(inputs),
            refuted=one.refuted or other.refuted,
            in_rollout=one.in_rollout or other.in_rollout,
        )

    def _bound(self, inputs: dict[str, int]) -> dict[str, int]:
        """Keep the inputs that were in the most crashes."""
        if len(inputs) <= MAX_INPUTS_PER_CRASH:
            return inputs
        ranked = sorted(
            inputs,
            key=lambda key: (
                -sum(key in crash.inputs for crash in self._crashes),
                key,
            ),
        )
        return {key: inputs[key] for key in ranked[:MAX_INPUTS_PER_CRASH]}

    def _drop_one(self) -> None:
        """Drop the oldest crash, if possible one that counts for nothing."""
        for index, crash in enumerate(self._crashes):
            if crash.refuted or not any(
                self._is_unsound(key, crash) for key in crash.inputs
            ):
                del self._crashes[index]
                return
        del self._crashes[0]


def _is_kept(now: float, crash: Crash) -> bool:
    return -MAX_AHEAD_S <= now - crash.at <= CRASH_KEPT_S


def _is_same(one: Crash, other: Crash) -> bool:
    return (
        one.server_id == other.server_id
        and one.incarnation == other.incarnation
        and abs(one.at - other.at) <= SAME_CRASH_S
    )


def _has_held_part(crash: Crash, held: Collection[str]) -> bool:
    return any(
        key in held and kind_of(key) is InputKind.PART for key in crash.inputs
    )


def _is_tied(key: str, ids: Mapping[str, set[int]]) -> bool:
    """Return whether another request was in the same crashes."""
    return any(
        other != key
        and found == ids[key]
        and kind_of(other) is InputKind.REQUEST
        for other, found in ids.items()
    )


def _is_one_loss(one: Crash, other: Crash, bar: ProofBar) -> bool:
    if (one.server_id, one.incarnation) == (
        other.server_id,
        other.incarnation,
    ):
        # A process ends once. What broke before was a single response.
        return True
    apart_s = abs(one.at - other.at)
    if one.domain == other.domain:
        return apart_s <= bar.domain_loss_s
    return apart_s <= bar.common_loss_s


def _losses(
    crashes: list[Crash], bar: ProofBar, since: float = _NEVER
) -> list[Crash]:
    losses: list[Crash] = []
    for crash in crashes:
        if crash.at > since and not any(
            _is_one_loss(loss, crash, bar) for loss in losses
        ):
            losses.append(crash)
    return losses
