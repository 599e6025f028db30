"""Tests of the limits of a contract over several nodes."""

import testtools

from tests.core.bus import Bus, make_contract
from waxwingarch.core.events import CallerGone, RequestArrived
from waxwingarch.core.request import Refuse

RATE = 60.0
SETTLE_S = 3.0


class LimitsOverHosts(testtools.TestCase):
    """The rate limit of a contract, with demand on one host or on all."""

    def admitted(self, bus: Bus, hosts: list[str], duration_s: float) -> int:
        """Send 120 requests a second to each host; count the admitted ones."""
        admitted = 0
        for _ in range(int(duration_s * 40)):
            for name in hosts:
                for _ in range(3):
                    request = bus.request()
                    actions = bus.post(name, RequestArrived(request=request))
                    if any(isinstance(a, Refuse) for a in actions):
                        continue
                    admitted += 1
                    disconnect = CallerGone(request_id=request.request_id)
                    bus.post(name, disconnect)
            bus.run(0.025)
        return admitted

    def test_busy_host_borrows_and_all_stay_within_the_limit(self) -> None:
        bus = Bus(3, make_contract(rate=RATE, concurrency=1000))
        bus.run(SETTLE_S)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        alone = self.admitted(bus, ["h0"], 10.0)
        self.assertLessEqual(alone, RATE * 10 + 1)
        # At most 5 % of the limit is unused while requests are refused.
        self.assertGreaterEqual(alone, 0.95 * RATE * 10)
        bus.run(2 * SETTLE_S)
        everywhere = self.admitted(bus, ["h0", "h1", "h2"], 10.0)
        burst = bus.contract.burst
        self.assertLessEqual(everywhere, RATE * 10 + burst + 3)
        self.assertGreaterEqual(everywhere, 0.95 * RATE * 10)

    def test_isolated_host_is_limited_to_its_even_share(self) -> None:
        bus = Bus(3, make_contract(rate=RATE, concurrency=1000))
        bus.run(SETTLE_S)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        bus.is_link_cut = lambda source, target: "h0" in (source, target)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        alone = self.admitted(bus, ["h0"], 10.0)
        self.assertLessEqual(alone, RATE * 10 / 3 + 1)
        self.assertGreaterEqual(alone, 0.9 * RATE * 10 / 3)

    def test_paused_host_resumes_without_its_loans(self) -> None:
        bus = Bus(3, make_contract(rate=RATE, concurrency=1000))
        bus.run(SETTLE_S)
        self.admitted(bus, ["h0"], 2 * SETTLE_S)
        bus.paused.add("h0")
        bus.run(10.0)
        bus.paused.remove("h0")
        request = bus.request()
        bus.post("h0", RequestArrived(request=request))
        limit = bus.nodes["h0"].limits.current_limits(bus.now, request.account)
        self.assertLessEqual(limit.rate, RATE / 3 + 1)
