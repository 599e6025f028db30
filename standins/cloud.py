"""The cloud of the stand-in platform: hosts, orders and notices.

Starting a host assigns one of the spare servers of the hosts file: the
stand-in starts no process.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, Literal

from pydantic import BaseModel, ConfigDict

from standins.base import ApiError

MAX_LIST_HISTORY: Final = 10_000


class HostState(StrEnum):
    """States of a backend server's host; callers don't see spare ones."""

    SPARE = "spare"
    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


class ServerRow(BaseModel):
    """A backend server as the cloud lists it."""

    server_id: str
    address: str
    failure_domain: str
    service: str
    kind: Literal["engine", "plain"] = "engine"
    version: str = "v1"
    machine_class: str = "small"
    reclaimable: bool = True
    price: float = 1.0
    slots: int = 8
    incarnation: int = 1
    state: HostState = HostState.LIVE


class EntryHostRow(BaseModel):
    """An entry host as the cloud lists it."""

    model_config = ConfigDict(extra="allow")

    host_id: str
    region: str = "r1"
    failure_domain: str
    http: str = ""
    peer_tcp: str = ""
    peer_udp: str = ""
    incarnation: int = 1


class HostsFile(BaseModel):
    """Rows to add or replace, and ids of rows to remove."""

    hosts: list[ServerRow] = []
    entry_hosts: list[EntryHostRow] = []
    remove: list[str] = []


class StartOrder(BaseModel):
    """Body of `POST /v1/cloud/start`."""

    order_id: str
    service: str
    kind: Literal["engine", "plain"] = "engine"
    version: str
    machine_class: str
    failure_domain: str
    reclaimable: bool
    fencing: int


class StopOrder(BaseModel):
    """Body of `POST /v1/cloud/stop`."""

    server_id: str
    fencing: int


class Notice(BaseModel):
    """A reclaim notice; `deadline` is in Unix seconds."""

    seq: int
    server_id: str | None = None
    host_id: str | None = None
    incarnation: int
    deadline: float

    def wire(self) -> dict[str, Any]:
        """Return the notice as it is sent."""
        return self.model_dump(exclude_none=True)


class Cloud:
    """Hosts, the orders for them and reclaim notices.

    `clock` returns Unix seconds. Callers see the list as it was
    `list_lag_s` ago.
    """

    def __init__(
        self, clock: Callable[[], float], list_lag_s: float = 0.0
    ) -> None:
        self._clock = clock
        self._list_lag_s = list_lag_s
        self.servers: dict[str, ServerRow] = {}
        self.entry_hosts: dict[str, EntryHostRow] = {}
        self.notices: list[Notice] = []
        self._orders: dict[str, str] = {}
        self._fencing: dict[str, int] = {}
        self._history: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=MAX_LIST_HISTORY
        )

    def apply(self, rows: HostsFile) -> None:
        """Add, replace and remove rows."""
        for server in rows.hosts:
            self.servers[server.server_id] = server
        for host in rows.entry_hosts:
            self.entry_hosts[host.host_id] = host
        for row_id in rows.remove:
            self.servers.pop(row_id, None)
            self.entry_hosts.pop(row_id, None)
        if rows != HostsFile():
            self.record_list()

    def record_list(self) -> None:
        """Add the current list to the history that `listing` reads."""
        now = self._clock()
        hosts = [
            s.model_dump(mode="json")
            for s in self.servers.values()
            if s.state is not HostState.SPARE
        ]
        entry_host_rows = [
            e.model_dump(mode="json") for e in self.entry_hosts.values()
        ]
        self._history.append(
            (now, {"hosts": hosts, "entry_hosts": entry_host_rows})
        )

    def listing(self, frozen_at: float | None = None) -> dict[str, Any]:
        """Return the list as it was one lag before now or `frozen_at`.

        The first list is visible without lag.
        """
        now = self._clock() if frozen_at is None else frozen_at
        visible_at = now - self._list_lag_s
        newest: dict[str, Any] = {"hosts": [], "entry_hosts": []}
        for at, listed in reversed(self._history):
            newest = listed
            if at <= visible_at:
                break
        return newest | {"as_of": visible_at}

    def offers(self) -> list[dict[str, Any]]:
        """Return the spare servers that can be started, by kind and price."""
        grouped: dict[tuple[str, str, bool, float], int] = {}
        for row in self.servers.values():
            offer = (
                row.machine_class,
                row.failure_domain,
                row.reclaimable,
                row.price,
            )
            spare = row.state is HostState.SPARE
            grouped[offer] = grouped.get(offer, 0) + spare
        return [
            {
                "machine_class": machine_class,
                "failure_domain": domain,
                "reclaimable": reclaimable,
                "price": price,
                "available": available,
            }
            for (machine_class, domain, reclaimable, price), available in (
                sorted(grouped.items())
            )
        ]

    def _check_fencing(self, service: str, fencing: int) -> None:
        current = self._fencing.get(service, 0)
        if fencing < current:
            raise ApiError(
                412,
                "old_fencing",
                "take the lease again before ordering",
                current=current,
            )
        self._fencing[service] = fencing

    def start(self, order: StartOrder) -> tuple[ServerRow, bool]:
        """Start a spare server; return it and whether this order is new.

        Raises `ApiError` 412 for an old fencing number, 409 without
        capacity.
        """
        self._check_fencing(order.service, order.fencing)
        started_id = self._orders.get(order.order_id)
        if started_id is not None and started_id in self.servers:
            return self.servers[started_id], False
        row = self._spare_for(order)
        if row is None:
            raise ApiError(409, "no_capacity", "ask for another offer")
        row.state = HostState.STARTING
        row.version = order.version
        self._orders[order.order_id] = row.server_id
        self.record_list()
        return row, True

    def _spare_for(self, order: StartOrder) -> ServerRow | None:
        for row in self.servers.values():
            matches = (
                row.state is HostState.SPARE
                and row.service == order.service
                and row.kind == order.kind
                and row.machine_class == order.machine_class
                and row.failure_domain == order.failure_domain
                and row.reclaimable == order.reclaimable
            )
            if matches:
                return row
        return None

    def stop(self, order: StopOrder) -> ServerRow | None:
        """Mark a server as leaving; return None if it isn't running."""
        row = self.servers.get(order.server_id)
        if row is None:
            return None
        self._check_fencing(row.service, order.fencing)
        if row.state not in {HostState.STARTING, HostState.LIVE}:
            return None
        row.state = HostState.LEAVING
        self.record_list()
        return row

    def set_live(self, server_id: str, incarnation: int) -> None:
        """Mark a server as live if it is still starting."""
        row = self.servers.get(server_id)
        if row is None or row.incarnation != incarnation:
            return
        if row.state is HostState.STARTING:
            row.state = HostState.LIVE
            self.record_list()

    def set_stopped(self, server_id: str, incarnation: int) -> bool:
        """Mark an incarnation's host as spare; return if it was listed."""
        row = self.servers.get(server_id)
        if row is None or row.incarnation != incarnation:
            return False
        row.state = HostState.SPARE
        row.incarnation += 1
        self.record_list()
        return True

    def add_notice(
        self, server_id: str | None, host_id: str | None, deadline: float
    ) -> Notice:
        """Add a reclaim notice; its server is listed as leaving."""
        incarnation = 0
        server = self.servers.get(server_id or "")
        entry_host = self.entry_hosts.get(host_id or "")
        if server is not None:
            incarnation = server.incarnation
            server.state = HostState.LEAVING
            self.record_list()
        elif entry_host is not None:
            incarnation = entry_host.incarnation
        notice = Notice(
            seq=len(self.notices) + 1,
            server_id=server_id,
            host_id=host_id,
            incarnation=incarnation,
            deadline=deadline,
        )
        self.notices.append(notice)
        return notice

    def repeat_notice(self, notice: Notice) -> None:
        """Add a copy of a notice with a number of its own."""
        seq = len(self.notices) + 1
        self.notices.append(notice.model_copy(update={"seq": seq}))
