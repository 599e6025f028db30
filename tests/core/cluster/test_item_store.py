"""Tests of merge rules, item store, broadcast queue and digests."""

import random
from typing import Any

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingarch.core.base import HostId, ServerId
from waxwingarch.core.cluster.broadcast_queue import (
    BroadcastQueue,
    Urgency,
    send_limit,
)
from waxwingarch.core.cluster.digest import BucketDigest
from waxwingarch.core.cluster.item_store import (
    LEAVING_RETENTION_S,
    MAX_ITEMS,
    VOLATILE_TTL_S,
    ItemStore,
)
from waxwingarch.core.cluster.items import (
    CacheSummary,
    EvidenceCount,
    InputCrash,
    Item,
    LeavingServer,
    LoadSummary,
    QuarantinedInput,
    SettingsRevision,
    SoundInput,
    SpentShare,
    StopMark,
)
from waxwingarch.core.cluster.merge import ItemKind, item_key, merge
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineOrigin,
)

SMALL = st.integers(0, 3)
PROPERTY = settings(derandomize=True, deadline=None, max_examples=300)
S1 = ServerId("s1")

ITEMS = st.one_of(
    st.builds(SettingsRevision, revision=SMALL),
    st.builds(
        LeavingServer,
        server_id=st.just(S1),
        incarnation=SMALL,
        deadline_unix=st.integers(0, 3).map(float),
    ),
    st.builds(
        StopMark,
        service=st.just("pool"),
        version=st.just("v2"),
        move_id=st.sampled_from(["m1", "m2"]),
        reason=st.sampled_from(["slow", "fails"]),
    ),
    st.builds(
        SpentShare,
        account=st.sampled_from(["a", "b"]),
        host_id=st.sampled_from(["h1", "h2"]),
        incarnation=SMALL,
        requests=SMALL,
        wanted=SMALL.map(float),
        running=SMALL,
        sequence=SMALL,
    ),
    st.builds(
        LoadSummary,
        server_id=st.sampled_from(["s1", "s2"]),
        incarnation=SMALL,
        as_of_ms=SMALL,
        running=SMALL,
        waiting=SMALL,
        kv_used=SMALL,
        kv_total=SMALL,
    ),
    st.builds(
        CacheSummary,
        server_id=st.sampled_from(["s1", "s2"]),
        incarnation=SMALL,
        sequence=SMALL,
        blocks=st.lists(SMALL, max_size=2).map(tuple),
    ),
    st.builds(
        EvidenceCount,
        move_id=st.just("m1"),
        host_id=st.sampled_from(["h1", "h2"]),
        incarnation=SMALL,
        sequence=SMALL,
        closed=st.booleans(),
        version=st.sampled_from(["v1", "v2"]),
        route=st.just("/v1/"),
        band=st.sampled_from(["low", "high"]),
        requests=SMALL,
        failures=SMALL,
        timed=SMALL,
        slow=SMALL,
    ),
    st.builds(
        InputCrash,
        server_id=st.just(S1),
        incarnation=SMALL,
        domain=st.sampled_from(["d1", "d2"]),
        at=SMALL.map(float),
        key=st.sampled_from(["request:1", "request:2"]),
        refuted=st.booleans(),
        in_rollout=st.booleans(),
    ),
    st.builds(
        QuarantinedInput,
        key=st.sampled_from(["request:1", "request:2"]),
        number=SMALL,
        state=st.sampled_from(InputState),
        origin=st.sampled_from(QuarantineOrigin),
        seen_at=SMALL.map(float),
    ),
    st.builds(
        SoundInput,
        key=st.sampled_from(["request:1", "request:2"]),
        at=SMALL.map(float),
    ),
)


class Hosts:
    """Stand-in for the members: all hosts have the same incarnation."""

    def __init__(self, current: int = 0) -> None:
        self.current = current

    def is_current(self, host_id: HostId, incarnation: int) -> bool:
        return incarnation >= self.current


def load(server: str, as_of_ms: int = 0, incarnation: int = 1) -> LoadSummary:
    return LoadSummary(
        server_id=ServerId(server),
        incarnation=incarnation,
        as_of_ms=as_of_ms,
        running=1,
        waiting=0,
        kv_used=0,
        kv_total=1,
    )


def leaving(deadline_unix: float, incarnation: int = 1) -> LeavingServer:
    return LeavingServer(
        server_id=S1, incarnation=incarnation, deadline_unix=deadline_unix
    )


def share(incarnation: int, **changes: Any) -> SpentShare:
    values: dict[str, Any] = {
        "account": "a",
        "host_id": "h",
        "requests": 5,
        "wanted": 1.0,
        "running": 2,
    }
    return SpentShare(incarnation=incarnation, **(values | changes))


def make_store(hosts: Hosts | None = None) -> ItemStore:
    return ItemStore(hosts or Hosts(), BucketDigest())


def known(store: ItemStore) -> set[Item]:
    return {item for kind in ItemKind for item in store.items(kind)}


class TestMerge(testtools.TestCase):
    @PROPERTY
    @given(st.lists(ITEMS, max_size=12), st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(
        self, items: list[Item], rng: random.Random
    ) -> None:
        one, other = make_store(), make_store()
        shuffled = items + rng.sample(items, len(items) // 2)
        rng.shuffle(shuffled)
        # All other items go first: a leaving mark rejects load and cache that
        # come after it but does not remove those that came before.
        for store, sequence in ((one, items), (other, shuffled)):
            for item in sequence:
                if not isinstance(item, LoadSummary | CacheSummary):
                    store.accept(0.0, 0.0, item)
            for item in sequence:
                store.accept(0.0, 0.0, item)
        self.assertEqual(known(one), known(other))
        self.assertEqual(one._digest.sums(), other._digest.sums())

    @PROPERTY
    @given(ITEMS, ITEMS, ITEMS)
    def test_merge_is_idempotent_commutative_associative(
        self, a: Item, b: Item, c: Item
    ) -> None:
        self.assertEqual(a, merge(a, a))
        if item_key(a) != item_key(b) or item_key(b) != item_key(c):
            return
        self.assertEqual(merge(a, b), merge(b, a))
        self.assertEqual(merge(merge(a, b), c), merge(a, merge(b, c)))

    def test_a_later_lower_demand_wins(self) -> None:
        high, low = share(1, sequence=1), share(1, sequence=2, running=0)
        self.assertEqual(low, merge(high, low))


class TestItemStore(testtools.TestCase):
    def test_leaving_never_comes_back_and_keeps_first_deadline(self) -> None:
        store = make_store()
        store.accept(0.0, 0.0, leaving(50.0))
        self.assertFalse(store.accept(1.0, 1.0, leaving(90.0)))
        store.expire(9e3, 9e3)
        self.assertTrue(store.is_leaving(S1, 1))
        self.assertFalse(store.is_leaving(S1, 2))

    def test_expired_leaving_is_dropped_and_not_accepted(self) -> None:
        store = make_store()
        store.accept(0.0, 0.0, leaving(50.0))
        late = 51.0 + LEAVING_RETENTION_S
        self.assertEqual(1, len(store.expire(late, late)))
        self.assertFalse(store.accept(late, late, leaving(50.0)))

    def test_load_of_a_leaving_incarnation_is_rejected(self) -> None:
        store = make_store()
        store.accept(0.0, 0.0, leaving(50.0))
        self.assertFalse(store.accept(0.0, 0.0, load("s1")))
        self.assertTrue(store.accept(0.0, 0.0, load("s1", incarnation=2)))

    def test_load_expires_unless_renewed(self) -> None:
        store = make_store()
        store.accept(0.0, 0.0, load("s1"))
        store.accept(0.0, 0.0, load("s2"))
        store.accept(20.0, 0.0, load("s1", as_of_ms=9))
        expired = store.expire(VOLATILE_TTL_S + 1.0, 0.0)
        self.assertEqual(["s2"], [key.name for key in expired])

    def test_shares_of_a_dead_incarnation_are_dropped(self) -> None:
        hosts = Hosts(current=1)
        store = make_store(hosts)
        store.accept(0.0, 0.0, share(1))
        hosts.current = 2
        self.assertEqual(1, len(store.expire(1.0, 1.0)))
        self.assertFalse(store.accept(1.0, 1.0, share(1, sequence=9)))

    def test_store_is_bounded(self) -> None:
        store = make_store()
        for n in range(MAX_ITEMS[ItemKind.LOAD] + 10):
            store.accept(0.0, 0.0, load(f"s{n}"))
        self.assertEqual(MAX_ITEMS[ItemKind.LOAD], len(store))
        self.assertEqual(1, len(store.drop_server(ServerId("s50"))))


class TestBroadcastQueue(testtools.TestCase):
    def test_urgent_records_go_first_and_least_sent_ones_next(self) -> None:
        queue: BroadcastQueue[str] = BroadcastQueue()
        for n in range(4):
            queue.put(f"load{n}", Urgency.VOLATILE, 50)
        self.assertEqual(["load0", "load1"], queue.select(100, 9))
        queue.put("stop", Urgency.URGENT, 50)
        self.assertEqual(["stop", "load2"], queue.select(100, 9))
        self.assertEqual(
            ["stop"], queue.select(100, 9, least_urgent=Urgency.MEMBER)
        )

    def test_records_are_dropped_after_their_send_limit(self) -> None:
        queue: BroadcastQueue[str] = BroadcastQueue()
        queue.put("stop", Urgency.URGENT, 50)
        queue.put("load", Urgency.VOLATILE, 50)
        for _ in range(3):
            self.assertEqual(["stop", "load"], queue.select(100, 3))
        for _ in range(3):
            self.assertEqual(["stop"], queue.select(100, 3))
        self.assertEqual([], queue.select(100, 3))
        self.assertEqual(0, len(queue))

    def test_a_record_received_as_duplicate_is_sent_less(self) -> None:
        queue: BroadcastQueue[str] = BroadcastQueue()
        queue.put("load", Urgency.VOLATILE, 50)
        queue.put("stop", Urgency.URGENT, 50)
        for key in ("load", "stop", "none"):
            queue.record_duplicate(key, 2)
        self.assertEqual(["stop", "load"], queue.select(100, 2))
        for _ in range(3):
            self.assertEqual(["stop"], queue.select(100, 2))
        self.assertEqual([], queue.select(100, 2))

    def test_a_large_record_does_not_block_smaller_ones(self) -> None:
        queue: BroadcastQueue[str] = BroadcastQueue()
        queue.put("large", Urgency.URGENT, 500)
        queue.put("small", Urgency.VOLATILE, 50)
        self.assertEqual(["small"], queue.select(100, 3))

    def test_send_limit_grows_with_the_logarithm_of_hosts(self) -> None:
        self.assertLess(send_limit(9), send_limit(400))
        self.assertLess(send_limit(400), 15)


class TestBucketDigest(testtools.TestCase):
    def test_only_buckets_with_changed_keys_differ(self) -> None:
        one: BucketDigest[str] = BucketDigest()
        other: BucketDigest[str] = BucketDigest()
        for n in range(100):
            one.put(f"k{n}", n)
            other.put(f"k{99 - n}", 99 - n)
        self.assertEqual([], one.differing(other.sums()))
        other.discard("k7")
        other.put("k8", "changed")
        buckets = one.differing(other.sums())
        self.assertIn("k7", one.keys(buckets))
        self.assertIn("k8", other.keys(buckets))
        self.assertLess(len(buckets), 3)
