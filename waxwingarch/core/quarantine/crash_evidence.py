"""Evidence about prompt parts: crashes that they were in, sound answers."""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from waxwingarch.core.base import ServerId
from waxwingarch.core.quarantine.quarantine_messages import Crash

# A crash is evidence for this long: requests with a part may be rare.
CRASH_KEPT_S: Final = 900.0
# Hosts see the end of one process at slightly different times.
SAME_CRASH_S: Final = 1.5
# Servers of one failure domain that end within this time, and servers of
# different domains within the shorter one, were lost together.
DOMAIN_LOSS_S: Final = 1.0
COMMON_LOSS_S: Final = 0.05
# A sound answer clears its parts of crashes up to this long after it, as
# its news and that of the crash travel at their own pace.
SOUND_COVERS_S: Final = 2.0
# Distinct losses without a sound answer that condemn a part.
CONDEMNED_AFTER: Final = 3
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
MAX_PARTS_PER_CRASH: Final = 16
MAX_SOUND_PARTS: Final = 16_384

_NEVER: Final = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """A part to quarantine, and the servers that crashed under it."""

    part: str
    servers: tuple[ServerId, ...]


class CrashEvidence:
    """Crashes of servers by the parts they were under, over all hosts."""

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        self._sound_at: OrderedDict[str, float] = OrderedDict()

    # Evidence

    def record_sound(self, at: float, parts: Iterable[str]) -> None:
        """Record that an answer with these parts went well."""
        for part in parts:
            self._sound_at[part] = max(at, self._sound_at.get(part, _NEVER))
            self._sound_at.move_to_end(part)
        while len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)

    def sound_at(self, part: str) -> float:
        """Return when an answer with a part last went well."""
        return self._sound_at.get(part, _NEVER)

    def record_crash(self, now: float, crash: Crash) -> None:
        """Add what a host saw of a crash to what is known of it."""
        if now - crash.at > CRASH_KEPT_S:
            return
        for index, known in enumerate(self._crashes):
            if _is_same(known, crash):
                self._crashes[index] = _join(known, crash)
                return
        self._crashes.append(crash)
        self._crashes.sort(key=lambda c: c.at)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_one()

    def is_recent(self, now: float) -> bool:
        """Return whether a crash is so recent that a verdict may follow."""
        return bool(self._crashes) and now - self._crashes[-1].at < RECENT_S

    def expire(self, now: float) -> None:
        """Drop crashes that are too old to count."""
        self._crashes = [
            c for c in self._crashes if now - c.at <= CRASH_KEPT_S
        ]

    def refute(self, now: float, has_gone_on: Callable[[Crash], bool]) -> None:
        """Mark recent crashes of processes that went on afterwards."""
        for index, crash in enumerate(self._crashes):
            is_recent = now - crash.at < RECENT_S
            if is_recent and not crash.refuted and has_gone_on(crash):
                self._crashes[index] = replace(crash, refuted=True)

    # For the report to the peers

    def reported_crashes(self) -> tuple[Crash, ...]:
        """Return the last crashes, also those that other hosts saw."""
        return tuple(self._crashes[-MAX_REPORTED_CRASHES:])

    def reported_sound(self, held: Iterable[str]) -> Mapping[str, float]:
        """Return when answers with the parts in question went well."""
        parts = {p for c in self.reported_crashes() for p in c.parts}
        return {
            part: self._sound_at[part]
            for part in sorted({*parts, *held})
            if part in self._sound_at
        }

    # Verdicts

    def losses(
        self, part: str, held: Collection[str], since: float = _NEVER
    ) -> list[Crash]:
        """Return the distinct losses of servers under a part."""
        return _losses(self._by_suspect(held).get(part, []), since)

    def verdict(
        self,
        now: float,
        held: Collection[str],
        released: Mapping[str, float],
    ) -> Verdict | None:
        """Return the next part to quarantine.

        Another part that was in all of its crashes and in more explains
        them better. Of parts with the same crashes it is the deepest in the
        prompts: the parts before it are shared by more. Of parts that were
        released, at the times in `released`, one crash since then is
        enough.
        """
        best: tuple[int, int, str] | None = None
        under = self._by_suspect(held)
        for part, crashes in under.items():
            under[part] = [
                c for c in crashes if now - c.at >= CONFIRMED_AFTER_S
            ]
        ids = {part: {id(c) for c in found} for part, found in under.items()}
        for part, crashes in under.items():
            if not _condemns(now, crashes, released.get(part)):
                continue
            if any(ids[part] < others for others in ids.values()):
                continue
            depth = max(crash.parts[part] for crash in crashes)
            rank = len(crashes), depth, part
            best = rank if best is None else max(best, rank)
        if best is None:
            return None
        servers = tuple(crash.server_id for crash in under[best[2]])
        return Verdict(part=best[2], servers=servers)

    def _by_suspect(self, held: Collection[str]) -> dict[str, list[Crash]]:
        """Return the parts of which no sound answer clears some crashes.

        Crashes that a quarantined part explains are left out.
        """
        found: dict[str, list[Crash]] = {}
        for crash in self._crashes:
            if crash.refuted or any(p in held for p in crash.parts):
                continue
            for part in crash.parts:
                if self._is_unsound(part, crash):
                    found.setdefault(part, []).append(crash)
        return found

    def _is_unsound(self, part: str, crash: Crash) -> bool:
        return self.sound_at(part) < crash.at - SOUND_COVERS_S

    def _drop_one(self) -> None:
        """Drop the oldest crash, if possible one that counts for nothing."""
        for index, crash in enumerate(self._crashes):
            if crash.refuted or not any(
                self._is_unsound(part, crash) for part in crash.parts
            ):
                del self._crashes[index]
                return
        del self._crashes[0]


def _is_same(one: Crash, other: Crash) -> bool:
    return (
        one.server_id == other.server_id
        and one.incarnation == other.incarnation
        and abs(one.at - other.at) <= SAME_CRASH_S
    )


def _join(one: Crash, other: Crash) -> Crash:
    parts = dict(one.parts)
    for part, depth in other.parts.items():
        if part in parts or len(parts) < MAX_PARTS_PER_CRASH:
            parts[part] = max(depth, parts.get(part, 0))
    return replace(
        one,
        at=min(one.at, other.at),
        parts=parts,
        refuted=one.refuted or other.refuted,
        in_rollout=one.in_rollout or other.in_rollout,
    )


def _is_one_loss(one: Crash, other: Crash) -> bool:
    if (one.server_id, one.incarnation) == (
        other.server_id,
        other.incarnation,
    ):
        # A process ends once. What broke before was a single response.
        return True
    apart_s = abs(one.at - other.at)
    if one.domain == other.domain:
        return apart_s <= DOMAIN_LOSS_S
    return apart_s <= COMMON_LOSS_S


def _losses(crashes: list[Crash], since: float) -> list[Crash]:
    losses: list[Crash] = []
    for crash in crashes:
        if crash.at > since and not any(
            _is_one_loss(loss, crash) for loss in losses
        ):
            losses.append(crash)
    return losses


def _condemns(
    now: float, crashes: list[Crash], released_at: float | None
) -> bool:
    """Return whether crashes condemn a part.

    A version on trial may crash under any request: at least one of the
    servers has to be of another version.
    """
    if released_at is not None:
        return bool(_losses(crashes, released_at))
    losses = _losses(crashes, _NEVER)
    if len(losses) < CONDEMNED_AFTER or now < losses[0].at + SETTLE_S:
        return False
    return not all(loss.in_rollout for loss in losses)
