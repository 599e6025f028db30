"""Checks of sums, and the choice of one sum for each failure domain."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import AccountId, FailureDomain, HostId
from waxwingarch.core.peers.sum_messages import (
    DomainSum,
    MemberReport,
    SumMessage,
)

# While a sum is no older than this, one that counts more hosts is preferred
# to a newer one: a collector that has just begun has not heard all hosts.
SUM_FRESH_S: Final = 0.6
# An older sum is dropped, so that the whole reports count again.
SUM_VALID_S: Final = 1.5
# More requests on a server than any service allows show a faulty sum.
MAX_RUNNING_PER_SERVER: Final = 10_000


def check(message: SumMessage, last: SumMessage | None) -> str | None:
    """Return why a message is dropped, "" if it is not new, or None.

    `last` is the message of the same sender before it.
    """
    if last is not None:
        if message.incarnation < last.incarnation:
            return "former incarnation"
        if (message.incarnation, message.sequence) <= (
            last.incarnation,
            last.sequence,
        ):
            return ""
    return fault_of(message)


def fault_of(message: SumMessage) -> str | None:
    """Return why a message can't be true, or None."""
    for load in message.loads.values():
        if load.running < 0 or load.prefill_tokens < 0 or load.kv_tokens < 0:
            return "negative load"
        if load.running > MAX_RUNNING_PER_SERVER:
            return "too many requests on a server"
    if isinstance(message, MemberReport):
        return _fault_of_usage((message.admitted, message.offered_per_s))
    parts = (
        [message] if isinstance(message, DomainSum) else list(message.parts)
    )
    if any(part.age_s < 0 for part in parts):
        return "from the future"
    if not all(part.hosts for part in parts) or (
        message.sequences and len(message.sequences) != len(parts[0].hosts)
    ):
        return "bad count of hosts"
    if any(count < 0 for part in parts for count in part.avoided.values()):
        return "bad count of hosts"
    return _fault_of_usage((*message.usage.values(), message.offered_per_s))


def _fault_of_usage(usage: Iterable[Mapping[AccountId, float]]) -> str | None:
    if any(a < 0 for amounts in usage for a in amounts.values()):
        return "negative usage"
    return None


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownSum:
    """A sum, and when its reports were made on average."""

    domain_sum: DomainSum
    taken_at: float


class SumChoice:
    """The newest sum of each collector; one is chosen for each domain.

    Two sums of one domain are never added: they count the same hosts.
    """

    def __init__(self) -> None:
        self._sums: dict[FailureDomain, dict[HostId, KnownSum]] = {}

    def record(self, now: float, domain_sum: DomainSum) -> str | None:
        """Record a sum; returns why it is dropped, "" if it is not new."""
        of_domain = self._sums.setdefault(domain_sum.domain, {})
        known = of_domain.get(domain_sum.collector)
        fault = check(domain_sum, known.domain_sum if known else None)
        if fault is None:
            of_domain[domain_sum.collector] = KnownSum(
                domain_sum=domain_sum, taken_at=now - domain_sum.age_s
            )
        return fault

    def collectors(self, now: float) -> set[HostId]:
        """Return the collectors of fresh sums."""
        return {
            collector
            for of_domain in self._sums.values()
            for collector, known in of_domain.items()
            if now - known.taken_at <= SUM_FRESH_S
        }

    def chosen(self, now: float) -> Mapping[FailureDomain, KnownSum]:
        """Return one sum for each domain that has a valid one."""
        chosen = {}
        for domain, of_domain in list(self._sums.items()):
            for collector, known in list(of_domain.items()):
                if now - known.taken_at > SUM_VALID_S:
                    del of_domain[collector]
            if not of_domain:
                del self._sums[domain]
                continue
            fresh = [
                known
                for known in of_domain.values()
                if now - known.taken_at <= SUM_FRESH_S
            ]
            chosen[domain] = max(
                fresh or of_domain.values(),
                key=lambda known: (
                    len(known.domain_sum.hosts) if fresh else 0,
                    known.taken_at,
                ),
            )
        return chosen
