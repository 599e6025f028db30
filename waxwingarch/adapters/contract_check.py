"""Checks of contracts against each other and against what there is."""

import re
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from waxwingarch.adapters.contract_ini import key_digest, parse_contract
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.exceptions import SettingsError

# A round trip to an engine in another failure domain and its first step.
FIRST_TOKEN_FLOOR_MS: Final = 20.0
SHARES_ALLOWED: Final = 1.0
SHARE_ROUNDING: Final = 1e-9
MS_PER_S: Final = 1000.0

KEY_LINE: Final = re.compile(
    r"^key[ \t]*[=:][ \t]*(\S.*?)[ \t]*$", re.M | re.I
)


@dataclass(frozen=True, kw_only=True, slots=True)
class SourcedContract:
    """A contract and the name of the file that it came from."""

    source: str
    contract: Contract


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """What is wrong with a contract, where, and what is allowed."""

    source: str
    section: str
    key: str
    wrong: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}: [{self.section}] {self.key}"
        return f"{place}: {self.wrong}; {self.allowed}"


def hash_plain_key(text: str, source: str) -> str:
    """Return a contract's text with the key as its SHA-256 only.

    Raises `SettingsError` where the text is no valid contract.
    """
    before = parse_contract(text, source)
    changed = KEY_LINE.sub(_digest_line, text).strip() + "\n"
    try:
        after = parse_contract(changed, source)
    except SettingsError:
        after = None
    if after != before:
        raise SettingsError(
            f"{source}: [contract] key: is written in an unusual way;"
            " write it as one line, key = THE-KEY"
        )
    return changed


def _digest_line(match: re.Match[str]) -> str:
    return f"key_sha256 = {key_digest(match[1])}"


def find_problems(
    contracts: Collection[SourcedContract],
    *,
    services: Collection[str] | None = None,
    first_token_floor_ms: float = FIRST_TOKEN_FLOOR_MS,
) -> list[Problem]:
    """Return why these contracts cannot be in force together.

    `services` are the known ones; None skips that check.
    """
    found = [
        *_duplicates(contracts),
        *_too_much(contracts),
        *_too_fast(contracts, first_token_floor_ms),
    ]
    if services is not None:
        found += find_unknown_services(contracts, services)
    return found


def _duplicates(contracts: Iterable[SourcedContract]) -> Iterator[Problem]:
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


def _too_much(contracts: Collection[SourcedContract]) -> Iterator[Problem]:
    total = sum(one.contract.share for one in contracts)
    if total <= SHARES_ALLOWED + SHARE_ROUNDING:
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


def _too_fast(
    contracts: Iterable[SourcedContract], floor_ms: float
) -> Iterator[Problem]:
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
    """Return the routes to services that have no backend server."""
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
