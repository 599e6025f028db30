"""Tests of hosts that are partitioned from all backend servers."""

import testtools

from tests.core.front.simulated_fleet import SimulatedFleet

# The users' rule counts requests from this time after a partition began.
CONTACT_S = 3.0
PARTITIONED_AT_S = 3.0
PARTITIONED_S = 9.0
# Broken where the partitioned hosts serve their callers less than this
# times as often as the others, and more than `FAILED_EXTRA` and
# `FAILED_RATIO` of all requests fail there.
SERVED_RATIO = 2 / 3
FAILED_EXTRA = 10
FAILED_RATIO = 0.02


def is_rule_kept(fleet: SimulatedFleet, since: float, until: float) -> bool:
    """Return whether the callers of partitioned hosts are served as others."""
    sound = set(range(fleet.hosts)) - fleet.partitioned
    served, sent = fleet.served_at(fleet.partitioned, since, until)
    others_served, others_sent = fleet.served_at(sound, since, until)
    as_often = served / max(1, sent) >= SERVED_RATIO * others_served / max(
        1, others_sent
    )
    allowed = FAILED_EXTRA + FAILED_RATIO * (sent + others_sent)
    return as_often or sent - served <= allowed


class CallersOfPartitionedHosts(testtools.TestCase):
    # Guards against hosts that refuse what their peers could serve, as they
    # have no other way to a server than connections of their own.
    def test_are_served_as_often_as_others(self) -> None:
        for hosts in ({0, 1, 2, 3, 4}, {0, 4, 8}, {2}):
            for path in ("/read/x", "/pay/x"):
                for resets in (False, True):
                    fleet = SimulatedFleet(
                        hosts=9,
                        servers=4,
                        rate_per_s=40,
                        seed=1,
                        path=path,
                        resets=resets,
                    )
                    fleet.run(PARTITIONED_AT_S)
                    fleet.partitioned = set(hosts)
                    fleet.run(PARTITIONED_AT_S + PARTITIONED_S)
                    self.assertTrue(
                        is_rule_kept(
                            fleet, PARTITIONED_AT_S + CONTACT_S, fleet.now - 1
                        ),
                        (hosts, path, resets),
                    )
