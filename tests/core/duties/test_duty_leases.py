"""Tests of the lease machines of a host among others."""

import testtools

from tests.core.bus import Bus, make_contract
from waxwingarch.core.duties.duty_leases import LeaseCall, LeaseReply
from waxwingarch.core.duties.lease import LeaseRead, LeaseRow, ReadLease
from waxwingarch.core.moves.move_duty import MOVES_DUTY

HOSTS = 9
LATER_S = 60.0


class Contenders(testtools.TestCase):
    def readers(self, bus: Bus, seconds: float) -> set[str]:
        """Answer all reads with a row of another holder for a while."""
        bus.actions.clear()
        seen: set[str] = set()
        version = 0
        for _ in range(int(seconds * 10)):
            bus.run(0.1)
            version += 1
            calls, bus.actions = bus.actions, []
            for name, action in calls:
                if not isinstance(action, LeaseCall):
                    continue
                self.assertIsInstance(action.call, ReadLease)
                seen.add(name)
                row = LeaseRow(holder="other", incarnation=1, fencing=1)
                read = LeaseRead(row=row, version=version)
                reply = LeaseReply(duty=MOVES_DUTY, reply=read)
                bus.post(name, reply)
        return seen

    def test_few_hosts_go_on_reading_the_row(self) -> None:
        """Each host was alone, and thus a candidate, as it started."""
        bus = Bus(HOSTS, make_contract())
        started = self.readers(bus, LATER_S)
        self.assertGreater(len(started), 3)
        self.assertLessEqual(len(self.readers(bus, LATER_S)), 3)
