"""Tests of the own interface with requests that crash their servers."""

from collections.abc import Iterator

import testtools

from tests.core.crashing_bus import POISON, CrashingBus
from waxwingarch.core.base import ExecutionStatus, RequestId
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineChanged,
)
from waxwingarch.core.refusal import RefusalReason

HOSTS = 4
SERVERS = 16
STEP_S = 0.1
# The verdict and its way to all hosts, after the third crash.
KNOWN_AFTER_S = 3.0
MOST_AFTER_VERDICT = 3


def started_bus(hosts: int = HOSTS) -> CrashingBus:
    """Return a bus whose hosts know one another and have settings."""
    bus = CrashingBus(hosts, SERVERS)
    bus.advance(5.0)
    return bus


def sound_traffic(bus: CrashingBus) -> Iterator[RequestId]:
    """Let one sound request after the other arrive; some come again."""
    number = 0
    while True:
        number += 1
        name = f"h{number % HOSTS}"
        yield bus.arrive(name, f"sound {number % 50}")


def reached_after_third(bus: CrashingBus) -> int:
    """Return how many came to servers later than the verdict may take."""
    if len(bus.crashes) < 3:
        return 0
    known_at = bus.crashes[2] + KNOWN_AFTER_S
    return sum(at > known_at for at in bus.reached)


class CrashingRequests(testtools.TestCase):
    """One request comes again and again, to all hosts."""

    def test_request_is_kept_from_servers(self) -> None:
        bus = started_bus()
        sound = sound_traffic(bus)
        expected: list[RequestId] = []
        for step in range(300):
            if step % 5 == 0:
                bus.arrive(f"h{step // 5 % HOSTS}", POISON)
            expected.append(next(sound))
            bus.advance(STEP_S)
        bus.advance(5.0)
        self.assertGreaterEqual(len(bus.crashes), 3)
        self.assertLessEqual(reached_after_third(bus), MOST_AFTER_VERDICT)
        self.assertEqual([], [r for r in expected if r in bus.refused])
        self.assertEqual(set(expected), set(bus.completed))

    def test_refusal_says_that_it_did_not_run(self) -> None:
        bus = started_bus()
        for step in range(100):
            bus.arrive(f"h{step % HOSTS}", POISON)
            bus.advance(5 * STEP_S)
        last = bus.arrive("h2", POISON)
        refusal = bus.refused[last].refusal
        self.assertIs(RefusalReason.QUARANTINED, refusal.reason)
        self.assertIs(ExecutionStatus.NOT_RUN, refusal.ran)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_hosts_learn_from_one_another(self) -> None:
        """Each host sees one crash; only together they are proof."""
        bus = started_bus()
        for step in range(3):
            before = len(bus.crashes)
            bus.arrive(f"h{step}", POISON)
            bus.advance(0.3)
            self.assertGreater(len(bus.crashes), before)
            bus.advance(2.0)
        held = {
            name
            for name, action in bus.actions
            if isinstance(action, QuarantineChanged)
            and action.entry.state is InputState.HELD
        }
        self.assertEqual(set(bus.nodes), held)
        count = len(bus.reached)
        for name in bus.nodes:
            bus.arrive(name, POISON)
        bus.advance(2.0)
        self.assertEqual(count, len(bus.reached))

    def test_other_requests_of_the_account_are_served(self) -> None:
        bus = started_bus()
        for step in range(20):
            bus.arrive(f"h{step % HOSTS}", POISON)
            bus.advance(5 * STEP_S)
        other = bus.arrive("h0", "another body")
        bus.advance(2.0)
        self.assertIn(other, bus.completed)

    def test_new_host_learns_of_the_quarantine(self) -> None:
        bus = started_bus()
        bus.paused.add("h3")
        for step in range(30):
            bus.arrive(f"h{step % 3}", POISON)
            bus.advance(5 * STEP_S)
        bus.advance(60.0)
        bus.paused.discard("h3")
        bus.advance(20.0)
        last = bus.arrive("h3", POISON)
        self.assertIs(
            RefusalReason.QUARANTINED, bus.refused[last].refusal.reason
        )
