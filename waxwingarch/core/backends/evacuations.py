"""Evacuation of failure domains: their servers get no more requests.

An evacuation lasts as long as its row in the operator's table. A store that
returns from an older copy may lack a row that is in force; the evacuation is
then kept for a time, and hosts that start meanwhile learn of it from reports.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import StrEnum
from itertools import islice
from typing import Final

from waxwingarch.core.base import Action, Event, FailureDomain
from waxwingarch.core.store_version import era_of

# An evacuation whose row the store has lost ends this long after the return.
EVACUATION_KEPT_S: Final = 600.0
# The era of rows that were read before the store named one.
UNKNOWN_ERA: Final = 0
# A report has to fit into one datagram.
MAX_REPORTED_EVACUATIONS: Final = 8


class EvacuationSource(StrEnum):
    """How this host learnt of a change."""

    STORE = "store"
    PEER = "peer"
    DEADLINE = "deadline"


class EvacuationPhase(StrEnum):
    """What has become of an evacuation.

    It is KEPT from when its row is missing in a store that has returned.
    """

    BEGUN = "begun"
    KEPT = "kept"
    ENDED = "ended"


class WarningReason(StrEnum):
    """Why an evacuation may not be what the operator wanted."""

    UNKNOWN_DOMAIN = "no server of the domain is known"
    ALL_DOMAINS = "no domain is left"


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationsRead(Event):
    """The operator's table at a version, as far as it concerns evacuations.

    `rows` are the versions of the rows that are there, and `removed` those at
    which rows were removed, as far as known.
    """

    version: int
    rows: Mapping[FailureDomain, int]
    removed: Mapping[FailureDomain, int]
    source: EvacuationSource = EvacuationSource.STORE


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChanged(Action):
    """An evacuation has changed; `version` is that of its row."""

    domain: FailureDomain
    phase: EvacuationPhase
    version: int
    source: EvacuationSource


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationWarning(Action):
    """The evacuation of some domains is obeyed, but may be a mistake."""

    domains: tuple[FailureDomain, ...]
    reason: WarningReason


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptEvacuation:
    """An evacuation without a row, as it is reported to the peers."""

    version: int
    remaining_s: float


@dataclass(kw_only=True, slots=True)
class Evacuation:
    """An evacuation in force.

    `version` is that of its row. Without a row, it ends at `kept_until`.
    """

    version: int
    source: EvacuationSource
    kept_until: float | None = None


class Evacuations:
    """The evacuations in force, by failure domain.

    Times are on the node's clock, in seconds. An ended evacuation does not
    begin again by the report of a peer that has not heard of the end yet.
    """

    def __init__(self) -> None:
        self._in_force: dict[FailureDomain, Evacuation] = {}
        # The era in which an evacuation has last ended.
        self._ended_in: dict[FailureDomain, int] = {}
        self._version = 0
        self._unchecked: set[FailureDomain] = set()
        self._warned_of_all_domains = False

    def __bool__(self) -> bool:
        return bool(self._in_force)

    @property
    def in_force(self) -> Mapping[FailureDomain, Evacuation]:
        """The evacuations in force."""
        return self._in_force

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """The evacuated failure domains."""
        return frozenset(self._in_force)

    def apply(
        self, now: float, event: EvacuationsRead
    ) -> list[EvacuationChanged]:
        """Apply the rows of a copy of the table, unless it is outdated."""
        if event.version < self._version:
            return []
        self._version = event.version
        changes = []
        for domain, version in sorted(event.rows.items()):
            known = self._in_force.get(domain)
            if known is None:
                changes.append(self._begin(domain, version, event.source))
            else:
                known.version, known.kept_until = version, None
        for domain in sorted(self._in_force.keys() - event.rows.keys()):
            changes += self._handle_missing(now, domain, event)
        return changes

    def _begin(
        self,
        domain: FailureDomain,
        version: int,
        source: EvacuationSource,
        kept_until: float | None = None,
    ) -> EvacuationChanged:
        self._in_force[domain] = Evacuation(
            version=version, source=source, kept_until=kept_until
        )
        self._unchecked.add(domain)
        return EvacuationChanged(
            domain=domain,
            phase=EvacuationPhase.BEGUN
            if kept_until is None
            else EvacuationPhase.KEPT,
            version=version,
            source=source,
        )

    def _handle_missing(
        self, now: float, domain: FailureDomain, event: EvacuationsRead
    ) -> list[EvacuationChanged]:
        """End an evacuation without a row, or keep it if the store lost it.

        A row that was there in the era of the table has been removed. So has
        one whose removal is among the changes of that era.
        """
        known = self._in_force[domain]
        era = era_of(event.version)
        is_lost = (
            known.kept_until is not None
            or UNKNOWN_ERA < era_of(known.version) < era
        )
        removed_at = event.removed.get(domain)
        if not is_lost or (
            removed_at is not None and era_of(removed_at) == era
        ):
            return [self._end(domain, event.source)]
        if known.kept_until is not None:
            return []
        known.kept_until = now + EVACUATION_KEPT_S
        return [
            EvacuationChanged(
                domain=domain,
                phase=EvacuationPhase.KEPT,
                version=known.version,
                source=event.source,
            )
        ]

    def _end(
        self, domain: FailureDomain, source: EvacuationSource
    ) -> EvacuationChanged:
        known = self._in_force.pop(domain)
        self._ended_in[domain] = era_of(self._version)
        self._unchecked.discard(domain)
        self._warned_of_all_domains = False
        return EvacuationChanged(
            domain=domain,
            phase=EvacuationPhase.ENDED,
            version=known.version,
            source=source,
        )

    def tick(self, now: float) -> list[EvacuationChanged]:
        """End the evacuations that were kept for long enough."""
        due = [
            domain
            for domain, known in self._in_force.items()
            if known.kept_until is not None and now >= known.kept_until
        ]
        return [self._end(d, EvacuationSource.DEADLINE) for d in sorted(due)]

    def warnings(
        self, known_domains: Collection[FailureDomain]
    ) -> list[EvacuationWarning]:
        """Return each warning about evacuations that have begun once."""
        unknown = sorted(self._unchecked.difference(known_domains))
        self._unchecked.clear()
        warnings = []
        if unknown:
            warnings.append(
                EvacuationWarning(
                    domains=tuple(unknown),
                    reason=WarningReason.UNKNOWN_DOMAIN,
                )
            )
        if (
            known_domains
            and not self._warned_of_all_domains
            and self._in_force.keys() >= set(known_domains)
        ):
            self._warned_of_all_domains = True
            warnings.append(
                EvacuationWarning(
                    domains=tuple(sorted(known_domains)),
                    reason=WarningReason.ALL_DOMAINS,
                )
            )
        return warnings

    # Reports

    def reported(self, now: float) -> dict[FailureDomain, KeptEvacuation]:
        """Return the evacuations without a row, to report to the peers."""
        kept = (
            (
                domain,
                KeptEvacuation(
                    version=known.version, remaining_s=known.kept_until - now
                ),
            )
            for domain, known in sorted(self._in_force.items())
            if known.kept_until is not None
        )
        return dict(islice(kept, MAX_REPORTED_EVACUATIONS))

    def record_report(
        self,
        now: float,
        table_version: int,
        kept: Mapping[FailureDomain, KeptEvacuation],
    ) -> list[EvacuationChanged]:
        """Adopt what a peer keeps whose table is as new as this host's."""
        if table_version < self._version:
            return []
        era = era_of(table_version)
        changes = []
        for domain, reported in sorted(kept.items()):
            if domain in self._in_force or self._ended_in.get(domain) == era:
                continue
            remaining_s = min(reported.remaining_s, EVACUATION_KEPT_S)
            if remaining_s > 0:
                changes.append(
                    self._begin(
                        domain,
                        reported.version,
                        EvacuationSource.PEER,
                        now + remaining_s,
                    )
                )
        return changes
