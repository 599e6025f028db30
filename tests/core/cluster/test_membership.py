"""Tests of one host's view of its peers."""

import random

import testtools

from tests.core.clusters import SimulatedCluster, make_member
from waxwingarch.core.base import HostId
from waxwingarch.core.cluster.members import Member, MemberState
from waxwingarch.core.cluster.membership import (
    DEAD_RETENTION_S,
    Membership,
    suspicion_s,
)
from waxwingarch.core.cluster.messages import (
    Ack,
    IndirectProbe,
    Outgoing,
    Probe,
)

PEER = make_member("h1")


def make_membership(*peers: Member) -> Membership:
    membership = Membership(make_member("h0"), (), random.Random(1))
    for peer in peers:
        membership.merge(0.0, peer)
    return membership


def run(
    membership: Membership, start_s: float, end_s: float
) -> list[Outgoing]:
    """Tick ten times a second; return all messages sent."""
    out: list[Outgoing] = []
    for tenth in range(round(start_s * 10), round(end_s * 10)):
        out.extend(membership.tick(tenth / 10))
    return out


def state(membership: Membership, host_id: str = "h1") -> MemberState | None:
    member = membership.member(HostId(host_id))
    return member.state if member else None


class TestMembership(testtools.TestCase):
    def test_silence_leads_to_suspicion_and_then_death(self) -> None:
        membership = make_membership(PEER)
        run(membership, 0.0, 1.2)
        self.assertEqual(MemberState.SUSPECT, state(membership))
        run(membership, 1.2, 1.5 + suspicion_s(2))
        self.assertEqual(MemberState.DEAD, state(membership))
        self.assertFalse(membership.is_current(PEER.host_id, 1))

    def test_an_ack_of_another_process_does_not_count(self) -> None:
        for host_id, incarnation in (("h9", 1), ("h1", 2)):
            membership = make_membership(PEER)
            probe = membership.tick(0.0)[0].body
            assert isinstance(probe, Probe)
            answer = Ack(
                sequence=probe.sequence,
                host_id=HostId(host_id),
                incarnation=incarnation,
            )
            membership.on_ack(answer)
            run(membership, 0.1, 1.2)
            self.assertEqual(MemberState.SUSPECT, state(membership))

    def test_an_ack_of_the_target_counts(self) -> None:
        membership = make_membership(PEER)
        probe = membership.tick(0.0)[0].body
        assert isinstance(probe, Probe)
        membership.on_ack(
            Ack(sequence=probe.sequence, host_id=PEER.host_id, incarnation=1)
        )
        run(membership, 0.1, 1.2)
        self.assertEqual(MemberState.ALIVE, state(membership))

    def test_a_host_suspects_nobody_after_its_own_pause(self) -> None:
        membership = make_membership(PEER)
        membership.tick(0.0)
        membership.tick(30.0)
        self.assertEqual(MemberState.ALIVE, state(membership))

    def test_a_suspect_gets_its_time_after_an_observer_pause(self) -> None:
        membership = make_membership(PEER)
        run(membership, 0.0, 1.2)
        membership.tick(30.0)
        self.assertEqual(MemberState.SUSPECT, state(membership))

    def test_dead_hosts_are_probed_at_a_bounded_rate(self) -> None:
        peers = [make_member(f"h{n}") for n in range(1, 21)]
        membership = make_membership(PEER)
        for peer in peers:
            membership.merge(0.0, peer)
            membership._set_state(0.0, peer.host_id, MemberState.DEAD)
        alive = make_member("h50")
        membership.merge(0.0, alive)
        sent: list[Outgoing] = []
        for tenth in range(600):
            for out in membership.tick(tenth / 10):
                assert isinstance(out.body, Probe)
                if out.target != alive.host_id:
                    sent.append(out)
                    continue
                answer = Ack(
                    sequence=out.body.sequence,
                    host_id=alive.host_id,
                    incarnation=1,
                )
                membership.on_ack(answer)
        # One each 5 s, with a quarter of jitter, for 60 s.
        self.assertGreater(len(sent), 8)
        self.assertLess(len(sent), 18)

    def test_dead_hosts_are_forgotten_after_retention(self) -> None:
        membership = make_membership(PEER)
        membership._set_state(0.0, PEER.host_id, MemberState.DEAD)
        membership.tick(1.0)
        membership.tick(2.0 + DEAD_RETENTION_S)
        self.assertIsNone(membership.member(PEER.host_id))
        self.assertEqual({}, membership._by_udp)

    def test_the_ack_of_an_indirect_probe_is_relayed(self) -> None:
        membership = make_membership(PEER)
        asked = IndirectProbe(
            sequence=77,
            target=PEER.host_id,
            incarnation=1,
            address=PEER.addresses.peer_udp,
        )
        (out,) = membership.on_indirect_probe(0.0, "asker:82", asked)
        assert isinstance(out.body, Probe)
        ack = Ack(
            sequence=out.body.sequence, host_id=PEER.host_id, incarnation=1
        )
        (relayed,) = membership.on_ack(ack)
        assert isinstance(relayed.body, Ack)
        self.assertEqual("asker:82", relayed.address)
        self.assertEqual(77, relayed.body.sequence)
        self.assertEqual([], membership.on_ack(ack))


class TestReconnect(testtools.TestCase):
    def test_regions_reconnect_without_seeds(self) -> None:
        cluster = SimulatedCluster()
        for n in range(12):
            own = make_member(f"h{n}", region=f"r{n % 2}")
            cluster.add(own)
        cluster.run_until(cluster.is_all_alive, 30.0)
        for host in cluster.hosts.values():
            host.membership._seeds = []
        cluster.is_link_cut = lambda a, b: a.region != b.region
        cluster.run(60.0)
        self.assertEqual(6, cluster.count_states("h1")["dead"])
        cluster.is_link_cut = lambda a, b: False
        cluster.run_until(cluster.is_all_alive, 60.0)
