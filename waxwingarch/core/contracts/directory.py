"""Lookup of the contracts in force by API key or client account."""

from collections.abc import Iterable

from waxwingarch.core.base import AccountId
from waxwingarch.core.contracts.contract import Contract


class ContractDirectory:
    """The contracts of one settings revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._by_key: dict[str, Contract] = {}
        self._by_account: dict[AccountId, Contract] = {}

    def apply(self, revision: int, contracts: Iterable[Contract]) -> bool:
        """Put a revision in force; return False for a lower one."""
        if revision < self.revision:
            return False
        self.revision = revision
        self._by_account = {c.account: c for c in contracts}
        self._by_key = {c.key_digest: c for c in self._by_account.values()}
        return True

    def by_key(self, digest: str) -> Contract | None:
        """Return the contract whose API key has this SHA-256 digest."""
        return self._by_key.get(digest)

    def by_account(self, account: AccountId) -> Contract | None:
        """Return the contract of a client account."""
        return self._by_account.get(account)

    def all(self) -> list[Contract]:
        """Return all contracts, ordered by account."""
        return [self._by_account[k] for k in sorted(self._by_account)]
