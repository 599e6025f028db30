"""Tests of one host's shares of all accounts' limits."""

import testtools

from waxwingarch.core.base import AccountId, HostId
from waxwingarch.core.cluster.items import SpentShare
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.account_shares import AccountShares, Limits
from waxwingarch.core.limits.share_members import MembersRow
from waxwingarch.core.limits.shares import ASK_INTERVAL_S, LOAN_TERM_S

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

    def _exchange(self, now: float) -> None:
        """Let every host ask and carry all messages at once."""
        queue = [
            (host, send)
            for host, shares in self.hosts.items()
            for send in shares.tick(now, [])
        ]
        while queue:
            sender, send = queue.pop(0)
            answers = self.hosts[send.to].handle_message(
                now, sender, send.message
            )
            queue += [(send.to, answer) for answer in answers]

    def _limits(self, name: str, now: float) -> Limits:
        return self.hosts[HostId(name)].limits(now, ACCOUNT)

    def test_an_even_part_each_to_begin_with(self) -> None:
        limits = self._limits("a", 0.0)
        self.assertAlmostEqual(30.0, limits.rate, delta=0.01)
        self.assertEqual(3, limits.concurrency)
        self.assertEqual(
            Limits(rate=0.0, concurrency=0), self._limits("d", 0.0)
        )

    def test_borrows_what_it_lacks_and_falls_back(self) -> None:
        self.hosts[HostId("a")].set_need(ACCOUNT, 90.0, 9)
        self._exchange(0.0)
        self.assertEqual(
            Limits(rate=90.0, concurrency=9), self._limits("a", 1.0)
        )
        self.assertEqual(0.0, self._limits("b", 1.0).rate)
        after = self._limits("a", LOAN_TERM_S)
        self.assertEqual(3, after.concurrency)

    def test_returns_what_it_no_longer_lacks(self) -> None:
        self.hosts[HostId("a")].set_need(ACCOUNT, 90.0, 9)
        self._exchange(0.0)
        self.hosts[HostId("a")].set_need(ACCOUNT, 1.0, 0)
        self._exchange(ASK_INTERVAL_S)
        self.assertAlmostEqual(30.0, self._limits("b", 1.0).rate, delta=0.01)

    def test_a_new_host_lives_on_loans(self) -> None:
        self.hosts[HostId("d")].set_need(ACCOUNT, 9.0, 1)
        self._exchange(0.0)
        self.assertTrue(self._limits("d", 0.1).rate >= 9.0)

    def test_keeps_to_a_smaller_part_before_it_says_so(self) -> None:
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

    def test_asks_no_one_without_need(self) -> None:
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
