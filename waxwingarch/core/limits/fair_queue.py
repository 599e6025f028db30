"""Weighted fair queue of requests, one lane a client account."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.base import AccountId, RequestId

PRIORITY_LEAD_SLOT_S: Final = 4.0
IDLE_CREDIT_SLOT_S: Final = 32.0
MIN_SHARE: Final = 1e-6


@dataclass(kw_only=True, slots=True)
class _Lane:
    """Queue of one account; `tag` is the virtual start of its head."""

    share: float
    priority: int
    tag: float = 0.0
    work_s: float = 0.0
    entries: OrderedDict[RequestId, float] = field(default_factory=OrderedDict)


class FairQueue:
    """Start-time fair queue; work is counted in slot seconds.

    An urgent account may run ahead of its share by at most
    `PRIORITY_LEAD_SLOT_S`, so that priority never starves another. An
    account that asks for less than its share leaves the rest to others,
    and may catch up on the last `IDLE_CREDIT_SLOT_S` of it in a burst.
    """

    def __init__(self) -> None:
        self._lanes: dict[AccountId, _Lane] = {}
        self._virtual = 0.0

    def set_lane(
        self, account: AccountId, share: float, priority: int
    ) -> None:
        """Add an account or change its share and priority."""
        share = max(share, MIN_SHARE)
        lane = self._lanes.get(account)
        if lane is None:
            self._lanes[account] = _Lane(
                share=share, priority=priority, tag=self._virtual
            )
            return
        lane.share = share
        lane.priority = priority

    def drop_lane(self, account: AccountId) -> list[RequestId]:
        """Remove an account; return the requests that were waiting."""
        lane = self._lanes.pop(account, None)
        return [] if lane is None else list(lane.entries)

    def push(
        self, account: AccountId, request_id: RequestId, work_s: float
    ) -> None:
        """Add a request at the end of its account's lane."""
        lane = self._lanes[account]
        if not lane.entries:
            lane.tag = max(lane.tag, self._credited_start(lane))
        lane.entries[request_id] = work_s
        lane.work_s += work_s

    def charge(self, account: AccountId, work_s: float) -> None:
        """Count work of a request that did not have to wait."""
        lane = self._lanes[account]
        lane.tag = max(lane.tag, self._credited_start(lane))
        self._virtual = max(self._virtual, lane.tag)
        lane.tag += work_s / lane.share

    def correct(self, account: AccountId, delta_s: float) -> None:
        """Add the difference between the true and the expected work."""
        lane = self._lanes.get(account)
        if lane is not None:
            lane.tag += delta_s / lane.share

    def remove(self, account: AccountId, request_id: RequestId) -> bool:
        """Take out a waiting request; return whether it was there."""
        lane = self._lanes.get(account)
        work_s = lane.entries.pop(request_id, None) if lane else None
        if lane is None or work_s is None:
            return False
        lane.work_s = lane.work_s - work_s if lane.entries else 0.0
        return True

    def pop(
        self, may_start: Callable[[AccountId], bool]
    ) -> tuple[AccountId, RequestId] | None:
        """Take the next request among the accounts that may start one."""
        ready = self._ready(may_start)
        if not ready:
            return None
        self._virtual = max(self._virtual, min(lane.tag for _, lane in ready))
        account, lane = min(ready, key=self._rank)
        request_id, work_s = lane.entries.popitem(last=False)
        lane.work_s = lane.work_s - work_s if lane.entries else 0.0
        lane.tag += work_s / lane.share
        return account, request_id

    def has_ready(self, may_start: Callable[[AccountId], bool]) -> bool:
        """Return whether some account waits and may start a request."""
        return any(
            lane.entries and may_start(account)
            for account, lane in self._lanes.items()
        )

    def waiting(self, account: AccountId) -> Iterator[tuple[RequestId, float]]:
        """Yield the waiting requests of an account, next one first."""
        lane = self._lanes.get(account)
        return iter(()) if lane is None else iter(list(lane.entries.items()))

    def waiting_count(self, account: AccountId) -> int:
        """Return how many requests of an account wait."""
        lane = self._lanes.get(account)
        return 0 if lane is None else len(lane.entries)

    def waiting_work_s(self, account: AccountId) -> float:
        """Return the work of an account that waits, in slot seconds."""
        lane = self._lanes.get(account)
        return 0.0 if lane is None else lane.work_s

    def _credited_start(self, lane: _Lane) -> float:
        """Return the earliest virtual start of a lane that was idle."""
        return self._virtual - IDLE_CREDIT_SLOT_S / lane.share

    def _ready(
        self, may_start: Callable[[AccountId], bool]
    ) -> list[tuple[AccountId, _Lane]]:
        """List the lanes to choose from.

        A lane held back by its own limit earns no credit meanwhile.
        """
        ready = []
        for account, lane in self._lanes.items():
            if not lane.entries:
                continue
            if may_start(account):
                ready.append((account, lane))
            else:
                lane.tag = max(lane.tag, self._virtual)
        return ready

    def _rank(
        self, entry: tuple[AccountId, _Lane]
    ) -> tuple[int, int, float, AccountId]:
        account, lane = entry
        lead_s = (lane.tag - self._virtual) * lane.share
        over_share = 0 if lead_s <= PRIORITY_LEAD_SLOT_S else 1
        return over_share, lane.priority, lane.tag, account
