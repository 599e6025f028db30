"""Several nodes in one process on simulated time, for core tests."""

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

from waxwingarch.core.base import (
    Action,
    Event,
    FailureDomain,
    HostId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.cluster.configsync import (
    ApplySettings,
    PollRevision,
    PullSettings,
    ReadSettings,
    RevisionRead,
    SettingsRead,
)
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.cluster.messages import DatagramReceived, SendPeer, Tick
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.core.contracts.contract import Contract, RouteRule
from waxwingarch.core.events import ServersListed, SettingsParsed
from waxwingarch.core.request import Request
from waxwingarch.core.settings.settings import Document, make_snapshot

TICK_S = 0.1
DELAY_S = 0.002
UNIX_OFFSET = 1_000_000.0
SERVICE = ServiceId("pool")
SNAPSHOT = make_snapshot(1, (Document(name="contract/a", text=""),))


def make_server(n: int, version: str = "v1", slots: int = 64) -> Server:
    """Return a model engine."""
    return Server(
        server_id=ServerId(f"s{n}"),
        address=f"server:{n}",
        failure_domain=FailureDomain(f"d{n % 3}"),
        service=SERVICE,
        kind=ServerKind.ENGINE,
        version=VersionId(version),
        machine_class="large",
        reclaimable=True,
        price=1.0,
        slots=slots,
        incarnation=1,
    )


def make_contract(rate: float = 100.0, concurrency: int = 100) -> Contract:
    """Return a contract with one model route."""
    return Contract(
        account="a",
        key_digest="k",
        first_token_s=1.0,
        between_tokens_s=0.025,
        whole_answer_s=30.0,
        priority=1,
        rate=rate,
        burst=int(rate),
        concurrency=concurrency,
        share=1.0,
        cost_weight=1.0,
        routes=(RouteRule(path="/v1/", service=SERVICE),),
    )


class Bus:
    """Simulation of nodes, their datagrams and their settings.

    `actions` collects the actions that the simulation does not carry out.
    """

    def __init__(self, hosts: int, contract: Contract, seed: int = 1) -> None:
        self.now = 0.0
        self.contract = contract
        self.is_link_cut: Callable[[str, str], bool] = lambda source, target: (
            False
        )
        self.paused: set[str] = set()
        self.actions: list[tuple[str, Action]] = []
        self._queue: list[tuple[float, int, str, Event]] = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self._tick_at = 0.0
        self.nodes = {
            f"h{n}": ContractNode(
                _member(n), [f"h{n - 1}"] if n else [], UNIX_OFFSET, Random(n)
            )
            for n in range(hosts)
        }
        listed = ServersListed(
            servers=(make_server(0), make_server(1)),
            entry_hosts=tuple(HostId(name) for name in self.nodes),
        )
        for name in self.nodes:
            self.post(name, listed)

    def post(self, name: str, event: Event) -> list[Action]:
        """Let a node handle an event, and carry out the actions."""
        actions = self.nodes[name].handle(self.now, event)
        for action in actions:
            self._perform(name, action)
        return actions

    def run(self, seconds: float) -> None:
        """Advance the time, and deliver what falls due."""
        until = self.now + seconds
        while True:
            due = self._queue[0][0] if self._queue else until
            at = min(due, self._tick_at, until)
            self.now = max(self.now, at)
            if at >= until:
                return
            if self._tick_at <= at:
                self._tick_all()
            else:
                _, _, name, event = heapq.heappop(self._queue)
                if name not in self.paused:
                    self.post(name, event)

    def request(self, **fields: Any) -> Request:
        """Return a model request that arrives now."""
        defaults: dict[str, Any] = {
            "request_id": f"r{next(self._ids)}",
            "account": "a",
            "service": SERVICE,
            "kind": ServerKind.ENGINE,
            "route": "/v1/",
            "method": "POST",
            "path": "/v1/completions",
            "body_digest": "",
            "arrived_at": self.now,
            "deadline": self.now + 30.0,
            "first_token_s": 1.0,
            "between_tokens_s": 0.025,
            "priority": 1,
            "max_tokens": 8,
        }
        return Request(**{**defaults, **fields})

    def _tick_all(self) -> None:
        self._tick_at += TICK_S
        for name in self.nodes:
            if name not in self.paused:
                self.post(name, Tick(unix_now=self.now + UNIX_OFFSET))

    def _perform(self, name: str, action: Action) -> None:
        match action:
            case SendPeer(address=target, datagram=datagram):
                if not self.is_link_cut(name, target):
                    event: Event = DatagramReceived(
                        source=name, datagram=datagram
                    )
                    self._schedule(target, event)
            case PollRevision():
                self._schedule(name, RevisionRead(revision=1))
            case ReadSettings() | PullSettings():
                self._schedule(name, SettingsRead(snapshot=SNAPSHOT))
            case ApplySettings():
                parsed = SettingsParsed(revision=1, contracts=(self.contract,))
                self._schedule(name, parsed)
            case _:
                self.actions.append((name, action))

    def _schedule(self, name: str, event: Event) -> None:
        entry = (self.now + DELAY_S, next(self._order), name, event)
        heapq.heappush(self._queue, entry)


def _member(n: int) -> Member:
    name = f"h{n}"
    return Member(
        host_id=HostId(name),
        incarnation=1,
        refutation=0,
        region="r",
        failure_domain=FailureDomain(f"d{n % 3}"),
        addresses=Addresses(http=name, peer_tcp=name, peer_udp=name),
        state=MemberState.ALIVE,
    )
