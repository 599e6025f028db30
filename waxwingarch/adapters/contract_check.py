"""Checks of contracts against each other and against known services."""

import re
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from waxwingarch.adapters.contract_ini import key_digest, parse_contract
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.exceptions import SettingsError

# Lowest first-token latency that can be met: a round trip to an engine in
# another failure domain plus the first step of that engine.
FIRST_TOKEN_FLOOR_MS: Final = 20.0
MAX_SHARE_SUM: Final = 1.0
# Tolerance for the rounding errors of a sum of floating-point shares.
SHARE_TOLERANCE: Final = 1e-9
MS_PER_S: Final = 1000.0

KEY_LINE: Final = re.compile(
    r"^key[ \t]*[=:][ \t]*(\S.*?)[ \t]*$", re.M | re.I
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SourcedContract:
    """A contract and the name of the file it was read from."""

    source: str
    contract: Contract


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One fault of a contract: its place, the fault and what is allowed."""

    source: str
    section: str
    key: str
    wrong: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}: [{self.section}] {self.key}"
        return f"{place}: {self.wrong}; {self.allowed}"


def hash_plain_key(text: str, source: str) -> str:
    """Return a contract's text with its key replaced by the SHA-256.

    Raises `SettingsError` if the text is not a valid contract, or if the
    key is written in a way that the replacement does not find.
    """
    before = parse_contract(text, source)
    hashed_text = KEY_LINE.sub(_digest_line, text).strip() + "\n"
    try:
        after = parse_contract(hashed_text, source)
    except SettingsError:
        after = None
    if after != before:
        raise SettingsError(
            f"{source}: [contract] key: is written in an unusual way;"
            " write it as one line, key = THE-KEY"
        )
    return hashed_text


def _digest_line(match: re.Match[str]) -> str:
    return f"key_sha256 = {key_digest(match[1])}"


def find_problems(
    contracts: Collection[SourcedContract],
    *,
    services: Collection[str] | None = None,
    first_token_floor_ms: float = FIRST_TOKEN_FLOOR_MS,
) -> list[Problem]:
    """Return the reasons why these contracts cannot be applied together.

    `services` are the known services; None skips the check of routes.
    """
    problems = [
        *_duplicate_owners(contracts),
        *_excess_shares(contracts),
        *_unreachable_targets(contracts, first_token_floor_ms),
    ]
    if services is not None:
        problems += find_unknown_services(contracts, services)
    return problems


def _duplicate_owners(
    contracts: Iterable[SourcedContract],
) -> Iterator[Problem]:
    """Yield contracts that share an account or a key with another."""
    accounts: dict[str, str] = {}
    keys: dict[str, str] = {}
    for one in contracts:
        account, digest = one.contract.account, one.contract.key_digest
        if account in accounts:
            yield Problem(
                source=one.source,
                section="contract",
                key="account",
                wrong=f"{account} has a contract in {accounts[account]} too",
                allowed="an account has one contract: remove one of the two",
            )
        elif digest in keys:
            yield Problem(
                source=one.source,
                section="contract",
                key="key",
                wrong=f"is the key in {keys[digest]} too",
                allowed="a key names one account: give it a key of its own",
            )
        accounts.setdefault(account, one.source)
        keys.setdefault(digest, one.source)


def _excess_shares(
    contracts: Collection[SourcedContract],
) -> Iterator[Problem]:
    """Yield the largest contract if the shares sum to more than 1."""
    total = sum(one.contract.share for one in contracts)
    if total <= MAX_SHARE_SUM + SHARE_TOLERANCE:
        return
    largest = max(contracts, key=lambda one: one.contract.share)
    yield Problem(
        source=largest.source,
        section="limits",
        key="share",
        wrong=(
            f"is {largest.contract.share:g}, and the shares of all"
            f" {len(contracts)} contracts add up to {total:g}"
        ),
        allowed="they may add up to 1: lower this one or others",
    )


def _unreachable_targets(
    contracts: Iterable[SourcedContract], floor_ms: float
) -> Iterator[Problem]:
    """Yield contracts whose first-token target is below the floor."""
    for one in contracts:
        target_ms = one.contract.first_token_s * MS_PER_S
        if target_ms < floor_ms:
            yield Problem(
                source=one.source,
                section="latency",
                key="first_token_ms",
                wrong=f"{target_ms:g} cannot be met",
                allowed=f"want {floor_ms:g} or more",
            )


def find_unknown_services(
    contracts: Iterable[SourcedContract], services: Collection[str]
) -> list[Problem]:
    """Return a problem for each route whose service has no backend server."""
    names = ", ".join(sorted(services)) or "none"
    return [
        Problem(
            source=one.source,
            section=f"route {rule.path}",
            key="service",
            wrong=f"{rule.service} has no backend server",
            allowed=f"known services: {names}",
        )
        for one in contracts
        for rule in one.contract.routes
        if rule.service not in services
    ]
