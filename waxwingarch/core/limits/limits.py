"""Applies this host's share of each contract's limits to admission.

The entry hosts that the platform lists, and those that are reachable,
are entitled to even shares. A host lends what it does not need.
"""

from collections.abc import Iterable
from typing import Final

from waxwingarch.core.base import AccountId, Action, HostId
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import LoanReceived
from waxwingarch.core.cluster.messages import LoanAnswer, LoanAsk
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.account_shares import (
    AccountShares,
    Limits,
    LoanMessage,
    Resource,
    SendLoan,
)
from waxwingarch.core.limits.admission import Admission
from waxwingarch.core.limits.share_members import MembersRow
from waxwingarch.core.limits.shares import LoanGrant, LoanRequest

NEVER_EXPIRES: Final = float("inf")
DEMAND_WINDOW_S: Final = 1.0


class HostLimits:
    """Keeps the limits of admission at what this host may use now."""

    def __init__(self, cluster: Cluster, admission: Admission) -> None:
        own = cluster.own
        self._cluster = cluster
        self._admission = admission
        self._own = own.host_id
        self._incarnation = own.incarnation
        self._shares = AccountShares(own.host_id, own.incarnation)
        self._listed_hosts: frozenset[HostId] = frozenset()
        self._epoch = 0
        self._hosts: frozenset[HostId] = frozenset()
        self._arrivals: dict[AccountId, int] = {}
        self._demand_per_s: dict[AccountId, float] = {}
        self._window_ends_at = 0.0

    def set_contracts(self, contracts: Iterable[Contract]) -> None:
        """Apply contracts to the shares of this host."""
        self._shares.set_contracts(contracts)
        self.update_members()

    def set_listed_hosts(self, hosts: Iterable[HostId]) -> None:
        """Set the entry hosts that the platform lists."""
        self._listed_hosts = frozenset(hosts)
        self.update_members()

    def update_members(self) -> None:
        """Divide the limits over the hosts that are listed or reachable."""
        members = self._cluster.membership.members()
        reachable = {m.host_id for m in members if m.reachable}
        hosts = self._listed_hosts | reachable | {self._own}
        if hosts == self._hosts:
            return
        self._hosts = hosts
        self._epoch += 1
        # The ledgers look up this host with its incarnation, and the other
        # hosts as they are in the row: 0 stands for any of theirs.
        self._shares.set_members(
            MembersRow(
                epoch=self._epoch,
                members=tuple(
                    (host, self._incarnation if host == self._own else 0)
                    for host in sorted(hosts)
                ),
            )
        )

    def record_arrival(self, now: float, account: AccountId) -> None:
        """Count an arrived request and refresh the limits of its account."""
        self._arrivals[account] = self._arrivals.get(account, 0) + 1
        self.refresh(now, account)

    def current_limits(self, now: float, account: AccountId) -> Limits:
        """Return what this host may admit for an account now."""
        return self._shares.limits(now, account)

    def refresh(self, now: float, account: AccountId) -> None:
        """Update the limits of an account, as a loan may have expired."""
        limits = self.current_limits(now, account)
        self._admission.set_limit(
            now, account, limits.rate, limits.concurrency, NEVER_EXPIRES
        )

    def refresh_all(self, now: float) -> None:
        """Update the limits of all active accounts after a pause."""
        for account in self._demand_per_s:
            self.refresh(now, account)

    def tick(self, now: float) -> list[Action]:
        """Update needs and limits, and request loans for missing units."""
        self._close_window(now)
        for account in self._demand_per_s:
            in_progress = self._admission.running(account)
            in_progress += self._admission.waiting(account)
            self._shares.set_need(
                account, self._demand_per_s[account], in_progress
            )
            self.refresh(now, account)
        return self._send_all(self._shares.tick(now, ()))

    def handle_loan_message(
        self, now: float, event: LoanReceived
    ) -> list[Action]:
        """Handle a request for a loan, or the response to one."""
        message = _decode(event)
        return self._send_all(
            self._shares.handle_message(now, event.sender, message)
        )

    def _close_window(self, now: float) -> None:
        """Compute the demand of the last window, by account."""
        if now < self._window_ends_at:
            return
        self._window_ends_at = now + DEMAND_WINDOW_S
        active = {*self._demand_per_s, *self._arrivals}
        self._demand_per_s = {
            account: self._arrivals.get(account, 0) / DEMAND_WINDOW_S
            for account in sorted(active)
            if self._is_active(account)
        }
        self._arrivals = {}

    def _is_active(self, account: AccountId) -> bool:
        arrivals = self._arrivals.get(account, 0)
        demand = self._demand_per_s.get(account, 0)
        return bool(arrivals or demand or self._admission.running(account))

    def _send_all(self, loans: Iterable[SendLoan]) -> list[Action]:
        return [
            action
            for loan in loans
            for action in self._cluster.send_to(loan.to, _encode(loan.message))
        ]


def _encode(message: LoanMessage) -> LoanAsk | LoanAnswer:
    loan = message.body
    if isinstance(loan, LoanRequest):
        return LoanAsk(
            account=message.account,
            resource=message.resource.value,
            incarnation=loan.incarnation,
            loan_sequence=loan.seq,
            units=loan.units,
        )
    return LoanAnswer(
        account=message.account,
        resource=message.resource.value,
        incarnation=loan.incarnation,
        loan_sequence=loan.seq,
        units=loan.units,
        spare=loan.spare,
    )


def _decode(event: LoanReceived) -> LoanMessage:
    body = event.body
    loan: LoanRequest | LoanGrant
    if isinstance(body, LoanAsk):
        loan = LoanRequest(
            borrower=event.sender,
            incarnation=body.incarnation,
            seq=body.loan_sequence,
            units=body.units,
        )
    else:
        loan = LoanGrant(
            lender=event.sender,
            incarnation=body.incarnation,
            seq=body.loan_sequence,
            units=body.units,
            spare=body.spare,
        )
    return LoanMessage(
        account=body.account, resource=Resource(body.resource), body=loan
    )
