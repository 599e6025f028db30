"""Tests of a contract's limits over several nodes."""

import testtools

from tests.core.bus import Bus, a_contract
from waxwingarch.core.events import CallerGone, RequestArrived
from waxwingarch.core.request import Refuse

RATE = 60.0
SETTLE_S = 3.0


class LimitsOverHosts(testtools.TestCase):
    """One contract's rate, with demand at one host or at all."""

    def admitted(self, bus: Bus, hosts: list[str], seconds: float) -> int:
        """Offer 120 requests a second at each host; count those taken."""
        taken = 0
        for _ in range(int(seconds * 40)):
            for name in hosts:
                for _ in range(3):
                    request = bus.request()
                    actions = bus.post(name, RequestArrived(request=request))
                    if any(isinstance(a, Refuse) for a in actions):
                        continue
                    taken += 1
                    gone = CallerGone(request_id=request.request_id)
                    bus.post(name, gone)
            bus.run(0.025)
        return taken

    def test_a_busy_host_borrows_and_all_keep_to_the_limit(self) -> None:
        bus = Bus(3, a_contract(rate=RATE, concurrency=1000))
        bus.run(SETTLE_S)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        alone = self.admitted(bus, ["h0"], 10.0)
        self.assertLessEqual(alone, RATE * 10 + 1)
        # At most 5 in 100 of the limit idle while someone is refused.
        self.assertGreaterEqual(alone, 0.95 * RATE * 10)
        bus.run(2 * SETTLE_S)
        everywhere = self.admitted(bus, ["h0", "h1", "h2"], 10.0)
        burst = bus.contract.burst
        self.assertLessEqual(everywhere, RATE * 10 + burst + 3)
        self.assertGreaterEqual(everywhere, 0.95 * RATE * 10)

    def test_a_host_cut_off_keeps_its_part_only(self) -> None:
        bus = Bus(3, a_contract(rate=RATE, concurrency=1000))
        bus.run(SETTLE_S)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        bus.cut = lambda source, target: "h0" in (source, target)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        alone = self.admitted(bus, ["h0"], 10.0)
        self.assertLessEqual(alone, RATE * 10 / 3 + 1)
        self.assertGreaterEqual(alone, 0.9 * RATE * 10 / 3)

    def test_a_paused_host_wakes_without_its_loans(self) -> None:
        bus = Bus(3, a_contract(rate=RATE, concurrency=1000))
        bus.run(SETTLE_S)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        bus.paused.add("h0")
        bus.run(10.0)
        bus.paused.remove("h0")
        request = bus.request()
        bus.post("h0", RequestArrived(request=request))
        limit = bus.nodes["h0"].limits.current_limits(bus.now, request.account)
        self.assertLessEqual(limit.rate, RATE / 3 + 1)
