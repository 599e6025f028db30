"""Tests of a host's shares of the limits of all accounts."""

import testtools

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.cluster.items import SpentShare
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.account_shares import AccountShares, Limits
from waxwingarch.core.limits.share_members import MembersRow
from waxwingarch.core.limits.shares import LOAN_TERM_S, REQUEST_INTERVAL_S

ACCOUNT = AccountId("acc")
CONTRACT = Contract(
    account=ACCOUNT,
    key_digest="",
    first_token_s=1.0,
    between_tokens_s=0.1,
    whole_answer_s=30.0,
    priority=0,
    rate=90.0,
    burst=10,
    concurrency=9,
    share=0.5,
    cost_weight=1.0,
    routes=(),
)
MEMBERS = tuple((HostId(name), 1) for name in "abc")


class Shares(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hosts = {
            host: AccountShares(host, incarnation)
            for host, incarnation in (*MEMBERS, (HostId("d"), 1))
        }
        for shares in self.hosts.values():
            shares.set_contracts([CONTRACT])
            shares.set_members(MembersRow(epoch=1, members=MEMBERS))

    def _exchange_messages(self, now: float) -> None:
        """Tick every host and deliver all messages without delay."""
        queue = [
            (host, send)
            for host, shares in self.hosts.items()
            for send in shares.tick(now, [])
        ]
        while queue:
            sender, send = queue.pop(0)
            responses = self.hosts[send.to].handle_message(
                now, sender, send.message
            )
            queue += [(send.to, response) for response in responses]

    def _limits(self, name: str, now: float) -> Limits:
        return self.hosts[HostId(name)].limits(now, ACCOUNT)

    def test_members_start_with_even_shares(self) -> None:
        limits = self._limits("a", 0.0)
        self.assertAlmostEqual(30.0, limits.rate, delta=0.01)
        self.assertEqual(3, limits.concurrency)
        self.assertEqual(
            Limits(rate=0.0, concurrency=0), self._limits("d", 0.0)
        )

    def test_borrows_missing_units_and_falls_back_when_loans_expire(
        self,
    ) -> None:
        self.hosts[HostId("a")].set_need(ACCOUNT, 90.0, 9)
        self._exchange_messages(0.0)
        self.assertEqual(
            Limits(rate=90.0, concurrency=9), self._limits("a", 1.0)
        )
        self.assertEqual(0.0, self._limits("b", 1.0).rate)
        after = self._limits("a", LOAN_TERM_S)
        self.assertEqual(3, after.concurrency)

    def test_returns_units_that_it_no_longer_needs(self) -> None:
        self.hosts[HostId("a")].set_need(ACCOUNT, 90.0, 9)
        self._exchange_messages(0.0)
        self.hosts[HostId("a")].set_need(ACCOUNT, 1.0, 0)
        self._exchange_messages(REQUEST_INTERVAL_S)
        self.assertAlmostEqual(30.0, self._limits("b", 1.0).rate, delta=0.01)

    def test_host_that_is_no_member_yet_borrows(self) -> None:
        self.hosts[HostId("d")].set_need(ACCOUNT, 9.0, 1)
        self._exchange_messages(0.0)
        self.assertTrue(self._limits("d", 0.1).rate >= 9.0)

    def test_confirms_a_smaller_entitlement_once_it_complies(self) -> None:
        first = self.hosts[HostId("a")]
        self.assertEqual(1, first.known_epoch(0.0))
        first.set_need(ACCOUNT, 1.0, 3)
        pending = (*MEMBERS, (HostId("d"), 1))
        row = MembersRow(epoch=2, members=MEMBERS, pending=pending)
        first.set_members(row)
        self.assertTrue(self._limits("a", 0.0).rate < 23.0)
        first.set_need(ACCOUNT, 1.0, 4)
        self.assertEqual(1, first.known_epoch(0.0))
        first.set_need(ACCOUNT, 1.0, 2)
        self.assertEqual(2, first.known_epoch(0.0))

    def test_requests_no_loan_without_need(self) -> None:
        spent = SpentShare(
            account=ACCOUNT,
            host_id=HostId("b"),
            incarnation=1,
            requests=0,
            wanted=0.0,
            running=0,
        )
        first = self.hosts[HostId("a")]
        first.set_need(ACCOUNT, 10.0, 1)
        self.assertEqual([], first.tick(0.0, [spent]))
