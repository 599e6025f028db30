"""Tests of the cheapest mix."""

from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from waxwingarch.core.base import FailureDomain
from waxwingarch.core.capacity.capacity_mix import (
    Candidate,
    cheapest_mix,
    surviving,
)


def host(
    domain: str, price: float, reclaimable: bool = True, capacity: float = 1.0
) -> Candidate:
    return Candidate(
        machine_class="one",
        failure_domain=FailureDomain(domain),
        reclaimable=reclaimable,
        capacity=capacity,
        price=price,
    )


HOSTS = st.builds(
    host,
    domain=st.sampled_from("abc"),
    price=st.integers(1, 9).map(float),
    reclaimable=st.booleans(),
    capacity=st.sampled_from((1.0, 2.0)),
)


class CheapestMixTest(TestCase):
    def test_spreads_cheap_hosts_over_domains(self) -> None:
        offers = [host(d, 1.0) for d in "abcd" for _ in range(6)]
        offers += [host("a", 3.0, reclaimable=False) for _ in range(6)]
        mix = cheapest_mix(6.0, offers)
        self.assertTrue(mix.enough)
        self.assertEqual(8.0, mix.price)
        self.assertEqual(6.0, surviving(mix.chosen))

    def test_single_domain_uses_no_reclaimable_hosts(self) -> None:
        offers = [host("a", 1.0)] * 6 + [host("a", 3.0, False)] * 2
        mix = cheapest_mix(2.0, offers)
        self.assertTrue(mix.enough)
        self.assertEqual([False, False], [c.reclaimable for c in mix.chosen])

    def test_insufficient_candidates_give_the_best_mix(self) -> None:
        mix = cheapest_mix(5.0, [host("a", 1.0), host("b", 1.0)])
        self.assertFalse(mix.enough)
        self.assertEqual(1.0, surviving(mix.chosen))
        self.assertEqual((), cheapest_mix(0.0, [host("a", 1.0)]).chosen)
        self.assertFalse(cheapest_mix(1.0, []).enough)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(HOSTS, max_size=9), st.integers(1, 5))
    def test_price_is_near_the_cheapest_subset(
        self, hosts: list[Candidate], demand: int
    ) -> None:
        mix = cheapest_mix(float(demand), hosts)
        prices = [
            sum(c.price for c in subset)
            for size in range(len(hosts) + 1)
            for subset in combinations(hosts, size)
            if surviving(subset) >= demand
        ]
        self.assertEqual(bool(prices), mix.enough)
        if prices:
            highest_price = max(c.price for c in hosts)
            self.assertLessEqual(mix.price, min(prices) + 2 * highest_price)
