"""Tests of server loads that are summed over the reporting hosts."""

import testtools

from waxwingarch.core.backends.load import LoadTracker, ServerLoad
from waxwingarch.core.base import HostId, ServerId

S1 = ServerId("s1")
S2 = ServerId("s2")


def load(running: int) -> ServerLoad:
    """Return the load of this many equal requests."""
    return ServerLoad(
        running=running,
        prefill_tokens=100 * running,
        kv_tokens=1000 * running,
    )


class PeerLoadSums(testtools.TestCase):
    def test_report_replaces_the_previous_one_of_its_host(self) -> None:
        tracker = LoadTracker()
        tracker.record_peer_loads(HostId("h1"), {S1: load(3), S2: load(1)})
        tracker.record_peer_loads(HostId("h2"), {S1: load(2)})
        self.assertEqual(load(5), tracker.total_load(S1))
        self.assertEqual(load(1), tracker.total_load(S2))
        tracker.record_peer_loads(HostId("h1"), {S2: load(4)})
        self.assertEqual(load(2), tracker.total_load(S1))
        self.assertEqual(load(4), tracker.total_load(S2))

    def test_forgotten_host_does_not_count(self) -> None:
        tracker = LoadTracker()
        tracker.record_peer_loads(HostId("h1"), {S1: load(3)})
        tracker.forget_peer(HostId("h1"))
        tracker.forget_peer(HostId("h1"))
        self.assertEqual(ServerLoad(), tracker.total_load(S1))
