"""Quarantine of inputs under which backend servers crash.

An input is a prompt part that requests share, or a whole request that comes
again. A crash of a server is evidence against the inputs of the requests
that it had not begun to answer well, on whichever host they were. An answer
that goes well clears its inputs. All hosts share the evidence and the
verdicts in their reports.
"""

from collections.abc import Callable, Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import replace
from typing import Final

from waxwingarch.core.base import (
    Action,
    ExecutionStatus,
    RequestId,
    Server,
    ServerId,
)
from waxwingarch.core.quarantine.crash_evidence import CrashEvidence
from waxwingarch.core.quarantine.entries import QuarantineEntries
from waxwingarch.core.quarantine.inputs import InputKind, kind_of
from waxwingarch.core.quarantine.quarantine_messages import (
    Crash,
    InputState,
    QuarantineEntry,
    QuarantineOrigin,
    QuarantineReport,
    RequestInputs,
)
from waxwingarch.core.refusal import Refusal, RefusalReason

# An answer that has gone on for this long after its first byte went well:
# a poisoned input ends the server when it begins to answer.
SOUND_AFTER_S: Final = 1.0
# A request is in a crash if no answer to it had begun, or just then.
BEGUN_WITHIN_S: Final = 0.2
# An input stays in quarantine until no request with it came for this long.
# Then the holder of the duties lets one request through, as a probe.
QUARANTINE_IDLE_S: Final = 900.0
# A probe without an outcome is given up after this time.
PROBE_TIMEOUT_S: Final = 60.0
# A request that was in this many crashes is sent no more until this time
# after the last one: a verdict or a sound answer is known by then.
SUSPECTED_AFTER: Final = 2
SUSPECT_PAUSE_S: Final = 1.0
# Activity of a server within these times of a broken response shows that
# the process goes on: what was on the way arrives before, and a process
# that was started again is back later.
GONE_ON_AFTER_S: Final = 0.1
GONE_ON_BEFORE_S: Final = 3.0
# Requests note at most this often that they still come.
SEEN_STEP_S: Final = 10.0

_MESSAGES: Final = {
    InputKind.PART: "servers crashed under the prompt part {key}: leave it"
    " out, or send it again when none came for {idle_s:.0f} s",
    InputKind.REQUEST: "servers crashed under this request ({key}): change"
    " it, or send it again when none came for {idle_s:.0f} s",
}


class Quarantine:
    """The quarantined inputs, as far as this host knows them.

    `unix_time` converts the node's clock to the hosts' common time of day.
    """

    def __init__(self, unix_time: Callable[[float], float]) -> None:
        self._unix_time = unix_time
        self.evidence = CrashEvidence()
        self._entries = QuarantineEntries()
        # Requests that were in a crash, and when.
        self._crashed_once: dict[RequestId, float] = {}
        self._probes: dict[str, tuple[float, RequestId]] = {}

    # Requests

    def refusal_for(
        self, now: float, inputs: RequestInputs, *, may_probe: bool
    ) -> Refusal | None:
        """Return the refusal of a request with a quarantined input.

        With `may_probe` one request may pass for an input with which none
        came for a long time. A request that may end the next server too is
        refused until more is known.
        """
        unix_now = self._unix_time(now)
        for key in inputs.keys:
            if key not in self._entries.held:
                continue
            if may_probe and self._may_probe(unix_now, key):
                self._probes[key] = unix_now, inputs.request_id
                continue
            return self._refuse(unix_now, key)
        paused_until = self._paused_until(unix_now, inputs)
        if paused_until <= unix_now:
            return None
        return Refusal(
            reason=RefusalReason.SUSPECTED,
            ran=ExecutionStatus.NOT_RUN,
            message="servers crashed while this request was on them: send it"
            " again when it is known whether it was the cause",
            retry_after_s=paused_until - unix_now,
        )

    def is_held(self, inputs: RequestInputs) -> bool:
        """Return whether a request has a quarantined input.

        A probe does not count as having it.
        """
        return any(
            key in self._entries.held
            and self._probes.get(key, (0.0, None))[1] != inputs.request_id
            for key in inputs.keys
        )

    def may_resend(self, now: float, inputs: RequestInputs) -> bool:
        """Return whether a request may be sent to another server.

        An input that has ended servers apart from one another may end the
        next one too, with the requests beside it.
        """
        unix_now = self._unix_time(now)
        if self.is_held(inputs) or (
            self._paused_until(unix_now, inputs) > unix_now
        ):
            return False
        if inputs.request_id not in self._crashed_once:
            return True
        return all(
            len(self.evidence.losses(key, self._entries.held)) <= 1
            for key in inputs.keys
        )

    def _paused_until(self, unix_now: float, inputs: RequestInputs) -> float:
        """Return until when a request is not sent, in Unix seconds."""
        if not self.evidence.is_recent(unix_now):
            return unix_now
        held = self._entries.held
        return max(
            (
                crashes[-1].at + SUSPECT_PAUSE_S
                for key in inputs.keys
                if kind_of(key) is InputKind.REQUEST
                and len(crashes := self.evidence.crashes_under(key, held))
                >= SUSPECTED_AFTER
            ),
            default=unix_now,
        )

    def _may_probe(self, unix_now: float, key: str) -> bool:
        entry = self._entries[key]
        probed_at = self._probes.get(key, (float("-inf"), None))[0]
        return (
            entry.origin is QuarantineOrigin.CRASHES
            and unix_now - entry.seen_at > QUARANTINE_IDLE_S
            and unix_now - probed_at > PROBE_TIMEOUT_S
        )

    def _refuse(self, unix_now: float, key: str) -> Refusal:
        idle_s = unix_now - self._entries[key].seen_at
        if SEEN_STEP_S < idle_s <= QUARANTINE_IDLE_S:
            self._entries.note_seen(key, unix_now)
        return Refusal(
            reason=RefusalReason.QUARANTINED,
            ran=ExecutionStatus.NOT_RUN,
            message=_MESSAGES[kind_of(key)].format(
                key=key, idle_s=QUARANTINE_IDLE_S
            ),
            retry_after_s=QUARANTINE_IDLE_S,
        )

    # Outcomes

    def record_sound(self, now: float, inputs: RequestInputs) -> None:
        """Record that an answer went well."""
        self._crashed_once.pop(inputs.request_id, None)
        self.evidence.record_sound(self._unix_time(now), inputs.keys)

    def record_break(
        self,
        now: float,
        inputs: RequestInputs,
        server: Server,
        *,
        answered_for_s: float,
        in_rollout: bool,
    ) -> None:
        """Record that a response broke, as it does when its server crashes.

        `answered_for_s` is the time since its first byte.
        """
        if answered_for_s > SOUND_AFTER_S:
            self.record_sound(now, inputs)
            return
        if answered_for_s > BEGUN_WITHIN_S or not inputs.keys:
            return
        unix_now = self._unix_time(now)
        for key in self._entries.held.intersection(inputs.keys):
            self._probes.pop(key, None)
            self._entries.note_seen(key, unix_now)
        self._crashed_once[inputs.request_id] = unix_now
        crash = _crash(unix_now, server, inputs.depths())
        self.evidence.record_crash(
            unix_now, replace(crash, in_rollout=in_rollout)
        )

    def record_held(
        self, now: float, inputs: RequestInputs, server: Server
    ) -> None:
        """Record the quarantined inputs of a cancelled attempt.

        If its server crashes nevertheless, they explain the crash.
        """
        unix_now = self._unix_time(now)
        held = {
            key: depth
            for key, depth in inputs.depths().items()
            if key in self._entries.held
        }
        self.evidence.record_crash(unix_now, _crash(unix_now, server, held))

    def note_progress(
        self, now: float, inputs: RequestInputs, *, answered_for_s: float
    ) -> None:
        """Record an answer in progress as sound if it has gone on well."""
        if answered_for_s > SOUND_AFTER_S:
            self.record_sound(now, inputs)

    def needs_progress(self, now: float) -> bool:
        """Return whether answers in progress have to be looked at."""
        return self.evidence.is_recent(self._unix_time(now))

    # Peers

    def report(self) -> QuarantineReport:
        """Return what this host tells its peers."""
        held = self._entries.held
        return QuarantineReport(
            entries=self.entries,
            crashes=self.evidence.reported_crashes(held),
            sound=self.evidence.reported_sound(held),
        )

    def record_report(self, now: float, report: QuarantineReport) -> None:
        """Join what a peer knows with what this host knows."""
        unix_now = self._unix_time(now)
        for crash in report.crashes:
            self.evidence.record_crash(unix_now, crash)
        for key, at in report.sound.items():
            self.evidence.record_sound(min(at, unix_now), [key])
        self.merge(report.entries)

    def merge(self, entries: Iterable[QuarantineEntry]) -> None:
        """Adopt entries of peers or of the store that are newer."""
        self._entries.merge(entries)

    # Decisions

    @property
    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return all entries, those that were released too."""
        return self._entries.all

    @property
    def held(self) -> AbstractSet[str]:
        """Return the keys of the quarantined inputs."""
        return self._entries.held

    def order(self, now: float, key: str, *, held: bool) -> None:
        """Quarantine an input, or release it, as an operator says."""
        state = InputState.HELD if held else InputState.PROBATION
        self._entries.decide(
            self._unix_time(now), key, state, QuarantineOrigin.OPERATOR
        )

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
            self._judge(unix_now)
        self._release_sound(unix_now)
        self._entries.expire(unix_now)
        if self._crashed_once:
            self._crashed_once = {
                request_id: at
                for request_id, at in self._crashed_once.items()
                if unix_now - at < PROBE_TIMEOUT_S
            }
        return self._entries.take_news()

    def _judge(self, unix_now: float) -> None:
        """Quarantine the inputs that the evidence condemns, each once.

        In a full table a verdict may displace an input that was condemned
        just before, and whose evidence would condemn it again.
        """
        judged: set[str] = set()
        while True:
            verdict = self.evidence.verdict(
                unix_now, self._entries.held, self._entries.released_at()
            )
            if verdict is None or verdict.key in judged:
                return
            judged.add(verdict.key)
            self._entries.decide(
                unix_now,
                verdict.key,
                InputState.HELD,
                QuarantineOrigin.CRASHES,
                verdict.servers,
            )

    def _release_sound(self, unix_now: float) -> None:
        """Release the inputs with which an answer went well after all."""
        for key in sorted(self._entries.held):
            entry = self._entries[key]
            if (
                entry.origin is not QuarantineOrigin.CRASHES
                or self.evidence.sound_at(key) <= entry.number / 1000
            ):
                continue
            probe = self._probes.pop(key, None)
            state = InputState.PROBATION if probe else InputState.CLEARED
            self._entries.decide(
                unix_now, key, state, QuarantineOrigin.CRASHES
            )


def _crash(at: float, server: Server, inputs: Mapping[str, int]) -> Crash:
    return Crash(
        server_id=server.server_id,
        incarnation=server.incarnation,
        domain=server.failure_domain,
        at=at,
        inputs=inputs,
    )


def _has_gone_on(crashed_at: float, last_activity_at: float) -> bool:
    after_s = last_activity_at - crashed_at
    return GONE_ON_AFTER_S < after_s < GONE_ON_BEFORE_S
