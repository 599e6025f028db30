"""Tests of the own interface with requests that crash their servers."""

from collections.abc import Iterator
from itertools import islice
from random import Random
from unittest.mock import Mock

import testtools

from tests.core.bus import UNIX_OFFSET
from tests.core.crashing_bus import POISON, CrashingBus
from waxwingarch.core.base import (
    AttemptId,
    ExecutionStatus,
    RequestId,
    ServerId,
)
from waxwingarch.core.events import ServerLeaving
from waxwingarch.core.once.once_messages import DispatchLost
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineChanged,
)
from waxwingarch.core.refusal import RefusalReason
from waxwingarch.core.request import (
    AttemptEvent,
    AttemptLost,
    ChunkArrived,
    LossKind,
)
from waxwingarch.core.requests.active_request import ActiveRequest
from waxwingarch.core.requests.guarded import OnceReply
from waxwingarch.core.requests.stream import Attempt, StreamMachine

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


def quarantined(bus: CrashingBus) -> list[str]:
    """Return the names of the hosts that quarantined an input."""
    return [
        name
        for name, action in bus.actions
        if isinstance(action, QuarantineChanged)
        and action.entry.state is InputState.HELD
    ]


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
        """No host sees three crashes; only together they are proof."""
        bus = started_bus()
        bus.arrive("h0", POISON)
        bus.advance(2.0)
        self.assertEqual(2, len(bus.crashes))
        bus.arrive("h1", POISON)
        bus.advance(2.0)
        self.assertEqual(3, len(bus.crashes))
        self.assertEqual(set(bus.nodes), set(quarantined(bus)))
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

    def test_request_is_not_sent_to_a_third_server(self) -> None:
        bus = started_bus()
        first = bus.arrive("h0", POISON)
        bus.advance(1.0)
        refusal = bus.refused[first].refusal
        self.assertIs(RefusalReason.BACKEND_FAILED, refusal.reason)
        self.assertIs(ExecutionStatus.UNKNOWN, refusal.ran)
        self.assertEqual(2, len(bus.reached))

    def test_request_that_was_in_two_crashes_waits(self) -> None:
        bus = started_bus()
        bus.arrive("h0", POISON)
        bus.advance(0.9)
        again = bus.arrive("h0", POISON)
        refusal = bus.refused[again].refusal
        self.assertIs(RefusalReason.SUSPECTED, refusal.reason)
        self.assertIs(ExecutionStatus.NOT_RUN, refusal.ran)

    # The refusal said "not run" of an operation whose server had crashed.
    def test_operation_with_a_key_may_have_run_before(self) -> None:
        bus = started_bus()
        bus.arrive("h0", POISON)
        bus.advance(0.9)
        request = bus.request(body_digest=POISON, idempotency_key="k")
        guard = bus.nodes["h0"].crash_guard
        refuse = guard.refuse_arrival(bus.now, request)
        assert refuse is not None
        self.assertIs(ExecutionStatus.UNKNOWN, refuse.refusal.ran)


class LostServers(testtools.TestCase):
    """Servers are lost for reasons of their own."""

    def test_sound_requests_are_not_quarantined(self) -> None:
        bus = started_bus()
        rng = Random(1)
        sound = sound_traffic(bus)
        expected: list[RequestId] = []
        for step in range(600):
            expected.extend(islice(sound, 3))
            bus.advance(STEP_S)
            if step % 15 == 0:
                bus.crash(rng.choice(bus.live_servers()))
        bus.advance(10.0)
        self.assertGreater(len(bus.crashes), 35)
        self.assertEqual([], [r for r in expected if r in bus.refused])
        self.assertEqual(set(expected), set(bus.completed))
        self.assertEqual([], quarantined(bus))

    def test_leaving_servers_are_no_evidence(self) -> None:
        bus = started_bus()
        for n in range(SERVERS):
            notice = ServerLeaving(
                server_id=ServerId(f"s{n}"),
                incarnation=1,
                deadline_unix=UNIX_OFFSET + bus.now + 60.0,
            )
            if n != SERVERS - 1:
                bus.post("h0", notice)
        bus.advance(2.0)
        guard = bus.nodes["h0"].crash_guard
        request = bus.request(body_digest="d")
        entry = ActiveRequest(
            machine=StreamMachine(bus.now, request),
            inputs=guard.inputs_of(request),
        )
        for n in range(4):
            server = bus.nodes["h0"].servers.get(ServerId(f"s{n}"))
            assert server is not None
            entry.machine.attempt = Attempt(
                attempt_id=AttemptId(f"a{n}"), server=server, stream_id="s"
            )
            cut = AttemptLost(
                request_id=request.request_id,
                attempt_id=AttemptId(f"a{n}"),
                kind=LossKind.CUT,
            )
            guard.record_event(bus.now, entry, cut)
            bus.advance(1.0)
        self.assertIsNone(guard.refuse_arrival(bus.now, request))

    def test_breaks_of_requests_that_run_once_are_evidence(self) -> None:
        bus = started_bus()
        guard = bus.nodes["h0"].crash_guard
        request = bus.request(body_digest="d", non_idempotent=True)
        machine = Mock()
        entry = ActiveRequest(machine=machine, inputs=guard.inputs_of(request))
        for n in range(3):
            server = bus.nodes["h0"].servers.get(ServerId(f"s{n}"))
            machine.attempt.server = server
            reply = OnceReply(
                request_id=request.request_id,
                reply=DispatchLost(),
                is_cut=True,
            )
            guard.record_once_reply(bus.now, entry, reply)
            bus.advance(1.0)
        for name in bus.nodes:
            refuse = bus.nodes[name].crash_guard.refuse_arrival(
                bus.now, request
            )
            assert refuse is not None
            self.assertIs(RefusalReason.QUARANTINED, refuse.refusal.reason)

    def test_server_that_goes_on_has_not_crashed(self) -> None:
        """Responses break, but the servers answer other requests."""
        bus = started_bus()
        guard = bus.nodes["h0"].crash_guard
        request = bus.request(body_digest="d")
        other = bus.request(body_digest="e")
        for n in range(4):
            server = bus.nodes["h0"].servers.get(ServerId(f"s{n}"))
            assert server is not None
            for asked, kind in ((request, LossKind.CUT), (other, None)):
                machine = StreamMachine(bus.now, asked)
                machine.attempt = Attempt(
                    attempt_id=AttemptId("a"), server=server, stream_id="s"
                )
                entry = ActiveRequest(
                    machine=machine, inputs=guard.inputs_of(asked)
                )
                ids = {
                    "request_id": asked.request_id,
                    "attempt_id": AttemptId("a"),
                }
                event: AttemptEvent = ChunkArrived(
                    offset=0, tokens=("a",), **ids
                )
                if kind is not None:
                    event = AttemptLost(kind=kind, **ids)
                guard.record_event(bus.now, entry, event)
                bus.advance(0.2)
            bus.advance(1.0)
        for name in bus.nodes:
            refuse = bus.nodes[name].crash_guard.refuse_arrival(
                bus.now, request
            )
            self.assertIsNone(refuse, name)
