"""Assignment of duties over the known members, computed on demand."""

from typing import Final

from waxwingarch.core.cluster.assignments import Duty, DutyCandidate, DutyTable
from waxwingarch.core.cluster.membership import Membership

TABLE_POLLERS_PER_REGION: Final = 2


class DutyTableCache:
    """Duty tables of all hosts and of single regions, until cleared."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._tables: dict[str, DutyTable] = {}
        self._polls_table: bool | None = None

    def clear(self) -> None:
        """Discard the computed tables because the members changed."""
        self._tables.clear()
        self._polls_table = None

    def table(self, region: str) -> DutyTable:
        """Return the duties over a region's hosts, "" for all hosts."""
        if region not in self._tables:
            self._tables[region] = DutyTable(
                DutyCandidate(
                    host_id=m.host_id, failure_domain=m.failure_domain
                )
                for m in self._membership.members()
                if m.eligible and region in ("", m.region)
            )
        return self._tables[region]

    def polls_table(self) -> bool:
        """Return whether this host polls the table for the revision."""
        if self._polls_table is None:
            own = self._membership.own
            self._polls_table = self.table(own.region).is_responsible(
                own.host_id,
                "settings",
                Duty.POLL_TABLE,
                TABLE_POLLERS_PER_REGION,
            )
        return self._polls_table
