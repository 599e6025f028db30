"""Tests of whole requests under which every backend server crashes."""

import testtools

from tests.core.front.builders import LEDGER
from tests.core.front.crash_fleet import POISON, CrashFleet

# A host is in touch this long after a disruption of its own.
CONTACT_S = 3.0
CRASHES_TOLERATED = 3
MAX_SENT_AFTER = 3
RUN_S = 20.0
SENT_AGAIN = "/read/x"
AT_MOST_ONCE = "/pay/x"


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
