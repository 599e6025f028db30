"""Tests of servers that fall over if they reject many requests."""

import testtools

from tests.core.front.simulated_fleet import SimulatedFleet

BRITTLE_AT_S = 3.0
# The users' rule: servers may let fewer requests wait from this time on.
CONTACT_S = 3.0
BRITTLE_S = 10.0
SERVERS = 4
SLOTS = 8
WORK_S = 0.4
# The servers may fall over more often than this only if the rule is broken.
MAX_FALLS = 2 + SERVERS / 10


def brittle_fleet(
    rejections: int, rate_per_s: float, hosts: int = 9
) -> SimulatedFleet:
    """Return a fleet whose servers were brittle for a time."""
    fleet = SimulatedFleet(
        hosts=hosts,
        servers=SERVERS,
        rate_per_s=rate_per_s,
        seed=1,
        work_s=WORK_S,
    )
    for simulated in fleet.simulated.values():
        simulated.room = 3 * SLOTS
    fleet.run(BRITTLE_AT_S)
    for simulated in fleet.simulated.values():
        simulated.brittle = rejections
    fleet.run(BRITTLE_AT_S + CONTACT_S)
    for simulated in fleet.simulated.values():
        simulated.room = 1
    fleet.run(BRITTLE_AT_S + CONTACT_S + BRITTLE_S)
    return fleet


class BrittleServers(testtools.TestCase):
    # Guards against rejections that are sent on to the next server, which
    # rejects and falls over as well.
    def test_do_not_fall_over_one_after_the_other(self) -> None:
        capacity_per_s = SERVERS * SLOTS / WORK_S
        for rejections in (0, 1, 5):
            for load in (0.7, 1.5, 3.0):
                fleet = brittle_fleet(rejections, load * capacity_per_s)
                falls = sum(len(s.fell_at) for s in fleet.simulated.values())
                self.assertLessEqual(falls, MAX_FALLS, (rejections, load))
