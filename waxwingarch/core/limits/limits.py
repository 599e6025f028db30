"""This host's part of each contract's limits, put in force here.

The entry hosts that the platform lists, and those that are reachable,
are entitled to even parts; what one does not need it lends to others.
"""

from collections.abc import Iterable
from typing import Final

from waxwingarch.core.base import AccountId, Action, HostId
from waxwingarch.core.cluster.cluster import Cluster
from waxwingarch.core.cluster.cluster_events import (
    LoanReceived,
)
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

NO_END: Final = float("inf")
DEMAND_WINDOW_S: Final = 1.0


class HostLimits:
    """Keeps the admission's limits at what this host may use now."""

    def __init__(self, cluster: Cluster, admission: Admission) -> None:
        own = cluster.own
        self._cluster = cluster
        self._admission = admission
        self._own = own.host_id
        self._incarnation = own.incarnation
        self._shares = AccountShares(own.host_id, own.incarnation)
        self._listed: frozenset[HostId] = frozenset()
        self._epoch = 0
        self._hosts: frozenset[HostId] = frozenset()
        self._arrivals: dict[AccountId, int] = {}
        self._wanted: dict[AccountId, float] = {}
        self._window_at = 0.0

    def set_contracts(self, contracts: Iterable[Contract]) -> None:
        """Put contracts in force."""
        self._shares.set_contracts(contracts)
        self.update_members()

    def set_listed_hosts(self, hosts: Iterable[HostId]) -> None:
        """Take the platform's list of entry hosts."""
        self._listed = frozenset(hosts)
        self.update_members()

    def update_members(self) -> None:
        """Divide anew: listed or reachable hosts changed."""
        members = self._cluster.membership.members()
        reachable = {m.host_id for m in members if m.reachable}
        hosts = self._listed | reachable | {self._own}
        if hosts == self._hosts:
            return
        self._hosts = hosts
        self._epoch += 1
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
        """Count a request, and bring its account's limit up to date."""
        self._arrivals[account] = self._arrivals.get(account, 0) + 1
        self.refresh(now, account)

    def current_limits(self, now: float, account: AccountId) -> Limits:
        """Return what this host may admit at this moment."""
        return self._shares.limits(now, account)

    def refresh(self, now: float, account: AccountId) -> None:
        """Bring an account's limit up to date: a loan may have lapsed."""
        limits = self.current_limits(now, account)
        self._admission.set_limit(
            now, account, limits.rate, limits.concurrency, NO_END
        )

    def refresh_all(self, now: float) -> None:
        """Bring all limits up to date: this process was paused."""
        for account in self._wanted:
            self.refresh(now, account)

    def tick(self, now: float) -> list[Action]:
        """Ask for loans where this host lacks units."""
        self._close_window(now)
        for account in self._wanted:
            busy = self._admission.running(account)
            busy += self._admission.waiting(account)
            self._shares.set_need(account, self._wanted[account], busy)
            self.refresh(now, account)
        return self._sends(self._shares.tick(now, ()))

    def handle_loan_message(
        self, now: float, event: LoanReceived
    ) -> list[Action]:
        """Take a request for a loan, or the answer to one."""
        message = _message(event)
        return self._sends(
            self._shares.handle_message(now, event.sender, message)
        )

    def _close_window(self, now: float) -> None:
        """Work out the demand of the last second, by account."""
        if now < self._window_at:
            return
        self._window_at = now + DEMAND_WINDOW_S
        active = {*self._wanted, *self._arrivals}
        self._wanted = {
            account: self._arrivals.get(account, 0) / DEMAND_WINDOW_S
            for account in sorted(active)
            if self._is_active(account)
        }
        self._arrivals = {}

    def _is_active(self, account: AccountId) -> bool:
        arrived = self._arrivals.get(account, 0)
        wanted = self._wanted.get(account, 0)
        return bool(arrived or wanted or self._admission.running(account))

    def _sends(self, loans: Iterable[SendLoan]) -> list[Action]:
        return [
            action
            for loan in loans
            for action in self._cluster.send_to(loan.to, _body(loan.message))
        ]


def _body(message: LoanMessage) -> LoanAsk | LoanAnswer:
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


def _message(event: LoanReceived) -> LoanMessage:
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
