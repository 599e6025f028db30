"""Tests of the datagram codec and of datagram authentication."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.cluster.test_spread import ITEMS
from waxwingarch.adapters.item_codec import (
    ITEM_FIELDS,
    MalformedMessageError,
)
from waxwingarch.adapters.peer_codec import (
    DatagramSeal,
    decode_datagram,
    encode_datagram,
)
from waxwingarch.core.base import HostId, ServerId
from waxwingarch.core.cluster.items import CacheSummary, Item, LoadSummary
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.cluster.messages import (
    Ack,
    Datagram,
    Gossip,
    IndirectProbe,
    LoanAnswer,
    LoanAsk,
    Probe,
    SyncRequest,
)
from waxwingarch.core.cluster.sizes import (
    HEADER_BYTES,
    SYNC_HEADER_BYTES,
    item_bytes,
    member_bytes,
)
from waxwingarch.protocol import peer_pb2 as pb

PROPERTY = settings(derandomize=True, deadline=None, max_examples=300)
NUMBER = st.integers(0, 2**64 - 1)
TEXT = st.text(max_size=40)

BODIES = st.one_of(
    st.builds(Probe, sequence=NUMBER, target=TEXT, incarnation=NUMBER),
    st.builds(Ack, sequence=NUMBER, host_id=TEXT, incarnation=NUMBER),
    st.builds(
        IndirectProbe,
        sequence=NUMBER,
        target=TEXT,
        incarnation=NUMBER,
        address=TEXT,
    ),
    st.builds(Gossip, relay=st.booleans()),
    st.builds(
        SyncRequest,
        sums=st.lists(st.integers(0, 2**32 - 1), max_size=64).map(tuple),
        reply=st.booleans(),
    ),
    st.builds(
        LoanAsk,
        account=TEXT,
        resource=st.sampled_from(["rate", "concurrency"]),
        incarnation=NUMBER,
        loan_sequence=NUMBER,
        units=NUMBER,
    ),
    st.builds(
        LoanAnswer,
        account=TEXT,
        resource=st.sampled_from(["rate", "concurrency"]),
        incarnation=NUMBER,
        loan_sequence=NUMBER,
        units=NUMBER,
        spare=NUMBER,
    ),
)
MEMBERS = st.builds(
    Member,
    host_id=st.text(min_size=1, max_size=200),
    incarnation=NUMBER,
    refutation=NUMBER,
    region=TEXT,
    failure_domain=TEXT,
    addresses=st.builds(Addresses, http=TEXT, peer_tcp=TEXT, peer_udp=TEXT),
    state=st.sampled_from(MemberState),
    draining=st.booleans(),
)
LARGE_ITEMS = st.one_of(
    ITEMS,
    st.builds(
        LoadSummary,
        server_id=TEXT,
        incarnation=NUMBER,
        as_of_ms=NUMBER,
        running=NUMBER,
        waiting=NUMBER,
        kv_used=NUMBER,
        kv_total=NUMBER,
    ),
    st.builds(
        CacheSummary,
        server_id=TEXT,
        incarnation=NUMBER,
        sequence=NUMBER,
        blocks=st.lists(st.integers(0, 2**32 - 1), max_size=200).map(tuple),
    ),
)


def make_datagram(
    body: object = None,
    members: tuple[Member, ...] = (),
    items: tuple[Item, ...] = (),
) -> Datagram:
    return Datagram(
        sender=HostId("h1"),
        incarnation=2**63,
        applied_revision=7,
        body=body or Gossip(relay=True),  # type: ignore[arg-type]
        members=members,
        items=items,
    )


class TestDatagramCodec(testtools.TestCase):
    @PROPERTY
    @given(
        BODIES,
        st.lists(MEMBERS, max_size=3).map(tuple),
        st.lists(LARGE_ITEMS, max_size=3).map(tuple),
    )
    def test_round_trip(
        self,
        body: object,
        members: tuple[Member, ...],
        items: tuple[Item, ...],
    ) -> None:
        datagram = make_datagram(body, members, items)
        self.assertEqual(datagram, decode_datagram(encode_datagram(datagram)))

    @PROPERTY
    @given(LARGE_ITEMS, MEMBERS)
    def test_computed_sizes_are_upper_bounds(
        self, item: Item, member: Member
    ) -> None:
        empty = len(encode_datagram(make_datagram()))
        with_item = len(encode_datagram(make_datagram(items=(item,))))
        with_member = len(encode_datagram(make_datagram(members=(member,))))
        self.assertLessEqual(with_item - empty, item_bytes(item))
        self.assertLessEqual(with_member - empty, member_bytes(member))

    def test_headers_are_within_their_size_limit(self) -> None:
        name = HostId("h" * 40)
        bodies = (
            IndirectProbe(
                sequence=2**32,
                target=name,
                incarnation=2**42,
                address="255.255.255.255:65535",
            ),
            SyncRequest(sums=(2**32 - 1,) * 64, reply=True),
        )
        for body, limit in zip(
            bodies, (HEADER_BYTES, SYNC_HEADER_BYTES), strict=True
        ):
            datagram = Datagram(
                sender=name,
                incarnation=2**42,
                applied_revision=2**40,
                body=body,
            )
            sealed = DatagramSeal([b"k"]).seal(encode_datagram(datagram))
            self.assertLessEqual(len(sealed), limit)

    def test_every_item_type_has_a_codec(self) -> None:
        self.assertEqual(set(Item.__args__), set(ITEM_FIELDS))

    @PROPERTY
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_malformed_message_only(
        self, data: bytes
    ) -> None:
        try:
            decode_datagram(data)
        except MalformedMessageError as exc:
            self.assertIn(
                "check" if "no peer" in str(exc) else "run", f"{exc}"
            )

    def test_unknown_state_and_missing_body_are_malformed(self) -> None:
        member = pb.Member(host_id="h", state=9)
        for raw in (
            pb.Datagram(sender="h"),
            pb.Datagram(gossip=pb.Gossip()),
            pb.Datagram(sender="h", gossip=pb.Gossip(), members=[member]),
        ):
            self.assertRaises(
                MalformedMessageError, decode_datagram, raw.SerializeToString()
            )

    def test_numbers_that_are_not_finite_are_malformed(self) -> None:
        leaving = pb.LeavingServer(server_id="s", deadline_unix=float("nan"))
        share = pb.SpentShare(account="a", wanted=float("inf"))
        for item in (pb.Item(leaving=leaving), pb.Item(share=share)):
            raw = pb.Datagram(sender="h", gossip=pb.Gossip(), items=[item])
            self.assertRaises(
                MalformedMessageError, decode_datagram, raw.SerializeToString()
            )

    def test_items_of_unknown_kind_are_skipped(self) -> None:
        raw = pb.Datagram(sender="h", gossip=pb.Gossip(), items=[pb.Item()])
        self.assertEqual((), decode_datagram(raw.SerializeToString()).items)


class TestDatagramSeal(testtools.TestCase):
    def test_wrong_or_missing_keys_are_rejected(self) -> None:
        seal = DatagramSeal([b"one"])
        for data in (b"", b"payload", DatagramSeal([b"two"]).seal(b"p")):
            self.assertRaises(MalformedMessageError, seal.open, data)

    def test_changed_payload_is_rejected(self) -> None:
        seal = DatagramSeal([b"one"])
        data = seal.seal(b"payload")
        self.assertEqual(b"payload", seal.open(data))
        self.assertRaises(MalformedMessageError, seal.open, data[:-1] + b"x")

    def test_keys_can_be_rotated_host_by_host(self) -> None:
        old, both = DatagramSeal([b"old"]), DatagramSeal([b"new", b"old"])
        self.assertEqual(b"p", both.open(old.seal(b"p")))
        self.assertEqual(b"p", DatagramSeal([b"new"]).open(both.seal(b"p")))

    def test_cache_summary_of_a_server_fits_one_datagram(self) -> None:
        cache = CacheSummary(
            server_id=ServerId("s" * 40),
            incarnation=2**42,
            sequence=2**32,
            blocks=tuple(range(200)),
        )
        self.assertLess(item_bytes(cache) + HEADER_BYTES, 1200)
