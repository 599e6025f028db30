"""Tests of requests under which every backend server crashes."""

import testtools

from tests.core.front.crash_fleet import POISON, CrashFleet

# A host is in touch this long after a disruption of its own.
CONTACT_S = 3.0
CRASHES_TOLERATED = 5
MAX_SENT_AFTER = 3
RUN_S = 30.0


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
