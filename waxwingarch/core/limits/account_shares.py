"""This host's shares of the limits of all client accounts.

For each account one ledger divides the rate and one the concurrency.
`limits` is to be asked right before each admission: a loan may have
lapsed while the process was paused.
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
    ASK_INTERVAL_S,
    RATE_UNITS,
    LoanGrant,
    LoanRequest,
    ShareLedger,
    spare_units,
)

NEED_HEADROOM: Final = 1.1


class Resource(StrEnum):
    """What a ledger divides."""

    RATE = "rate"
    CONCURRENCY = "concurrency"


@dataclass(frozen=True, kw_only=True, slots=True)
class LoanMessage:
    """A request for a loan, or its answer, between two hosts."""

    account: AccountId
    resource: Resource
    body: LoanRequest | LoanGrant


@dataclass(frozen=True, kw_only=True, slots=True)
class SendLoan(Action):
    """Send a message to another host; it may be lost or repeated."""

    to: HostId
    message: LoanMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """What this host may admit: requests a second, and at once."""

    rate: float
    concurrency: int


@dataclass(slots=True)
class _Account:
    contract: Contract
    ledgers: dict[Resource, ShareLedger]
    running: int = 0

    def limit(self, resource: Resource) -> int:
        """Return the whole contract's limit in the ledger's units."""
        if resource is Resource.RATE:
            return RATE_UNITS
        return self.contract.concurrency

    def rate_units(self, rate: float) -> int:
        """Return a rate in units, rounded up."""
        if self.contract.rate <= 0:
            return 0
        return min(RATE_UNITS, ceil(rate / self.contract.rate * RATE_UNITS))


class AccountShares:
    """The ledgers of one host and the messages between hosts."""

    def __init__(self, host: HostId, incarnation: int) -> None:
        self._own: Member = (host, incarnation)
        self._accounts: dict[AccountId, _Account] = {}
        self._row = MembersRow()
        self._known_epoch = 0
        self._ask_at = 0.0

    def set_contracts(self, contracts: Iterable[Contract]) -> None:
        """Put contracts in force."""
        before, self._accounts = self._accounts, {}
        for contract in contracts:
            known = before.get(contract.account)
            ledgers = known.ledgers if known else self._ledgers(contract)
            self._accounts[contract.account] = _Account(
                contract=contract,
                ledgers=ledgers,
                running=known.running if known else 0,
            )
        self._entitle()

    def set_members(self, row: MembersRow) -> None:
        """Go by a newer row of members; an older one is ignored."""
        if row.epoch <= self._row.epoch:
            return
        self._row = row
        self._entitle()

    def set_need(self, account: AccountId, rate: float, running: int) -> None:
        """Say what is wanted here.

        `rate` is the demand in requests a second; `running` counts the
        requests in progress and those that wait.
        """
        state = self._accounts.get(account)
        if state is None:
            return
        state.running = running
        units = state.rate_units(rate * NEED_HEADROOM)
        state.ledgers[Resource.RATE].need = units
        state.ledgers[Resource.CONCURRENCY].need = running

    def limits(self, now: float, account: AccountId) -> Limits:
        """Return what this host may admit now."""
        state = self._accounts.get(account)
        if state is None:
            return Limits(rate=0.0, concurrency=0)
        units = state.ledgers[Resource.RATE].usable(now)
        return Limits(
            rate=state.contract.rate * units / RATE_UNITS,
            concurrency=state.ledgers[Resource.CONCURRENCY].usable(now),
        )

    def known_epoch(self, now: float) -> int:
        """Return the epoch of members that this host keeps to by now."""
        if all(self._fits(now, state) for state in self._accounts.values()):
            self._known_epoch = self._row.epoch
        return self._known_epoch

    def tick(self, now: float, spent: Iterable[SpentShare]) -> list[SendLoan]:
        """Ask other hosts for what is lacking, and return the rest.

        `spent` is what is known by gossip of the other hosts' demand.
        """
        if now < self._ask_at:
            return []
        self._ask_at = now + ASK_INTERVAL_S
        by_account: dict[AccountId, list[SpentShare]] = {}
        for item in spent:
            by_account.setdefault(item.account, []).append(item)
        return [
            send
            for account, state in self._accounts.items()
            for resource in Resource
            for send in self._ask(
                now, account, state, resource, by_account.get(account, [])
            )
        ]

    def handle_message(
        self, now: float, sender: HostId, message: LoanMessage
    ) -> list[SendLoan]:
        """Take a message of another host; return the answer, if any."""
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
        answer = LoanMessage(
            account=message.account, resource=message.resource, body=grant
        )
        return [SendLoan(to=sender, message=answer)]

    def _ledgers(self, contract: Contract) -> dict[Resource, ShareLedger]:
        host, incarnation = self._own
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

    def _entitle(self) -> None:
        for state in self._accounts.values():
            for resource, ledger in state.ledgers.items():
                limit = state.limit(resource)
                ledger.entitlement = self._row.entitlement(limit, self._own)

    def _fits(self, now: float, state: _Account) -> bool:
        concurrency = state.ledgers[Resource.CONCURRENCY]
        rate = state.ledgers[Resource.RATE]
        return rate.fits(now, 0) and concurrency.fits(now, state.running)

    def _ask(
        self,
        now: float,
        account: AccountId,
        state: _Account,
        resource: Resource,
        spent: list[SpentShare],
    ) -> list[SendLoan]:
        ledger = state.ledgers[resource]
        if not ledger.borrows and ledger.need <= ledger.usable(now):
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
            if member != self._own
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
