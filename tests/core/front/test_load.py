"""Loads of servers, added up over the hosts that report them."""

import testtools

from waxwingarch.core.backends.load import LoadTracker, ServerLoad
from waxwingarch.core.base import HostId, ServerId

S1 = ServerId("s1")
S2 = ServerId("s2")


def load(running: int) -> ServerLoad:
    """Return the load of so many equal requests."""
    return ServerLoad(
        running=running,
        prefill_tokens=100 * running,
        kv_tokens=1000 * running,
    )


class SumsOverHosts(testtools.TestCase):
    def test_a_report_replaces_the_one_before(self) -> None:
        book = LoadTracker()
        book.record_peer_loads(HostId("h1"), {S1: load(3), S2: load(1)})
        book.record_peer_loads(HostId("h2"), {S1: load(2)})
        self.assertEqual(load(5), book.total_load(S1))
        self.assertEqual(load(1), book.total_load(S2))
        book.record_peer_loads(HostId("h1"), {S2: load(4)})
        self.assertEqual(load(2), book.total_load(S1))
        self.assertEqual(load(4), book.total_load(S2))

    def test_a_host_not_heard_of_counts_for_nothing(self) -> None:
        book = LoadTracker()
        book.record_peer_loads(HostId("h1"), {S1: load(3)})
        book.forget_peer(HostId("h1"))
        book.forget_peer(HostId("h1"))
        self.assertEqual(ServerLoad(), book.total_load(S1))
