"""This host's shares of the limits of all client accounts.

The hosts of the contract node use these shares. The hosts on the platform
enforce their limits jointly in another way, see `shared_rate`.

Each account has one ledger for its rate and one for its concurrency.
`limits` has to be read right before each admission, as a loan may have
expired while the process was paused.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from math import ceil
from typing import Final

from waxwingarch.core.base import AccountId, Action, HostId
from waxwingarch.core.cluster.items import SpentShare
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.limits.share_members import Member, MembersRow
from waxwingarch.core.limits.shares import (
    RATE_UNITS,
    REQUEST_INTERVAL_S,
    LoanGrant,
    LoanRequest,
    ShareLedger,
    spare_units,
)

# The need for rate units is the measured demand times this factor.
DEMAND_HEADROOM_RATIO: Final = 1.1


class Resource(StrEnum):
    """The kind of limit that a ledger divides."""

    RATE = "rate"
    CONCURRENCY = "concurrency"


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanMessage:
    """A request for a loan, or the response, between two hosts."""

    account: AccountId
    resource: Resource
    body: LoanRequest | LoanGrant


@dataclass(frozen=True, kw_only=True, slots=True)
class SendLoan(Action):
    """Send a message to another host; it may be lost or duplicated."""

    to: HostId
    message: LoanMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """What this host may admit: requests a second, and concurrent ones."""

    rate: float
    concurrency: int


@dataclass(slots=True)
class _Account:
    contract: Contract
    ledgers: dict[Resource, ShareLedger]
    running: int = 0

    def limit(self, resource: Resource) -> int:
        """Return the limit of the contract in units of its ledger."""
        if resource is Resource.RATE:
            return RATE_UNITS
        return self.contract.concurrency

    def rate_units(self, rate: float) -> int:
        """Return a rate in requests a second as units, rounded up."""
        if self.contract.rate <= 0:
            return 0
        return min(RATE_UNITS, ceil(rate / self.contract.rate * RATE_UNITS))


class AccountShares:
    """The ledgers of one host, and its loan messages to other hosts."""

    def __init__(self, host: HostId, incarnation: int) -> None:
        self._own_member: Member = (host, incarnation)
        self._accounts: dict[AccountId, _Account] = {}
        self._row = MembersRow()
        self._known_epoch = 0
        self._next_request_at = 0.0

    def set_contracts(self, contracts: Iterable[Contract]) -> None:
        """Apply contracts; an account that remains keeps its ledgers."""
        previous, self._accounts = self._accounts, {}
        for contract in contracts:
            known = previous.get(contract.account)
            ledgers = known.ledgers if known else self._ledgers(contract)
            self._accounts[contract.account] = _Account(
                contract=contract,
                ledgers=ledgers,
                running=known.running if known else 0,
            )
        self._update_entitlements()

    def set_members(self, row: MembersRow) -> None:
        """Apply a newer row of members; an older one is ignored."""
        if row.epoch <= self._row.epoch:
            return
        self._row = row
        self._update_entitlements()

    def set_need(self, account: AccountId, rate: float, running: int) -> None:
        """Set what this host needs of an account's limits.

        `rate` is the demand in requests a second. `running` is the
        number of requests in progress and waiting.
        """
        state = self._accounts.get(account)
        if state is None:
            return
        state.running = running
        units = state.rate_units(rate * DEMAND_HEADROOM_RATIO)
        state.ledgers[Resource.RATE].need = units
        state.ledgers[Resource.CONCURRENCY].need = running

    def limits(self, now: float, account: AccountId) -> Limits:
        """Return what this host may admit for an account now."""
        state = self._accounts.get(account)
        if state is None:
            return Limits(rate=0.0, concurrency=0)
        units = state.ledgers[Resource.RATE].usable(now)
        return Limits(
            rate=state.contract.rate * units / RATE_UNITS,
            concurrency=state.ledgers[Resource.CONCURRENCY].usable(now),
        )

    def known_epoch(self, now: float) -> int:
        """Return the latest epoch that this host complies with."""
        if all(
            self._is_within_entitlement(now, state)
            for state in self._accounts.values()
        ):
            self._known_epoch = self._row.epoch
        return self._known_epoch

    def tick(self, now: float, spent: Iterable[SpentShare]) -> list[SendLoan]:
        """Request missing units from other hosts, and release unused loans.

        `spent` is the demand of the other hosts as known by gossip.
        """
        if now < self._next_request_at:
            return []
        self._next_request_at = now + REQUEST_INTERVAL_S
        by_account: dict[AccountId, list[SpentShare]] = {}
        for item in spent:
            by_account.setdefault(item.account, []).append(item)
        return [
            send
            for account, state in self._accounts.items()
            for resource in Resource
            for send in self._loan_requests(
                now, account, state, resource, by_account.get(account, [])
            )
        ]

    def handle_message(
        self, now: float, sender: HostId, message: LoanMessage
    ) -> list[SendLoan]:
        """Handle a message of another host; return the response, if any."""
        state = self._accounts.get(message.account)
        if state is None:
            return []
        ledger = state.ledgers[message.resource]
        if isinstance(message.body, LoanGrant):
            ledger.handle_grant(now, message.body)
            return []
        grant = ledger.handle_request(now, message.body)
        if grant is None:
            return []
        response = LoanMessage(
            account=message.account, resource=message.resource, body=grant
        )
        return [SendLoan(to=sender, message=response)]

    def _ledgers(self, contract: Contract) -> dict[Resource, ShareLedger]:
        host, incarnation = self._own_member
        return {
            resource: ShareLedger(
                host=host,
                incarnation=incarnation,
                drain_s=(
                    contract.whole_answer_s
                    if resource is Resource.CONCURRENCY
                    else 0.0
                ),
            )
            for resource in Resource
        }

    def _update_entitlements(self) -> None:
        for state in self._accounts.values():
            for resource, ledger in state.ledgers.items():
                limit = state.limit(resource)
                ledger.entitlement = self._row.entitlement(
                    limit, self._own_member
                )

    def _is_within_entitlement(self, now: float, state: _Account) -> bool:
        concurrency = state.ledgers[Resource.CONCURRENCY]
        rate = state.ledgers[Resource.RATE]
        return rate.is_within_entitlement(
            now, 0
        ) and concurrency.is_within_entitlement(now, state.running)

    def _loan_requests(
        self,
        now: float,
        account: AccountId,
        state: _Account,
        resource: Resource,
        spent: list[SpentShare],
    ) -> list[SendLoan]:
        ledger = state.ledgers[resource]
        if not ledger.has_borrowed and ledger.need <= ledger.usable(now):
            return []
        lenders = self._lenders(state, resource, spent)
        return [
            SendLoan(
                to=to,
                message=LoanMessage(
                    account=account, resource=resource, body=request
                ),
            )
            for to, request in ledger.request_loans(now, lenders)
        ]

    def _lenders(
        self, state: _Account, resource: Resource, spent: list[SpentShare]
    ) -> list[tuple[HostId, int]]:
        limit = state.limit(resource)
        entitled = {
            member[0]: self._row.entitlement(limit, member)
            for member in self._row.members
            if member != self._own_member
        }
        wanted = {
            item.host_id: (
                state.rate_units(item.wanted)
                if resource is Resource.RATE
                else item.running
            )
            for item in spent
        }
        return spare_units(entitled, wanted)
