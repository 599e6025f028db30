"""Tests of requests under which every backend server crashes."""

from typing import Any

import testtools

from tests.core.front.builders import (
    DOMAINS,
    arrive,
    server,
    serving_front,
)
from tests.core.front.crash_fleet import POISON, CrashFleet
from waxwingarch.adapters.quarantine_codec import (
    decode_quarantine,
    encode_quarantine,
)
from waxwingarch.core.base import (
    Action,
    ExecutionStatus,
    RequestId,
    ServerId,
)
from waxwingarch.core.exchange.exchange_messages import (
    AttemptFinished,
    AttemptOutcome,
    LocalResponse,
    ResponseStarted,
    SendRequest,
)
from waxwingarch.core.quarantine.crash_evidence import (
    MAX_REPORTED_CRASHES,
    CrashEvidence,
)
from waxwingarch.core.quarantine.entries import MAX_ENTRIES
from waxwingarch.core.quarantine.quarantine import (
    QUARANTINE_IDLE_S,
    Quarantine,
)
from waxwingarch.core.quarantine.quarantine_messages import (
    CancelAttempt,
    Crash,
    InputState,
    QuarantineChanged,
    QuarantineOrdered,
    QuarantineReport,
    RequestInputs,
)
from waxwingarch.core.refusal import RefusalReason

# A host is in touch this long after a disruption of its own.
CONTACT_S = 3.0
CRASHES_TOLERATED = 5
MAX_SENT_AFTER = 3
RUN_S = 30.0
MAX_REPORT_BYTES = 8000


def inputs_of(name: str) -> RequestInputs:
    """Return the inputs of a request with one shared part."""
    return RequestInputs(request_id=RequestId(name), keys=("p0",))


class BudgetOfThePoisonedPart(testtools.TestCase):
    """Incident second1: one prompt part ended server after server.

    Requests with it reached servers for as long as they came, as no host
    counted crashes by what the requests held.
    """

    def run_fleet(
        self, hosts: int, rate: float, path: str, seed: int
    ) -> CrashFleet:
        fleet = CrashFleet(hosts, 24, seed)
        fleet.load(30.0, RUN_S, fleet.sound_part)
        fleet.run(3.0)
        fleet.load(rate, RUN_S, lambda: POISON, path)
        fleet.run(RUN_S + 3.0)
        return fleet

    def check(self, hosts: int, rate: float, path: str) -> None:
        for seed in (1, 2, 3):
            fleet = self.run_fleet(hosts, rate, path, seed)
            sent = fleet.sent_after(CRASHES_TOLERATED, CONTACT_S)
            self.assertLessEqual(sent, MAX_SENT_AFTER, (hosts, rate, seed))

    def test_new_requests_at_any_host(self) -> None:
        for rate in (0.5, 2.0, 10.0):
            self.check(8, rate, "/chat/x")

    def test_requests_that_are_sent_again(self) -> None:
        self.check(8, 2.0, "/draft/x")

    def test_hosts_of_a_large_fleet(self) -> None:
        fleet = CrashFleet(78, 60, 1, with_codec=False)
        fleet.load(60.0, 14.0, fleet.sound_part)
        fleet.run(3.0)
        fleet.load(5.0, 14.0, lambda: POISON, "/chat/x")
        fleet.run(15.0)
        sent = fleet.sent_after(CRASHES_TOLERATED, CONTACT_S)
        self.assertLessEqual(sent, MAX_SENT_AFTER)


class PlaceOfThePoisonedPart(testtools.TestCase):
    def test_it_may_be_the_first_of_the_prompt(self) -> None:
        """The deeper parts are those of sound requests."""
        fleet = CrashFleet(8, 24, 1, sound_parts=10)
        fleet.load(30.0, 12.0, fleet.sound_part)

        def send() -> None:
            fleet.send(fleet.sound_part(), first=POISON, path="/chat/x")

        fleet.repeat(3.0, 12.0, send)
        fleet.run(15.0)
        self.assertEqual({POISON}, fleet.ever_held())
        sent = fleet.sent_after(CRASHES_TOLERATED, CONTACT_S)
        self.assertLessEqual(sent, MAX_SENT_AFTER)


class SoundPartsAmongCrashes(testtools.TestCase):
    """Servers are lost in many ways, with the same parts in flight.

    A sound part that is quarantined is an outage of its own.
    """

    def test_common_parts_are_not_quarantined(self) -> None:
        for seed, path in ((1, "/chat/x"), (2, "/draft/x")):
            fleet = CrashFleet(8, 24, seed)
            fleet.load(40.0, RUN_S, fleet.sound_part, path)
            fleet.run(3.0)
            fleet.disrupt(RUN_S)
            fleet.run(RUN_S + 3.0)
            self.assertEqual(set(), fleet.ever_held(), seed)

    def test_all_servers_of_a_domain_or_of_all_end_at_once(self) -> None:
        fleet = CrashFleet(8, 24, 3)
        fleet.load(60.0, 12.0, lambda: "s0", "/chat/x")
        fleet.run(4.0)
        fleet.crash_all(fleet.in_domain(DOMAINS[1]), 0.9)
        fleet.run(6.0)
        fleet.crash_all(fleet.backends, 0.01)
        fleet.run(15.0)
        self.assertEqual(set(), fleet.ever_held())

    def test_parts_beside_the_poisoned_one_are_served(self) -> None:
        fleet = CrashFleet(8, 24, 1)
        fleet.load(30.0, 12.0, fleet.sound_part)
        fleet.load(10.0, 12.0, lambda: POISON, "/chat/x")
        fleet.run(15.0)
        self.assertEqual({POISON}, fleet.ever_held())


class KnowledgeOfTheFleet(testtools.TestCase):
    """A host that did not see the crashes may not begin anew."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = CrashFleet(8, 24, 1)
        self.fleet.load(20.0, 60.0, self.fleet.sound_part)

    def poison(self, until: float) -> None:
        self.fleet.load(3.0, until, lambda: POISON, "/chat/x")
        self.fleet.run(until)
        self.assertEqual({POISON}, self.fleet.held())

    def send_to(self, host: str) -> int:
        """Send poisoned requests to a host; return how many got through."""
        before = len(self.fleet.reached)
        for _ in range(5):
            self.fleet.send(POISON, host, path="/chat/x")
            self.fleet.run(self.fleet.now + 0.1)
        return len(self.fleet.reached) - before

    def test_host_that_started_again_learns_it_from_its_peers(self) -> None:
        self.poison(8.0)
        self.fleet.store_is_down = True
        self.fleet.start_host("h5", 2)
        self.fleet.run(self.fleet.now + 0.5)
        self.assertEqual(0, self.send_to("h5"))

    def test_host_that_was_paused_or_cut_off_learns_it(self) -> None:
        self.fleet.paused.add("h5")
        self.fleet.cut_off.add("h6")
        self.poison(8.0)
        self.fleet.paused.clear()
        self.fleet.cut_off.clear()
        self.fleet.run(self.fleet.now + 2.5)
        self.assertEqual(0, self.send_to("h5") + self.send_to("h6"))

    def test_all_hosts_started_again_read_it_from_the_store(self) -> None:
        self.poison(8.0)
        for name in list(self.fleet.nodes):
            self.fleet.start_host(name, 2)
        self.fleet.run(self.fleet.now + 0.2)
        self.assertEqual(0, self.send_to("h3"))

    def test_store_that_is_down_blocks_nothing(self) -> None:
        self.fleet.store_is_down = True
        self.poison(8.0)
        self.assertEqual(0, self.send_to("h3"))
        self.assertEqual((), self.fleet.row)
        self.fleet.store_is_down = False
        self.fleet.run(self.fleet.now + 1.0)
        self.assertEqual([POISON], [e.key for e in self.fleet.row])

    def test_order_of_an_operator_reaches_all_hosts(self) -> None:
        self.fleet.post("h2", QuarantineOrdered(key="s1", held=True))
        self.fleet.run(1.0)
        self.fleet.poisons = {"s1"}
        for name in self.fleet.nodes:
            self.fleet.send("s1", name)
        self.fleet.run(1.1)
        self.assertEqual([], self.fleet.reached)

    def test_writes_are_few(self) -> None:
        self.poison(20.0)
        self.assertLessEqual(self.fleet.writes, 2)

    def test_reports_stay_small(self) -> None:
        self.poison(20.0)
        self.assertLess(self.fleet.max_report_bytes, MAX_REPORT_BYTES)


class Refusals(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.node = serving_front()

    def order(self, now: float, *, held: bool) -> list[Action]:
        return self.node.handle(now, QuarantineOrdered(key="p0", held=held))

    def test_request_that_did_not_run_is_told_to_wait(self) -> None:
        self.order(1.0, held=True)
        response = arrive(self.node, "r1", now=1.1)
        assert isinstance(response, LocalResponse)
        self.assertEqual(RefusalReason.QUARANTINED, response.refusal.reason)
        self.assertEqual(ExecutionStatus.NOT_RUN, response.refusal.ran)
        self.assertEqual(QUARANTINE_IDLE_S, response.refusal.retry_after_s)

    def test_attempt_without_an_answer_is_cancelled(self) -> None:
        arrive(self.node, "r1", now=1.0)
        change, cancel, response = self.order(1.1, held=True)
        self.assertIsInstance(change, QuarantineChanged)
        self.assertEqual(CancelAttempt(request_id=RequestId("r1")), cancel)
        assert isinstance(response, LocalResponse)
        self.assertEqual(RefusalReason.BACKEND_FAILED, response.refusal.reason)
        self.assertEqual(ExecutionStatus.UNKNOWN, response.refusal.ran)
        self.assertEqual(0, len(self.node.exchanges))

    def test_answer_under_way_goes_on(self) -> None:
        arrive(self.node, "r1", now=1.0)
        started = ResponseStarted(request_id=RequestId("r1"))
        self.node.handle(1.1, started)
        self.assertEqual(1, len(self.order(1.2, held=True)))
        self.assertEqual(1, len(self.node.exchanges))

    def test_operator_releases_a_part(self) -> None:
        self.order(1.0, held=True)
        self.order(2.0, held=False)
        self.assertIsInstance(arrive(self.node, "r1", now=2.1), SendRequest)


class EndOfAQuarantine(testtools.TestCase):
    """Evidence and verdicts of one host, without a fleet."""

    def setUp(self) -> None:
        super().setUp()
        self.quarantine = Quarantine(lambda now: now)
        self.crashes = 0
        for at in (1.0, 3.0, 5.0):
            self.crash("r", at)
        self.tick(6.0)
        self.assertEqual(InputState.HELD, self.state())

    def crash(self, name: str, now: float) -> None:
        self.crashes += 1
        self.quarantine.record_break(
            now,
            inputs_of(name),
            server(f"e{self.crashes}"),
            answered_for_s=0.0,
            in_rollout=False,
        )

    def tick(self, now: float) -> None:
        self.quarantine.tick(now, lambda _server: float("-inf"))

    def state(self) -> InputState:
        [entry] = self.quarantine.entries
        return entry.state

    def is_refused(self, name: str, now: float, *, may_probe: bool) -> bool:
        refusal = self.quarantine.refusal_for(
            now, inputs_of(name), may_probe=may_probe
        )
        return refusal is not None

    def test_stays_while_requests_come(self) -> None:
        now = 6.0
        while now < 3 * QUARANTINE_IDLE_S:
            now += QUARANTINE_IDLE_S / 2
            self.assertTrue(self.is_refused("r", now, may_probe=True))

    def test_one_probe_of_the_holder_after_a_calm_time(self) -> None:
        now = 7.0 + QUARANTINE_IDLE_S
        self.assertTrue(self.is_refused("a", now, may_probe=False))
        self.assertFalse(self.is_refused("b", now, may_probe=True))
        self.assertTrue(self.is_refused("c", now, may_probe=True))

    def test_probe_that_goes_well_releases_and_one_crash_holds(self) -> None:
        now = 7.0 + QUARANTINE_IDLE_S
        self.is_refused("b", now, may_probe=True)
        self.quarantine.record_sound(now + 1, inputs_of("b"))
        self.tick(now + 1)
        self.assertEqual(InputState.PROBATION, self.state())
        self.crash("d", now + 60)
        self.tick(now + 61)
        self.assertEqual(InputState.HELD, self.state())

    def test_probe_that_crashes_begins_the_time_again(self) -> None:
        now = 7.0 + QUARANTINE_IDLE_S
        self.is_refused("b", now, may_probe=True)
        self.crash("b", now)
        self.tick(now + 1)
        later = now + QUARANTINE_IDLE_S / 2
        self.assertTrue(self.is_refused("c", later, may_probe=True))

    def test_answer_that_goes_well_releases_at_once(self) -> None:
        self.quarantine.record_sound(7.0, inputs_of("b"))
        self.tick(7.0)
        self.assertEqual(InputState.CLEARED, self.state())

    def test_older_news_does_not_undo_a_release(self) -> None:
        before = self.quarantine.report()
        self.quarantine.order(7.0, "p0", held=False)
        self.quarantine.record_report(8.0, before)
        self.tick(8.0)
        self.assertEqual(InputState.PROBATION, self.state())

    def test_memory_and_reports_are_bounded(self) -> None:
        for n in range(300):
            self.quarantine.order(10.0 + n, f"part{n}", held=True)
            self.crash(f"r{n}", 10.0 + 2 * n)
        report = self.quarantine.report()
        self.assertEqual(MAX_ENTRIES, len(report.entries))
        self.assertEqual(MAX_REPORTED_CRASHES, len(report.crashes))

    def test_report_is_the_same_after_a_datagram(self) -> None:
        report = self.quarantine.report()
        self.assertEqual(report, decode_quarantine(encode_quarantine(report)))
        self.assertEqual({}, encode_quarantine(QuarantineReport()))


class Evidence(testtools.TestCase):
    """What counts as a loss of servers under a part."""

    def setUp(self) -> None:
        super().setUp()
        self.evidence = CrashEvidence()

    def add(self, name: str, at: float, **changes: Any) -> None:
        values: dict[str, Any] = {
            "server_id": ServerId(name),
            "incarnation": 1,
            "domain": DOMAINS[0],
            "at": at,
            "inputs": {"p0": 0},
        }
        self.evidence.record_crash(at, Crash(**(values | changes)))

    def verdict(self, now: float = 20.0) -> str | None:
        found = self.evidence.verdict(now, set(), {})
        return found.key if found else None

    def test_crashes_apart_condemn(self) -> None:
        for n in range(3):
            self.add(f"e{n}", 10.0 + 2 * n)
        self.assertEqual("p0", self.verdict())

    def test_breaks_of_one_process_are_one_loss(self) -> None:
        for n in range(5):
            self.add("e0", 10.0 + 2 * n)
        self.assertIsNone(self.verdict())

    def test_servers_of_a_domain_that_end_together_are_one_loss(self) -> None:
        for n in range(5):
            self.add(f"e{n}", 10.0 + 0.2 * n)
        self.assertIsNone(self.verdict())

    def test_version_on_trial_alone_condemns_nothing(self) -> None:
        for n in range(3):
            self.add(f"e{n}", 10.0 + 2 * n, in_rollout=True)
        self.assertIsNone(self.verdict())
        self.add("e9", 17.0)
        self.assertEqual("p0", self.verdict())

    def test_sound_answer_between_the_crashes_clears(self) -> None:
        for n in range(3):
            self.add(f"e{n}", 10.0 + 2 * n)
        self.evidence.record_sound(13.0, ["p0"])
        self.assertIsNone(self.verdict())

    def test_released_request_needs_one_crash_beside_any_other(self) -> None:
        self.add("e0", 10.0, inputs={"request:a": 0, "request:b": 0})
        found = self.evidence.verdict(20.0, set(), {"request:a": 5.0})
        assert found is not None
        self.assertEqual("request:a", found.key)

    def test_server_that_goes_on_refutes(self) -> None:
        for n in range(3):
            self.add(f"e{n}", 10.0 + 2 * n)
        self.evidence.refute(15.0, lambda crash: crash.server_id == "e1")
        self.assertIsNone(self.verdict())

    def test_hosts_join_what_they_saw_of_one_crash(self) -> None:
        for n in range(3):
            self.add(f"e{n}", 10.0 + 2 * n)
            self.add(f"e{n}", 10.1 + 2 * n, inputs={"p1": 1})
        self.assertEqual(3, len(self.evidence.reported_crashes(set())))
        self.assertEqual("p1", self.verdict())


class AnswersWithoutAByte(testtools.TestCase):
    """A crash before the first event may look like the end of an answer."""

    def test_they_clear_nothing(self) -> None:
        node = serving_front()
        arrive(node, "r1", now=1.0)
        done = AttemptFinished(
            request_id=RequestId("r1"), outcome=AttemptOutcome.DONE
        )
        node.handle(1.1, done)
        sound_at = node.quarantine.evidence.sound_at("p0")
        self.assertEqual(float("-inf"), sound_at)


class SoundAnswers(testtools.TestCase):
    """Which answers clear the parts of their prompts."""

    def is_cleared(self, **end: Any) -> bool:
        node = serving_front()
        arrive(node, "r")
        node.handle(1.1, ResponseStarted(request_id=RequestId("r")))
        done = AttemptFinished(
            request_id=RequestId("r"), outcome=AttemptOutcome.DONE, **end
        )
        node.handle(1.2, done)
        return node.quarantine.evidence.sound_at("p0") > 0.0

    def test_complete_answer_clears(self) -> None:
        self.assertTrue(self.is_cleared())

    # A crash that closed the connection between two events looked complete
    # and cleared the part that had caused it.
    def test_answer_that_ends_with_its_connection_says_nothing(self) -> None:
        self.assertFalse(self.is_cleared(ended_by_close=True))
