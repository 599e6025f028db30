"""Tests of whole requests under which every backend server crashes."""

from dataclasses import replace
from typing import Any

import testtools

from tests.core.front.builders import (
    DOMAINS,
    LEDGER,
    arrive,
    config,
    route,
    server,
    serving_front,
)
from tests.core.front.crash_fleet import POISON, CrashFleet
from waxwingarch.adapters.quarantine_codec import (
    decode_entries,
    decode_quarantine,
    encode_quarantine,
)
from waxwingarch.core.base import AccountId, Action, RequestId, ServerId
from waxwingarch.core.exchange.exchange_messages import (
    LocalResponse,
    SendRequest,
)
from waxwingarch.core.front_messages import ConfigRead
from waxwingarch.core.quarantine.crash_evidence import CrashEvidence
from waxwingarch.core.quarantine.entries import MAX_ENTRIES
from waxwingarch.core.quarantine.inputs import (
    InputKind,
    kind_of,
    request_key,
)
from waxwingarch.core.quarantine.quarantine import (
    SUSPECT_PAUSE_S,
    Quarantine,
)
from waxwingarch.core.quarantine.quarantine_messages import (
    Crash,
    InputState,
    QuarantineEntry,
    QuarantineOrdered,
    QuarantineOrigin,
    RequestInputs,
)
from waxwingarch.core.quarantine.sound_answers import (
    MAX_RECENT_REQUESTS,
    MAX_SOUND_INPUTS,
    SoundAnswers,
)
from waxwingarch.core.refusal import RefusalReason

# A host is in touch this long after a disruption of its own.
CONTACT_S = 3.0
CRASHES_TOLERATED = 3
MAX_SENT_AFTER = 3
RUN_S = 20.0
SENT_AGAIN = "/read/x"
AT_MOST_ONCE = "/pay/x"
MAX_REPORT_BYTES = 8000
ACCOUNT = AccountId("a")
ONE, OTHER = (request_key(ACCOUNT, name) for name in ("one", "other"))
POISON_KEY = request_key(ACCOUNT, POISON)
PART = "p0"
NEVER = float("-inf")


def inputs_of(name: str, *keys: str) -> RequestInputs:
    """Return the inputs of a request."""
    return RequestInputs(request_id=RequestId(name), keys=keys)


class BudgetOfThePoisonedRequest(testtools.TestCase):
    """Incident second1 with split-read: one request ended each server.

    It came again and again at any host, without prompt parts, and each host
    knew it by its id only.
    """

    def run_fleet(
        self, hosts: int, servers: int, rate: float, path: str, seed: int
    ) -> CrashFleet:
        fleet = CrashFleet(hosts, servers, seed, service=LEDGER)
        fleet.repeat(20.0, RUN_S, lambda: fleet.send_whole(fleet.sound_part()))
        fleet.run(3.0)
        fleet.repeat(rate, RUN_S, lambda: fleet.send_whole(POISON, path=path))
        fleet.run(RUN_S)
        return fleet

    def check(self, hosts: int, servers: int, rate: float, path: str) -> None:
        for seed in (1, 2, 3):
            fleet = self.run_fleet(hosts, servers, rate, path, seed)
            sent = fleet.sent_after(CRASHES_TOLERATED, CONTACT_S)
            self.assertLessEqual(sent, MAX_SENT_AFTER, (hosts, rate, seed))

    def test_service_of_four_servers(self) -> None:
        for rate in (0.5, 2.0, 10.0):
            self.check(9, 4, rate, SENT_AGAIN)

    def test_requests_that_may_not_be_sent_again(self) -> None:
        for rate in (0.5, 2.0, 10.0):
            self.check(9, 4, rate, AT_MOST_ONCE)

    def test_many_hosts_that_each_see_it_once(self) -> None:
        fleet = self.run_fleet(78, 12, 5.0, AT_MOST_ONCE, 1)
        sent = fleet.sent_after(CRASHES_TOLERATED, CONTACT_S)
        self.assertLessEqual(sent, MAX_SENT_AFTER)


class _Evidence(testtools.TestCase):
    """Crashes and the verdict on them."""

    def setUp(self) -> None:
        super().setUp()
        self.evidence = CrashEvidence()
        self.crashes = 0

    def add(self, at: float, *keys: str, **changes: Any) -> None:
        """Add a crash of another server under these inputs."""
        self.crashes += 1
        values: dict[str, Any] = {
            "server_id": ServerId(f"e{self.crashes}"),
            "incarnation": 1,
            "domain": DOMAINS[0],
            "at": at,
            "inputs": {key: depth for depth, key in enumerate(keys)},
        }
        self.evidence.record_crash(at, Crash(**(values | changes)))

    def verdict(self, *held: str, now: float = 30.0) -> str | None:
        found = self.evidence.verdict(now, set(held), {})
        return found.key if found else None


class LossesUnderARequest(_Evidence):
    """What counts as a loss of servers under a whole request."""

    def test_each_server_of_a_domain_is_a_loss(self) -> None:
        for n in range(3):
            self.add(10.0 + 0.1 * n, ONE)
        self.assertEqual(ONE, self.verdict())

    def test_servers_of_a_domain_are_one_loss_of_a_part(self) -> None:
        for n in range(3):
            self.add(10.0 + 0.1 * n, PART)
        self.assertIsNone(self.verdict())

    def test_two_losses_condemn_nothing(self) -> None:
        self.add(10.0, ONE)
        self.add(12.0, ONE)
        self.assertIsNone(self.verdict())

    def test_breaks_of_one_process_are_one_loss(self) -> None:
        for n in range(4):
            self.add(10.0 + 2 * n, ONE, server_id=ServerId("e0"))
        self.assertIsNone(self.verdict())

    def test_verdict_waits_for_news_of_other_hosts(self) -> None:
        for n in range(3):
            self.add(10.0 + 0.01 * n, ONE)
        self.assertIsNone(self.verdict(now=10.5))
        self.assertEqual(ONE, self.verdict(now=10.7))

    def test_server_that_goes_on_refutes(self) -> None:
        for n in range(3):
            self.add(10.0 + n, ONE)
        self.evidence.refute(13.0, lambda c: c.server_id == "e2")
        self.assertIsNone(self.verdict())


class CrashesInTheFuture(_Evidence):
    """The time of day of a host was wrong as it saw a crash.

    Such a crash kept its request refused as suspected for good.
    """

    def is_recent_after(self, now: float) -> bool:
        self.evidence.expire(now)
        return self.evidence.is_recent(now)

    def test_one_that_a_peer_saw_is_left_out(self) -> None:
        ahead = Crash(
            server_id=ServerId("e0"),
            incarnation=1,
            domain=DOMAINS[0],
            at=1e9,
            inputs={ONE: 0},
        )
        self.evidence.record_crash(10.0, ahead)
        self.assertFalse(self.is_recent_after(10.0))

    def test_one_that_this_host_saw_is_dropped(self) -> None:
        self.add(1e9, ONE)
        self.assertFalse(self.is_recent_after(10.0))

    def test_small_difference_between_hosts_is_allowed(self) -> None:
        self.add(11.0, ONE)
        self.assertTrue(self.is_recent_after(10.0))


class RequestsInTheSameCrashes(_Evidence):
    def test_neither_is_condemned_before_a_fourth(self) -> None:
        for n in range(3):
            self.add(10.0 + n, ONE, OTHER)
        self.assertIsNone(self.verdict())
        self.add(14.0, OTHER)
        self.assertEqual(OTHER, self.verdict())

    def test_request_of_fewer_crashes_is_passed_over(self) -> None:
        for n in range(3):
            self.add(10.0 + n, ONE, OTHER)
        self.add(14.0, ONE)
        self.assertEqual(ONE, self.verdict())
        self.assertIsNone(self.verdict(ONE))


class RequestsAndTheirParts(_Evidence):
    """A request is suspected before the parts that others share."""

    def test_request_is_condemned_before_its_part(self) -> None:
        for n in range(3):
            self.add(10.0 + 2 * n, PART, ONE)
        self.assertEqual(ONE, self.verdict())
        self.assertIsNone(self.verdict(ONE))

    def test_two_losses_under_other_requests_condemn_the_part(self) -> None:
        for n in range(3):
            self.add(10.0 + 2 * n, PART, ONE)
        self.add(16.0, PART, request_key(ACCOUNT, "x"))
        self.assertIsNone(self.verdict(ONE))
        self.add(18.0, PART, request_key(ACCOUNT, "y"))
        self.assertEqual(PART, self.verdict(ONE))

    def test_part_explains_its_crashes(self) -> None:
        for n in range(4):
            self.add(10.0 + 2 * n, PART, ONE)
        self.assertIsNone(self.verdict(PART))
        self.assertEqual([], self.evidence.crashes_under(ONE, {PART}))

    def test_part_explains_nothing_of_other_crashes(self) -> None:
        for n in range(3):
            self.add(10.0 + 2 * n, PART, ONE)
            self.add(11.0 + 2 * n, ONE)
        self.assertEqual(ONE, self.verdict(PART))


class VersionsOnTrial(_Evidence):
    """A bad version crashes under any request."""

    def add_on_trial(self, at: float, *keys: str) -> None:
        self.add(at, *keys, in_rollout=True)

    def test_they_condemn_a_request_if_they_crashed_under_it_only(
        self,
    ) -> None:
        for n in range(3):
            self.add_on_trial(10.0 + n, ONE)
        self.assertEqual(ONE, self.verdict())

    def test_they_condemn_nothing_if_they_crashed_under_others(self) -> None:
        for n in range(3):
            self.add_on_trial(10.0 + n, ONE)
        self.add_on_trial(14.0, OTHER)
        self.assertIsNone(self.verdict())

    def test_loss_of_the_version_before_is_enough(self) -> None:
        for n in range(3):
            self.add_on_trial(10.0 + n, ONE)
        self.add_on_trial(14.0, OTHER)
        self.add(15.0, ONE)
        self.assertEqual(ONE, self.verdict())


class SoundAnswersOfARequest(_Evidence):
    def crash(self) -> None:
        for n in range(3):
            self.add(10.0 + n, ONE)

    def test_answer_shortly_before_a_crash_clears(self) -> None:
        self.evidence.record_sound(11.6, [ONE])
        self.crash()
        self.assertEqual([], self.evidence.crashes_under(ONE, set()))
        self.assertIsNone(self.verdict())

    def test_answer_long_before_the_crashes_clears_nothing(self) -> None:
        self.evidence.record_sound(9.0, [ONE])
        self.crash()
        self.assertEqual(ONE, self.verdict())

    def test_answer_clears_a_part_for_longer(self) -> None:
        self.evidence.record_sound(9.0, [PART])
        for n in range(3):
            self.add(10.0 + 2 * n, PART)
        self.assertIsNone(self.verdict())

    def test_answer_that_was_recorded_before_the_crash_is_kept(self) -> None:
        self.evidence.record_sound(11.6, [ONE])
        self.crash()
        for n in range(2 * MAX_RECENT_REQUESTS):
            self.evidence.record_sound(12.5, [request_key(None, str(n))])
        self.assertEqual(11.6, self.evidence.sound_at(ONE))
        self.assertIsNone(self.verdict())


class MemoryOfSoundAnswers(testtools.TestCase):
    """Nearly every request has a key of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.sound = SoundAnswers()

    def record(self, key: str, *, suspected: bool = False) -> None:
        self.sound.record(1.0, [key], lambda _key: suspected)

    def test_requests_displace_no_part_and_no_suspect(self) -> None:
        self.record(PART)
        self.record(ONE, suspected=True)
        for n in range(100_000):
            self.record(f"request:{n}")
        self.assertEqual(1.0, self.sound.last_at(PART))
        self.assertEqual(1.0, self.sound.last_at(ONE))
        self.assertEqual(NEVER, self.sound.last_at("request:0"))
        self.assertEqual(MAX_RECENT_REQUESTS, len(self.sound._recent))

    def test_kept_times_are_bounded(self) -> None:
        for n in range(MAX_SOUND_INPUTS + 100):
            self.record(f"p{n}")
        self.assertEqual(MAX_SOUND_INPUTS, len(self.sound._kept))


class SuspectedRequests(testtools.TestCase):
    """A request that was in two crashes waits for the verdict."""

    def setUp(self) -> None:
        super().setUp()
        self.quarantine = Quarantine(lambda now: now)
        self.crashes = 0

    def crash(self, now: float, *keys: str) -> None:
        self.crashes += 1
        self.quarantine.record_break(
            now,
            inputs_of(f"r{self.crashes}", *keys),
            server(f"e{self.crashes}"),
            answered_for_s=0.0,
            in_rollout=False,
        )

    def reason(self, now: float, *keys: str) -> RefusalReason | None:
        refusal = self.quarantine.refusal_for(
            now, inputs_of("next", *keys), may_probe=False
        )
        return refusal.reason if refusal else None

    def test_one_crash_does_not_stop_it(self) -> None:
        self.crash(10.0, ONE)
        self.assertIsNone(self.reason(10.1, ONE))

    def test_it_is_refused_for_a_time_after_two(self) -> None:
        self.crash(10.0, ONE)
        self.crash(11.0, ONE)
        last = 11.0 + SUSPECT_PAUSE_S
        suspected = RefusalReason.SUSPECTED
        self.assertEqual(suspected, self.reason(11.1, ONE))
        self.assertEqual(suspected, self.reason(last - 0.1, ONE))
        self.assertIsNone(self.reason(last + 0.1, ONE))

    def test_others_are_not_refused(self) -> None:
        self.crash(10.0, PART, ONE)
        self.crash(11.0, PART, ONE)
        self.assertIsNone(self.reason(11.1, PART, OTHER))

    def test_sound_answer_ends_it(self) -> None:
        self.crash(10.0, ONE)
        self.crash(11.0, ONE)
        self.quarantine.record_sound(11.2, inputs_of("sound", ONE))
        self.assertIsNone(self.reason(11.3, ONE))

    def test_crashes_of_a_quarantined_part_do_not_count(self) -> None:
        self.quarantine.order(9.0, PART, held=True)
        self.crash(10.0, PART, ONE)
        self.crash(11.0, PART, ONE)
        self.assertIsNone(self.reason(11.1, ONE))


class BoundsAndForms(testtools.TestCase):
    """Entries and reports of parts and whole requests."""

    def setUp(self) -> None:
        super().setUp()
        self.quarantine = Quarantine(lambda now: now)

    def test_requests_are_dropped_before_parts(self) -> None:
        half = MAX_ENTRIES // 2
        for n in range(half):
            self.quarantine.order(float(n), f"p{n}", held=True)
        for n in range(MAX_ENTRIES):
            key = request_key(ACCOUNT, str(n))
            self.quarantine.order(100.0 + n, key, held=True)
        kinds = [kind_of(e.key) for e in self.quarantine.entries]
        self.assertEqual(half, kinds.count(InputKind.PART))
        self.assertEqual(MAX_ENTRIES - half, kinds.count(InputKind.REQUEST))

    def test_report_is_the_same_after_a_datagram(self) -> None:
        for n in range(3):
            self.quarantine.record_break(
                10.0 + n,
                inputs_of(f"r{n}", PART, ONE),
                server(f"e{n}"),
                answered_for_s=0.0,
                in_rollout=n == 0,
            )
        self.quarantine.record_sound(10.2, inputs_of("s", OTHER, ONE))
        self.quarantine.tick(14.0, lambda _server: NEVER)
        report = self.quarantine.report()
        self.assertIn(ONE, report.sound)
        self.assertEqual(report, decode_quarantine(encode_quarantine(report)))

    def test_form_before_whole_requests_is_read(self) -> None:
        raw = {
            "held": [["p0", 12_000, "held", "crashes", 12]],
            "crashes": [["e1", 3, "z0", 11.5, {"p0": 1}, False, False]],
            "sound": {"p0": 9.25},
        }
        entry = QuarantineEntry(
            key="p0",
            number=12_000,
            state=InputState.HELD,
            origin=QuarantineOrigin.CRASHES,
            seen_at=12.0,
        )
        report = decode_quarantine(raw)
        self.assertEqual((entry,), report.entries)
        self.assertEqual((entry,), decode_entries(raw["held"]))
        self.assertEqual({"p0": 1}, report.crashes[0].inputs)
        self.assertEqual({"p0": 9.25}, report.sound)
        self.quarantine.record_report(13.0, report)
        self.assertIsNotNone(
            self.quarantine.refusal_for(
                13.0, inputs_of("r", "p0"), may_probe=False
            )
        )


class CallersOfARequest(testtools.TestCase):
    """Whose request it is belongs to its key."""

    def setUp(self) -> None:
        super().setUp()
        self.node = serving_front()
        cfg = config()
        routes = (route("open", public=True), *cfg.routes)
        other = replace(cfg.accounts[0], account=AccountId("b"), keys=("kb",))
        self.node.handle(
            0.5,
            ConfigRead(
                cfg=replace(
                    cfg,
                    version=2,
                    routes=routes,
                    accounts=(*cfg.accounts, other),
                )
            ),
        )

    def hold(self, account: str | None, digest: str) -> None:
        key = request_key(AccountId(account) if account else None, digest)
        self.node.handle(1.0, QuarantineOrdered(key=key, held=True))

    def send(self, name: str, path: str, key: str) -> Action:
        return arrive(
            self.node, name, path, now=2.0, key=key, digest="d", parts=()
        )

    def assert_quarantined(self, action: Action) -> None:
        assert isinstance(action, LocalResponse), action
        self.assertEqual(RefusalReason.QUARANTINED, action.refusal.reason)

    def test_request_of_another_account_is_sent(self) -> None:
        self.hold("a", "d")
        self.assert_quarantined(self.send("r1", "/read/x", "k"))
        self.assertIsInstance(self.send("r2", "/read/x", "kb"), SendRequest)

    def test_public_request_has_no_account(self) -> None:
        self.hold(None, "d")
        self.assert_quarantined(self.send("r1", "/open/x", ""))
        self.assertIsInstance(self.send("r2", "/read/x", "k"), SendRequest)


class KnowledgeOfTheFleet(testtools.TestCase):
    """A host that did not see the crashes may not begin anew."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = CrashFleet(6, 6, 1, service=LEDGER)
        self.fleet.repeat(10.0, 60.0, self.send_sound)

    def send_sound(self) -> None:
        self.fleet.send_whole(self.fleet.sound_part())

    def poison(self) -> None:
        self.fleet.run(3.0)
        self.fleet.repeat(5.0, 7.0, lambda: self.fleet.send_whole(POISON))
        self.fleet.run(7.0)
        self.assertEqual({POISON_KEY}, self.fleet.held())

    def send_to(self, host: str) -> int:
        """Send the request to a host; return how often it got through."""
        before = len(self.fleet.reached)
        for _ in range(5):
            self.fleet.send_whole(POISON, host)
            self.fleet.run(self.fleet.now + 0.1)
        return len(self.fleet.reached) - before

    def test_host_that_started_again_learns_it_from_its_peers(self) -> None:
        self.poison()
        self.fleet.store_is_down = True
        self.fleet.start_host("h5", 2)
        self.fleet.run(self.fleet.now + 0.5)
        self.assertEqual(0, self.send_to("h5"))

    def test_all_hosts_started_again_read_it_from_the_store(self) -> None:
        self.poison()
        for name in list(self.fleet.nodes):
            self.fleet.start_host(name, 2)
        self.fleet.run(self.fleet.now + 0.2)
        self.assertEqual(0, self.send_to("h3"))

    def test_host_that_was_paused_or_cut_off_learns_it(self) -> None:
        self.fleet.paused.add("h4")
        self.fleet.cut_off.add("h5")
        self.poison()
        self.fleet.paused.clear()
        self.fleet.cut_off.clear()
        self.fleet.run(self.fleet.now + 2.5)
        self.assertEqual(0, self.send_to("h4") + self.send_to("h5"))

    def test_reports_stay_small(self) -> None:
        self.poison()
        self.assertLess(self.fleet.max_report_bytes, MAX_REPORT_BYTES)


class SoundRequestsAmongCrashes(testtools.TestCase):
    """Servers are lost in many ways, with the same requests in flight."""

    def test_none_is_quarantined_and_reports_stay_small(self) -> None:
        fleet = CrashFleet(6, 12, 1, service=LEDGER)
        fleet.repeat(30.0, 10.0, lambda: fleet.send_whole(fleet.sound_part()))
        fleet.run(2.0)
        fleet.disrupt(10.0)
        fleet.run(12.0)
        self.assertEqual(set(), fleet.ever_held())
        self.assertLess(fleet.max_report_bytes, MAX_REPORT_BYTES)
