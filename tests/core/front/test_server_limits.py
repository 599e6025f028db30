"""Tests of servers that name the requests a second that they take."""

import testtools

from tests.core.front.limit_fleet import LimitFleet

RUN_S = 24.0
NAMED_AT_S = 3.0


class SumOverHosts(testtools.TestCase):
    # Guards against hosts that each send to a server as if it had named no
    # limit, or as if the limit were theirs alone.
    def test_server_gets_no_more_than_its_limit_from_all_hosts(self) -> None:
        for hosts, rate_per_s in ((9, 40.0), (60, 120.0), (1, 20.0)):
            for limit in (0.0, 0.5, 1.0, 4.0):
                fleet = LimitFleet(
                    hosts=hosts, servers=8, rate_per_s=rate_per_s, seed=hosts
                )
                fleet.run(NAMED_AT_S)
                fleet.limits = {"p0": limit, "p1": limit}
                fleet.run(NAMED_AT_S + RUN_S)
                for name in fleet.limits:
                    self.assertLessEqual(
                        fleet.excess(name, limit), 0, (hosts, limit, name)
                    )
