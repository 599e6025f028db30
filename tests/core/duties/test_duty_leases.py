"""Tests of the duty leases of many hosts."""

import testtools

from tests.core.bus import Bus, make_contract
from waxwingarch.core.duties.duty_leases import LeaseCall, LeaseReply
from waxwingarch.core.duties.lease import LeaseRead, LeaseRow, ReadLease
from waxwingarch.core.moves.move_duty import MOVES_DUTY

HOSTS = 9
OBSERVED_S = 60.0


class LeaseCandidates(testtools.TestCase):
    def readers(self, bus: Bus, seconds: float) -> set[str]:
        """Return the hosts that read the row in this time.

        Each read is answered with a row of another holder.
        """
        bus.actions.clear()
        readers: set[str] = set()
        version = 0
        for _ in range(int(seconds * 10)):
            bus.run(0.1)
            version += 1
            calls, bus.actions = bus.actions, []
            for name, action in calls:
                if not isinstance(action, LeaseCall):
                    continue
                self.assertIsInstance(action.call, ReadLease)
                readers.add(name)
                row = LeaseRow(holder="other", incarnation=1, fencing=1)
                read = LeaseRead(row=row, version=version)
                reply = LeaseReply(duty=MOVES_DUTY, reply=read)
                bus.post(name, reply)
        return readers

    def test_only_candidates_keep_reading_the_row(self) -> None:
        """A host that starts is alone, and thus a candidate, at first."""
        bus = Bus(HOSTS, make_contract())
        at_start = self.readers(bus, OBSERVED_S)
        self.assertGreater(len(at_start), 3)
        self.assertLessEqual(len(self.readers(bus, OBSERVED_S)), 3)
