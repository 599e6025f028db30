"""Weighted fair queue of requests, with one lane for each account."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.base import AccountId, RequestId

# A more urgent account may get this much work beyond its share before the
# others.
PRIORITY_LEAD_SLOT_S: Final = 4.0
# An account may use at most this much of its unused share later.
IDLE_CREDIT_SLOT_S: Final = 32.0
# Shares are divisors, so they are never 0.
MIN_SHARE: Final = 1e-6


@dataclass(kw_only=True, slots=True)
class _Lane:
    """Queue of one account.

    `start_tag` is the virtual start time of its first request, `work_s`
    the sum of the queued work in slot seconds.
    """

    share: float
    priority: int
    start_tag: float = 0.0
    work_s: float = 0.0
    entries: OrderedDict[RequestId, float] = field(default_factory=OrderedDict)


class FairQueue:
    """Start-time fair queue that counts work in slot seconds.

    An account of a more urgent priority may exceed its share by at most
    `PRIORITY_LEAD_SLOT_S`, so that priority never starves another. An
    account that uses less than its share leaves the rest to others, and
    may use up to `IDLE_CREDIT_SLOT_S` of it later in a burst.
    """

    def __init__(self) -> None:
        self._lanes: dict[AccountId, _Lane] = {}
        self._virtual_time = 0.0

    def set_lane(
        self, account: AccountId, share: float, priority: int
    ) -> None:
        """Add an account or change its share and priority."""
        share = max(share, MIN_SHARE)
        lane = self._lanes.get(account)
        if lane is None:
            self._lanes[account] = _Lane(
                share=share, priority=priority, start_tag=self._virtual_time
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
            lane.start_tag = max(lane.start_tag, self._credited_start(lane))
        lane.entries[request_id] = work_s
        lane.work_s += work_s

    def charge(self, account: AccountId, work_s: float) -> None:
        """Charge the work of a request that started without waiting."""
        lane = self._lanes[account]
        lane.start_tag = max(lane.start_tag, self._credited_start(lane))
        self._virtual_time = max(self._virtual_time, lane.start_tag)
        lane.start_tag += work_s / lane.share

    def correct(self, account: AccountId, delta_s: float) -> None:
        """Charge the difference between the actual and the expected work."""
        lane = self._lanes.get(account)
        if lane is not None:
            lane.start_tag += delta_s / lane.share

    def remove(self, account: AccountId, request_id: RequestId) -> bool:
        """Remove a waiting request; return whether it was queued."""
        lane = self._lanes.get(account)
        work_s = lane.entries.pop(request_id, None) if lane else None
        if lane is None or work_s is None:
            return False
        lane.work_s = lane.work_s - work_s if lane.entries else 0.0
        return True

    def pop(
        self, may_start: Callable[[AccountId], bool]
    ) -> tuple[AccountId, RequestId] | None:
        """Remove and return the next request that may start, if any."""
        ready = self._ready(may_start)
        if not ready:
            return None
        self._virtual_time = max(
            self._virtual_time, min(lane.start_tag for _, lane in ready)
        )
        account, lane = min(ready, key=self._rank)
        request_id, work_s = lane.entries.popitem(last=False)
        lane.work_s = lane.work_s - work_s if lane.entries else 0.0
        lane.start_tag += work_s / lane.share
        return account, request_id

    def has_ready(self, may_start: Callable[[AccountId], bool]) -> bool:
        """Return whether any waiting request may start."""
        return any(
            lane.entries and may_start(account)
            for account, lane in self._lanes.items()
        )

    def waiting(self, account: AccountId) -> Iterator[tuple[RequestId, float]]:
        """Return the waiting requests of an account, first one first."""
        lane = self._lanes.get(account)
        return iter(()) if lane is None else iter(list(lane.entries.items()))

    def waiting_count(self, account: AccountId) -> int:
        """Return how many requests of an account wait."""
        lane = self._lanes.get(account)
        return 0 if lane is None else len(lane.entries)

    def waiting_work_s(self, account: AccountId) -> float:
        """Return the queued work of an account, in slot seconds."""
        lane = self._lanes.get(account)
        return 0.0 if lane is None else lane.work_s

    def _credited_start(self, lane: _Lane) -> float:
        """Return the earliest virtual start of a lane that was idle."""
        return self._virtual_time - IDLE_CREDIT_SLOT_S / lane.share

    def _ready(
        self, may_start: Callable[[AccountId], bool]
    ) -> list[tuple[AccountId, _Lane]]:
        """Return the lanes whose account may start a request.

        A lane that is blocked by its own limit earns no credit meanwhile.
        """
        ready = []
        for account, lane in self._lanes.items():
            if not lane.entries:
                continue
            if may_start(account):
                ready.append((account, lane))
            else:
                lane.start_tag = max(lane.start_tag, self._virtual_time)
        return ready

    def _rank(
        self, entry: tuple[AccountId, _Lane]
    ) -> tuple[int, int, float, AccountId]:
        """Return the sort key.

        Accounts that exceed their share by more than the priority lead are
        last. Otherwise priority decides, then the start tag.
        """
        account, lane = entry
        lead_s = (lane.start_tag - self._virtual_time) * lane.share
        over_share = 0 if lead_s <= PRIORITY_LEAD_SLOT_S else 1
        return over_share, lane.priority, lane.start_tag, account
