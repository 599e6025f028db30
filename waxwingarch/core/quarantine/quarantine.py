"""Quarantine of prompt parts under which backend servers crash.

A crash of a server is evidence against the shared parts of the requests
that it had not begun to answer well, on whichever host they were. An answer
that goes well clears its parts. All hosts share the evidence and the
verdicts in their reports.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Final

from waxwingarch.core.backends.load import ActiveAttempt
from waxwingarch.core.base import (
    Action,
    ExecutionStatus,
    RequestId,
    Server,
    ServerId,
)
from waxwingarch.core.exchange.exchange_messages import ExchangeHead
from waxwingarch.core.quarantine.crash_evidence import CrashEvidence
from waxwingarch.core.quarantine.inputs import part_key
from waxwingarch.core.quarantine.quarantine_messages import (
    Crash,
    PartOrigin,
    PartState,
    QuarantineChanged,
    QuarantineEntry,
    QuarantineReport,
)
from waxwingarch.core.refusal import Refusal, RefusalReason

# An answer that has gone on for this long after its first byte went well:
# a poisoned part ends the server when it begins to answer.
SOUND_AFTER_S: Final = 1.0
# A request is in a crash if no answer to it had begun, or just then.
BEGUN_WITHIN_S: Final = 0.2
# A part stays in quarantine until no request with it came for this long.
# Then the holder of the duties lets one request through, as a probe.
QUARANTINE_IDLE_S: Final = 900.0
# A probe without an outcome is given up after this time.
PROBE_TIMEOUT_S: Final = 60.0
# Entries of parts that were released are kept for this long, so that older
# news of them is known as such.
RELEASED_KEPT_S: Final = 3600.0
MAX_ENTRIES: Final = 48
# Activity of a server within these times of a broken response shows that
# the process goes on: what was on the way arrives before, and a process
# that was started again is back later.
GONE_ON_AFTER_S: Final = 0.1
GONE_ON_BEFORE_S: Final = 3.0
# Requests note at most this often that they still come.
SEEN_STEP_S: Final = 10.0


class Quarantine:
    """The quarantined prompt parts, as far as this host knows them.

    `unix_time` converts the node's clock to the hosts' common time of day.
    """

    def __init__(self, unix_time: Callable[[float], float]) -> None:
        self._unix_time = unix_time
        self.evidence = CrashEvidence()
        self._entries: dict[str, QuarantineEntry] = {}
        self._held: set[str] = set()
        # Requests that were in a crash, and when.
        self._crashed_once: dict[RequestId, float] = {}
        self._probes: dict[str, tuple[float, RequestId]] = {}
        self._news: list[Action] = []

    # Requests

    def refusal_for(
        self, now: float, head: ExchangeHead, *, may_probe: bool
    ) -> Refusal | None:
        """Return the refusal of a request with a quarantined part.

        With `may_probe` one request may pass for a part with which none
        came for a long time.
        """
        if not self._held:
            return None
        unix_now = self._unix_time(now)
        for part in _keys(head):
            if part not in self._held:
                continue
            if may_probe and self._may_probe(unix_now, part):
                self._probes[part] = unix_now, head.request_id
                continue
            return self._refuse(unix_now, part)
        return None

    def is_held(self, head: ExchangeHead) -> bool:
        """Return whether a request has a quarantined part.

        A probe does not count as having it.
        """
        return bool(self._held) and any(
            part in self._held
            and self._probes.get(part, (0.0, None))[1] != head.request_id
            for part in _keys(head)
        )

    def may_resend(self, now: float, head: ExchangeHead) -> bool:
        """Return whether a request may be sent to another server.

        A part that has ended servers apart from one another may end the
        next one too, with the requests beside it.
        """
        if self.is_held(head):
            return False
        if head.request_id not in self._crashed_once:
            return True
        return all(
            len(self.evidence.losses(part, self._held)) <= 1
            for part in _keys(head)
        )

    def _may_probe(self, unix_now: float, part: str) -> bool:
        entry = self._entries[part]
        probed_at = self._probes.get(part, (float("-inf"), None))[0]
        return (
            entry.origin is PartOrigin.CRASHES
            and unix_now - entry.seen_at > QUARANTINE_IDLE_S
            and unix_now - probed_at > PROBE_TIMEOUT_S
        )

    def _refuse(self, unix_now: float, part: str) -> Refusal:
        entry = self._entries[part]
        idle_s = unix_now - entry.seen_at
        if SEEN_STEP_S < idle_s <= QUARANTINE_IDLE_S:
            self._entries[part] = replace(entry, seen_at=unix_now)
        return Refusal(
            reason=RefusalReason.QUARANTINED,
            ran=ExecutionStatus.NOT_RUN,
            message=f"servers crashed under the prompt part {part}: it is"
            f" refused until none came for {QUARANTINE_IDLE_S:.0f} s",
            retry_after_s=QUARANTINE_IDLE_S,
        )

    # Outcomes

    def record_sound(self, now: float, head: ExchangeHead) -> None:
        """Record that an answer went well."""
        unix_now = self._unix_time(now)
        self._crashed_once.pop(head.request_id, None)
        self.evidence.record_sound(unix_now, _keys(head))

    def record_break(
        self,
        now: float,
        head: ExchangeHead,
        attempt: ActiveAttempt,
        server: Server,
        *,
        in_rollout: bool,
    ) -> None:
        """Record that a response broke, as it does when its server crashes."""
        if _went_well(now, attempt):
            self.record_sound(now, head)
            return
        if _answered_for_s(now, attempt) > BEGUN_WITHIN_S:
            return
        parts = {part: n for n, part in enumerate(_keys(head))}
        if not parts:
            return
        unix_now = self._unix_time(now)
        for part in self._held & parts.keys():
            self._probes.pop(part, None)
            self._entries[part] = replace(
                self._entries[part], seen_at=unix_now
            )
        self._crashed_once[head.request_id] = unix_now
        crash = replace(
            _crash(unix_now, server, parts),
            in_rollout=in_rollout,
        )
        self.evidence.record_crash(unix_now, crash)

    def record_held(
        self, now: float, head: ExchangeHead, server: Server
    ) -> None:
        """Record the quarantined parts of a cancelled attempt.

        If its server crashes nevertheless, they explain the crash.
        """
        unix_now = self._unix_time(now)
        parts = {
            part: n for n, part in enumerate(_keys(head)) if part in self._held
        }
        self.evidence.record_crash(unix_now, _crash(unix_now, server, parts))

    def note_progress(
        self, now: float, head: ExchangeHead, attempt: ActiveAttempt
    ) -> None:
        """Record an answer in progress as sound if it has gone on well."""
        if _went_well(now, attempt):
            self.record_sound(now, head)

    def needs_progress(self, now: float) -> bool:
        """Return whether answers in progress have to be looked at."""
        return self.evidence.is_recent(self._unix_time(now))

    # Peers

    def report(self) -> QuarantineReport:
        """Return what this host tells its peers."""
        return QuarantineReport(
            entries=self.entries,
            crashes=self.evidence.reported_crashes(),
            sound=self.evidence.reported_sound(self._held),
        )

    def record_report(self, now: float, report: QuarantineReport) -> None:
        """Join what a peer knows with what this host knows."""
        unix_now = self._unix_time(now)
        for crash in report.crashes:
            self.evidence.record_crash(unix_now, crash)
        for part, at in report.sound.items():
            self.evidence.record_sound(min(at, unix_now), [part])
        self.merge(report.entries)

    def merge(self, entries: Iterable[QuarantineEntry]) -> None:
        """Adopt entries of peers or of the store that are newer."""
        for entry in entries:
            known = self._entries.get(entry.part)
            if known is not None and known.number >= entry.number:
                if known.seen_at < entry.seen_at:
                    self._entries[entry.part] = replace(
                        known, seen_at=entry.seen_at
                    )
                continue
            self._set(entry, own=False)

    # Decisions

    @property
    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return all entries, those that were released too."""
        return tuple(self._entries.values())

    def order(self, now: float, part: str, *, held: bool) -> None:
        """Quarantine a part, or release it, as an operator says."""
        state = PartState.HELD if held else PartState.PROBATION
        self._decide(now, part_key(part), state, PartOrigin.OPERATOR)

    def tick(
        self, now: float, last_activity_at: Callable[[ServerId], float]
    ) -> list[Action]:
        """Judge the evidence; returns what has changed since the last call.

        `last_activity_at` says when bytes last came from a server.
        """
        unix_now = self._unix_time(now)
        if self.evidence.is_recent(unix_now):
            self.evidence.expire(unix_now)
            self.evidence.refute(
                unix_now,
                lambda crash: _has_gone_on(
                    crash.at,
                    unix_now - now + last_activity_at(crash.server_id),
                ),
            )
            self._judge(now, unix_now)
        self._release_sound(now)
        self._expire(unix_now)
        news, self._news = self._news, []
        return news

    def _judge(self, now: float, unix_now: float) -> None:
        while True:
            verdict = self.evidence.verdict(
                unix_now, self._held, self._released()
            )
            if verdict is None:
                return
            self._decide(
                now,
                verdict.part,
                PartState.HELD,
                PartOrigin.CRASHES,
                verdict.servers,
            )

    def _released(self) -> Mapping[str, float]:
        return {
            part: entry.number / 1000
            for part, entry in self._entries.items()
            if entry.state is PartState.PROBATION
        }

    def _release_sound(self, now: float) -> None:
        """Release the parts with which an answer went well after all."""
        for part in sorted(self._held):
            entry = self._entries[part]
            if (
                entry.origin is not PartOrigin.CRASHES
                or self.evidence.sound_at(part) <= entry.number / 1000
            ):
                continue
            probe = self._probes.pop(part, None)
            state = PartState.PROBATION if probe else PartState.CLEARED
            self._decide(now, part, state, PartOrigin.CRASHES)

    def _decide(
        self,
        now: float,
        part: str,
        state: PartState,
        origin: PartOrigin,
        servers: tuple[ServerId, ...] = (),
    ) -> None:
        unix_now = self._unix_time(now)
        known = self._entries.get(part)
        number = int(unix_now * 1000)
        if known is not None:
            number = max(number, known.number + 1)
        entry = QuarantineEntry(
            part=part,
            number=number,
            state=state,
            origin=origin,
            seen_at=unix_now,
        )
        self._set(entry, own=True, servers=servers)

    def _set(
        self,
        entry: QuarantineEntry,
        *,
        own: bool,
        servers: tuple[ServerId, ...] = (),
    ) -> None:
        known = self._entries.get(entry.part)
        self._entries[entry.part] = entry
        if entry.state is PartState.HELD:
            self._held.add(entry.part)
        else:
            self._held.discard(entry.part)
        if known is None or known.state is not entry.state:
            self._news.append(
                QuarantineChanged(entry=entry, own=own, servers=servers)
            )
        while len(self._entries) > MAX_ENTRIES:
            self._drop_one()

    def _drop_one(self) -> None:
        """Drop a released entry, else the one that was idle longest."""
        entry = min(
            self._entries.values(),
            key=lambda e: (e.state is PartState.HELD, e.seen_at),
        )
        del self._entries[entry.part]
        self._held.discard(entry.part)

    def _expire(self, unix_now: float) -> None:
        """Drop what is too old to matter."""
        for part, entry in list(self._entries.items()):
            if (
                entry.state is not PartState.HELD
                and unix_now - entry.number / 1000 > RELEASED_KEPT_S
            ):
                del self._entries[part]
        if self._crashed_once:
            self._crashed_once = {
                request_id: at
                for request_id, at in self._crashed_once.items()
                if unix_now - at < PROBE_TIMEOUT_S
            }


def _crash(at: float, server: Server, parts: Mapping[str, int]) -> Crash:
    return Crash(
        server_id=server.server_id,
        incarnation=server.incarnation,
        domain=server.failure_domain,
        at=at,
        parts=parts,
    )


def _keys(head: ExchangeHead) -> tuple[str, ...]:
    return tuple(part_key(part) for part in head.shared_parts)


def _answered_for_s(now: float, attempt: ActiveAttempt) -> float:
    if attempt.first_byte_s is None:
        return 0.0
    return now - attempt.sent_at - attempt.first_byte_s


def _went_well(now: float, attempt: ActiveAttempt) -> bool:
    return _answered_for_s(now, attempt) > SOUND_AFTER_S


def _has_gone_on(crashed_at: float, last_activity_at: float) -> bool:
    after_s = last_activity_at - crashed_at
    return GONE_ON_AFTER_S < after_s < GONE_ON_BEFORE_S
