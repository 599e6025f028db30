"""Tests of a quarantine whose table of inputs is full."""

from unittest import mock

import testtools
from hypothesis import given, settings, strategies

from tests.core.front.builders import DOMAINS
from waxwingarch.core.base import ServerId
from waxwingarch.core.quarantine.crash_evidence import (
    CONDEMNED_AFTER,
    MAX_CRASHES,
)
from waxwingarch.core.quarantine.entries import MAX_ENTRIES
from waxwingarch.core.quarantine.inputs import request_key
from waxwingarch.core.quarantine.quarantine import Quarantine
from waxwingarch.core.quarantine.quarantine_messages import (
    Crash,
    QuarantineReport,
)

# Far more than the inputs of a test.
MAX_VERDICTS = 500
PART_COUNT = MAX_ENTRIES + 12


def make_quarantine() -> Quarantine:
    return Quarantine(lambda now: now)


def crash(quarantine: Quarantine, key: str, count: int, now: float) -> float:
    """Let servers crash under an input; return the time after it."""
    for number in range(count):
        now += 2.0
        seen = Crash(
            server_id=ServerId(f"{key}-{number}"),
            incarnation=1,
            domain=DOMAINS[number % len(DOMAINS)],
            at=now,
            inputs={key: 0},
        )
        quarantine.record_report(now, QuarantineReport(crashes=(seen,)))
    return now + 1.0


def tick(quarantine: Quarantine, now: float) -> None:
    """Judge, and fail where it does not end."""
    verdict = quarantine.evidence.verdict
    with mock.patch.object(
        quarantine.evidence,
        "verdict",
        side_effect=lambda *args: verdict(*args),
    ) as counted:

        def count(*args: object) -> object:
            if counted.call_count > MAX_VERDICTS:
                raise AssertionError("it judges without an end")
            return verdict(*args)  # type: ignore[arg-type]

        counted.side_effect = count
        quarantine.tick(now, lambda server_id: float("-inf"))


def full_quarantine() -> Quarantine:
    """Return a quarantine with as many parts as it keeps."""
    quarantine = make_quarantine()
    for number in range(MAX_ENTRIES):
        quarantine.order(1.0 + number, f"part{number}", held=True)
    return quarantine


class FullTable(testtools.TestCase):
    # Guards against hosts that hang: the entry that a verdict made was the
    # one that was dropped, so that the same verdict followed.
    def test_verdict_on_a_request_ends(self) -> None:
        quarantine = full_quarantine()
        key = request_key(None, "digest")
        now = crash(quarantine, key, CONDEMNED_AFTER + 1, 100.0)
        tick(quarantine, now)
        self.assertIn(key, quarantine.held)
        self.assertEqual(MAX_ENTRIES, len(quarantine.entries))

    def test_verdict_on_a_part_displaces_the_one_idle_longest(self) -> None:
        quarantine = full_quarantine()
        now = crash(quarantine, "new", CONDEMNED_AFTER, 100.0)
        tick(quarantine, now)
        self.assertIn("new", quarantine.held)
        self.assertNotIn("part0", quarantine.held)
        self.assertIn("part1", quarantine.held)

    def test_entries_of_a_peer_are_adopted(self) -> None:
        quarantine = full_quarantine()
        peer = make_quarantine()
        peer.order(200.0, request_key(None, "digest"), held=True)
        quarantine.merge(peer.entries)
        self.assertTrue(peer.held <= quarantine.held)
        self.assertEqual(MAX_ENTRIES, len(quarantine.entries))


class AnyState(testtools.TestCase):
    @given(
        inputs=strategies.lists(
            strategies.tuples(
                strategies.integers(0, PART_COUNT),
                strategies.booleans(),
                strategies.integers(1, CONDEMNED_AFTER + 1),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=MAX_CRASHES,
        ),
        ordered=strategies.integers(0, PART_COUNT),
    )
    @settings(derandomize=True, deadline=None, max_examples=20)
    def test_judging_ends_and_the_table_is_bounded(
        self, inputs: list[tuple[int, bool, int, bool]], ordered: int
    ) -> None:
        quarantine = make_quarantine()
        for number in range(ordered):
            quarantine.order(1.0 + number, f"part{number}", held=True)
        now = 100.0
        for number, is_request, crashes, ticks in inputs:
            key = f"part{number}"
            if is_request:
                key = request_key(None, key)
            now = crash(quarantine, key, crashes, now)
            if ticks:
                tick(quarantine, now)
            self.assertLessEqual(len(quarantine.entries), MAX_ENTRIES)
        tick(quarantine, now)
        self.assertLessEqual(len(quarantine.entries), MAX_ENTRIES)
        self.assertLessEqual(len(quarantine.held), MAX_ENTRIES)
