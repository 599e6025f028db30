"""Hosts and backend servers that crash, on simulated time, for core tests."""

import heapq
import itertools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from tests.core.front.builders import (
    DOMAINS,
    POOL,
    config,
    make_head,
    server,
)
from waxwingarch.adapters.report_codec import decode_report, encode_report
from waxwingarch.core.backends.registry import BackendsListed, ListedBackend
from waxwingarch.core.base import (
    Action,
    Event,
    ExecutionStatus,
    FailureDomain,
    HostId,
    RequestId,
    Server,
    ServerId,
    ServiceId,
    VersionId,
)
from waxwingarch.core.exchange.exchange_messages import (
    AbortResponse,
    AttemptFinished,
    AttemptOutcome,
    ExchangeArrived,
    ExchangeHead,
    LocalResponse,
    PromptPart,
    ResponseStarted,
    SendRequest,
    ServerActivity,
)
from waxwingarch.core.front_messages import (
    ConfigRead,
    FrontBounds,
    FrontIdentity,
    FrontTick,
)
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.peers.report import (
    HostsListed,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.quarantine.quarantine_messages import (
    CancelAttempt,
    InputState,
    QuarantineChanged,
    QuarantineEntry,
    QuarantineRead,
    QuarantineWritten,
    ReadQuarantine,
    WriteQuarantine,
)
from waxwingarch.core.refusal import RefusalReason
from waxwingarch.core.rollouts.rollout_messages import ReadStops, StopsRead

TICK_S = 0.1
DELAY_S = 0.002
UNIX_OFFSET_S = 1_000_000.0
# A crashed server is unlisted after three heartbeats and back after this.
UNLISTED_AFTER_S = 2.0
BACK_AFTER_S = 6.0
ACTIVITY_S = 0.2
STORE_DELAY_S = 0.01
RETRY_AFTER_S = 0.3
# The host that holds the duties.
HOLDER = "h0"
POISON = "poison"
FIRST_PART = "first"
# The parts that sound requests hold in place of the poisoned one.
SOUND_PARTS = 40


@dataclass(kw_only=True)
class _Run:
    host: str
    attempt: int
    head: ExchangeHead
    started: bool = False


@dataclass(kw_only=True)
class _Backend:
    server: Server
    alive: bool = True
    listed: bool = True
    draining: bool = False
    runs: dict[RequestId, _Run] = field(default_factory=dict)


class CrashFleet:
    """Hosts that gossip, and servers that end when they begin on an input.

    `poisons` are parts of prompts, and contents of whole requests. `reached`
    are the times at which poisoned requests reached a running server,
    `crashed_at` those at which a server crashed by one.
    """

    def __init__(
        self,
        hosts: int,
        servers: int,
        seed: int,
        *,
        with_codec: bool = True,
        sound_parts: int = SOUND_PARTS,
        service: ServiceId = POOL,
        domains: Sequence[FailureDomain] = DOMAINS,
        retries: int = 1,
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.cut_off: set[str] = set()
        self.paused: set[str] = set()
        self.reached: list[float] = []
        self.crashed_at: list[float] = []
        self.refused: list[tuple[float, RequestId, RefusalReason]] = []
        self.served = 0
        self.sound_sent = 0
        self.lost = 0
        self.actions: list[tuple[str, Action]] = []
        self.max_report_bytes = 0
        self.poisons = {POISON}
        # Versions of which half the processes crash as they begin.
        self.bad_versions: set[str] = set()
        self.store_is_down = False
        self.row: tuple[QuarantineEntry, ...] = ()
        self.writes = 0
        self._sound_parts = sound_parts
        self._with_codec = with_codec
        # How often callers of sound requests try again.
        self._max_retries = retries
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count()
        self._listing_version = 0
        self._attempts: dict[tuple[str, RequestId], int] = {}
        self._retries: dict[RequestId, Callable[[], object]] = {}
        self._relays: dict[tuple[str, RequestId], _Run] = {}
        self.backends = {
            ServerId(f"e{n}"): _Backend(
                server=server(
                    f"e{n}", service, domain=domains[n % len(domains)]
                )
            )
            for n in range(servers)
        }
        self.nodes: dict[str, FrontNode] = {}
        for n in range(hosts):
            self.start_host(f"h{n}", 1)

    # Hosts

    def start_host(self, name: str, incarnation: int) -> None:
        """Start a host, or start it again without its memory."""
        n = int(name[1:])
        identity = FrontIdentity(
            host=HostId(name),
            incarnation=incarnation,
            domain=DOMAINS[n % len(DOMAINS)],
            address=name,
            first_start=incarnation == 1,
        )
        node = FrontNode(identity, FrontBounds(), Random(self.rng.random()))
        if name == HOLDER:
            node.may_act = lambda boot_now: True  # type: ignore[method-assign]
        self.nodes[name] = node
        for key in [k for k in self._attempts if k[0] == name]:
            del self._attempts[key]
        names = {HostId(peer): peer for peer in self.nodes}
        for peer in [name] if incarnation > 1 else list(self.nodes):
            self.post(peer, HostsListed(addresses=names))
        self.post(name, ConfigRead(cfg=config()))
        self.post(name, self._listing())
        self._after(self.rng.random() * TICK_S, lambda: self._tick(name, node))

    def post(self, name: str, event: Event) -> None:
        """Let a host handle an event, and carry out its actions."""
        for action in self.nodes[name].handle(self.now, event):
            self._perform(name, action)

    def run(self, until: float) -> None:
        """Advance the time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._due, entry)

    def _tick(self, name: str, node: FrontNode) -> None:
        if self.nodes[name] is not node:
            return
        if name not in self.paused:
            self.post(
                name,
                FrontTick(
                    boot_now=self.now, unix_now=self.now + UNIX_OFFSET_S
                ),
            )
        self._after(TICK_S, lambda: self._tick(name, node))

    def _perform(self, name: str, action: Action) -> None:
        match action:
            case SendRequest():
                self._send(name, action)
            case SendReport():
                self._send_report(name, action)
            case LocalResponse(request_id=request_id, refusal=refusal) if (
                name,
                request_id,
            ) in self._relays:
                not_run = refusal.ran is ExecutionStatus.NOT_RUN
                self._end_relay(
                    name,
                    request_id,
                    AttemptOutcome.REJECTED
                    if not_run
                    else AttemptOutcome.FAILED,
                )
            case LocalResponse(request_id=request_id, refusal=refusal):
                self._attempts.pop((name, request_id), None)
                self.refused.append((self.now, request_id, refusal.reason))
                self._retry(request_id)
            case AbortResponse(request_id=request_id):
                self._attempts.pop((name, request_id), None)
                self.lost += 1
                self._retry(request_id)
            case CancelAttempt(request_id=request_id):
                self._attempts.pop((name, request_id), None)
            case ReadQuarantine():
                entries = None if self.store_is_down else self.row
                read = QuarantineRead(entries=entries)
                self._after(STORE_DELAY_S, lambda: self.post(name, read))
            case WriteQuarantine(entries=entries):
                self._write(name, entries)
            case ReadStops():
                stops = StopsRead(stopped=frozenset())
                self._after(STORE_DELAY_S, lambda: self.post(name, stops))
            case _:
                self.actions.append((name, action))

    def _write(self, name: str, entries: tuple[QuarantineEntry, ...]) -> None:
        self.writes += 1
        if not self.store_is_down:
            self.row = entries
        written = QuarantineWritten(written=not self.store_is_down)
        self._after(STORE_DELAY_S, lambda: self.post(name, written))

    def _retry(self, request_id: RequestId) -> None:
        """Let the caller of a sound request try it again."""
        retry = self._retries.pop(request_id, None)
        if retry is not None:
            self._after(RETRY_AFTER_S, retry)

    def _send_report(self, name: str, action: SendReport) -> None:
        report = action.report
        if self._with_codec:
            data = encode_report(report)
            self.max_report_bytes = max(self.max_report_bytes, len(data))
            report = decode_report(data)
        event = ReportReceived(report=report)
        for target in action.addresses:
            if target in self.nodes and not self.cut_off & {name, target}:
                self._deliver(target, event)

    def _deliver(self, name: str, event: Event) -> None:
        def deliver() -> None:
            if name not in self.paused:
                self.post(name, event)

        self._after(DELAY_S, deliver)

    # Requests

    def send(
        self,
        part: str,
        host: str | None = None,
        *,
        first: str = FIRST_PART,
        path: str = "/draft/x",
        retries: int = 0,
    ) -> RequestId:
        """Send a request with a shared part to a host, or to any."""
        number = next(self._ids)
        head = make_head(
            f"{part}-{number}",
            path,
            parts=(
                PromptPart(part=first, tokens=300),
                PromptPart(part=part, tokens=200),
                PromptPart(part=f"own-{number}", tokens=500),
            ),
            digest=f"own-{number}",
        )
        if part not in self.poisons and retries < self._max_retries:
            self._retries[head.request_id] = lambda: self.send(
                part, retries=retries + 1
            )
        return self._arrive(head, host)

    def send_whole(
        self,
        content: str,
        host: str | None = None,
        *,
        path: str = "/read/x",
        part: str | None = None,
        retries: int = 0,
    ) -> RequestId:
        """Send a request that other requests repeat as a whole."""
        shared = [FIRST_PART, part] if part else []
        head = make_head(
            f"{content}-{next(self._ids)}",
            path,
            parts=tuple(
                PromptPart(part=p, tokens=200)
                for p in ([*shared, f"own-{content}"] if shared else [])
            ),
            digest=content,
        )
        if not self._is_poisoned(head) and retries < self._max_retries:
            self._retries[head.request_id] = lambda: self.send_whole(
                content, path=path, part=part, retries=retries + 1
            )
        return self._arrive(head, host)

    def _arrive(self, head: ExchangeHead, host: str | None) -> RequestId:
        names = [n for n in self.nodes if n not in self.paused]
        self.sound_sent += not self._is_poisoned(head)
        event = ExchangeArrived(head=head)
        self.post(host or self.rng.choice(names), event)
        return head.request_id

    def load(
        self,
        rate: float,
        until: float,
        part: Callable[[], str],
        path: str = "/draft/x",
    ) -> None:
        """Send requests at random times from now on."""
        self.repeat(rate, until, lambda: self.send(part(), path=path))

    def repeat(
        self, rate: float, until: float, send: Callable[[], object]
    ) -> None:
        """Call a function at random times from now on."""

        def step() -> None:
            if self.now < until:
                send()
                self._after(self.rng.expovariate(rate), step)

        self._after(self.rng.expovariate(rate), step)

    def sound_part(self) -> str:
        """Return a part that sound requests share; few are popular."""
        return f"s{int(self._sound_parts * self.rng.random() ** 2)}"

    def _send(self, name: str, send: SendRequest) -> None:
        head = self._head_of(name, send.request_id)
        attempt = next(self._order)
        self._attempts[name, send.request_id] = attempt
        run = _Run(host=name, attempt=attempt, head=head)
        server_id = send.server.server_id
        if send.relay_to is not None:
            peer = send.server.address
            self._after(DELAY_S, lambda: self._reach_peer(peer, run))
            return
        self._after(DELAY_S, lambda: self._reach(server_id, run))

    def _reach_peer(self, peer: str, run: _Run) -> None:
        """Let a relayed request reach a peer, which serves it as its own."""
        if not self._is_current(run):
            return
        self._relays[peer, run.head.request_id] = run
        head = replace(run.head, is_relayed=True)
        self._deliver(peer, ExchangeArrived(head=head))

    def _end_relay(
        self, peer: str, request_id: RequestId, outcome: AttemptOutcome
    ) -> None:
        run = self._relays.pop((peer, request_id), None)
        if run is not None:
            self._finish(run, outcome)

    def _head_of(self, name: str, request_id: RequestId) -> ExchangeHead:
        state = self.nodes[name].exchanges.get(request_id)
        assert state is not None
        return state.exchange.head

    def _is_poisoned(self, head: ExchangeHead) -> bool:
        return head.digest in self.poisons or any(
            part.part in self.poisons for part in head.parts
        )

    def _reach(self, server_id: ServerId, run: _Run) -> None:
        backend = self.backends[server_id]
        if not self._is_current(run):
            return
        if not backend.alive:
            self._finish(run, AttemptOutcome.NOT_SENT)
            return
        if self._is_poisoned(run.head):
            self.reached.append(self.now)
        backend.runs[run.head.request_id] = run
        born = backend.server.incarnation
        self._after(
            self.rng.uniform(0.03, 0.12),
            lambda: self._begin(server_id, born, run),
        )

    def _is_on(self, server_id: ServerId, born: int, run: _Run) -> bool:
        backend = self.backends[server_id]
        return (
            backend.alive
            and backend.server.incarnation == born
            and backend.runs.get(run.head.request_id) is run
        )

    def _is_current(self, run: _Run) -> bool:
        key = (run.host, run.head.request_id)
        return self._attempts.get(key) == run.attempt

    def _begin(self, server_id: ServerId, born: int, run: _Run) -> None:
        if not self._is_on(server_id, born, run):
            return
        if not self._is_current(run):
            del self.backends[server_id].runs[run.head.request_id]
            return
        if self._is_poisoned(run.head):
            self.crashed_at.append(self.now)
            self.crash(server_id)
            return
        version = self.backends[server_id].server.version
        if version in self.bad_versions and self.rng.random() < 0.5:
            self.crash(server_id)
            return
        run.started = True
        self._post_run(run, ResponseStarted(request_id=run.head.request_id))
        if not run.head.parts:
            self._complete(server_id, run)
            return
        ends_at = self.now + self.rng.uniform(0.4, 1.6)
        self._after(
            ACTIVITY_S, lambda: self._go_on(server_id, born, run, ends_at)
        )

    def _go_on(
        self, server_id: ServerId, born: int, run: _Run, ends_at: float
    ) -> None:
        if not self._is_on(server_id, born, run):
            return
        if self.now >= ends_at:
            self._complete(server_id, run)
            return
        self._post_run(run, ServerActivity(server_id=server_id))
        self._after(
            ACTIVITY_S, lambda: self._go_on(server_id, born, run, ends_at)
        )

    def _complete(self, server_id: ServerId, run: _Run) -> None:
        del self.backends[server_id].runs[run.head.request_id]
        self.served += 1
        self._retries.pop(run.head.request_id, None)
        self._finish(run, AttemptOutcome.DONE)

    def _post_run(self, run: _Run, event: Event) -> None:
        if self._is_current(run):
            self._deliver(run.host, event)

    def _finish(self, run: _Run, outcome: AttemptOutcome) -> None:
        if not self._is_current(run):
            return
        event = AttemptFinished(
            request_id=run.head.request_id,
            outcome=outcome,
            response_started=run.started,
            last_event=1 if run.started else None,
        )
        self._deliver(run.host, event)
        if outcome is AttemptOutcome.DONE:
            self._end_relay(run.host, run.head.request_id, outcome)

    # Servers

    def crash(self, server_id: ServerId) -> None:
        """End a server; it is back after some seconds as a new process."""
        backend = self.backends[server_id]
        if not backend.alive:
            return
        backend.alive = False
        runs = list(backend.runs.values())
        backend.runs.clear()
        for run in runs:
            self._finish(run, AttemptOutcome.BROKEN)
        self._after(UNLISTED_AFTER_S, lambda: self._list(server_id, False))
        self._after(BACK_AFTER_S, lambda: self._restart(server_id))

    def crash_all(
        self, server_ids: Iterable[ServerId], spread_s: float
    ) -> None:
        """End servers within some time."""
        for server_id in server_ids:
            self._after(
                self.rng.uniform(0.0, spread_s),
                lambda s=server_id: self.crash(s),  # type: ignore[misc]
            )

    def in_domain(self, domain: FailureDomain) -> list[ServerId]:
        """Return the servers of a failure domain."""
        return [
            server_id
            for server_id, backend in self.backends.items()
            if backend.server.failure_domain == domain
        ]

    def drain(self, server_id: ServerId, gone_after_s: float) -> None:
        """Announce that a server leaves, and end it then."""
        self.backends[server_id].draining = True
        self._post_listing()
        self._after(gone_after_s, lambda: self.crash(server_id))

    def break_response(self, server_id: ServerId) -> None:
        """Break the newest response of a server that goes on."""
        backend = self.backends[server_id]
        if backend.alive and backend.runs:
            _, run = backend.runs.popitem()
            self._finish(run, AttemptOutcome.BROKEN)

    def upgrade(self, server_id: ServerId, version: str) -> None:
        """Replace the process of a server by one of another version."""
        backend = self.backends[server_id]
        backend.server = replace(
            backend.server,
            version=VersionId(version),
            incarnation=backend.server.incarnation + 1,
        )
        backend.runs.clear()
        self._post_listing()

    def _list(self, server_id: ServerId, listed: bool) -> None:
        self.backends[server_id].listed = listed
        self._post_listing()

    def _restart(self, server_id: ServerId) -> None:
        backend = self.backends[server_id]
        backend.alive = backend.listed = True
        backend.draining = False
        backend.server = replace(
            backend.server, incarnation=backend.server.incarnation + 1
        )
        self._post_listing()

    def _listing(self) -> BackendsListed:
        return BackendsListed(
            version=self._listing_version,
            backends=tuple(
                ListedBackend(server=b.server, draining=b.draining)
                for b in self.backends.values()
                if b.listed
            ),
        )

    def _post_listing(self) -> None:
        self._listing_version += 1
        listing = self._listing()
        for name in self.nodes:
            self._deliver(name, listing)

    # Findings

    def sent_after(self, crashes: int, contact_s: float) -> int:
        """Count what reached servers after a number of crashes.

        Those within `contact_s` of that crash are left out.
        """
        if len(self.crashed_at) < crashes:
            return 0
        since = self.crashed_at[crashes - 1] + contact_s
        return sum(at > since for at in self.reached)

    def held(self) -> set[str]:
        """Return the parts that any host refuses."""
        return {
            entry.key
            for node in self.nodes.values()
            for entry in node.quarantine.entries
            if entry.state is InputState.HELD
        }

    def ever_held(self) -> set[str]:
        """Return the parts that a host has quarantined at any time."""
        return {
            action.entry.key
            for _, action in self.actions
            if isinstance(action, QuarantineChanged)
            and action.entry.state is InputState.HELD
        }

    # Disruptions that are not due to a request

    def disrupt(self, until: float) -> None:
        """Lose servers in all the ways that servers are lost."""
        while True:
            at = self.now + self.rng.expovariate(1.0)
            if at > until:
                return
            self.run(at)
            kind = self.rng.choice(
                (
                    self._crash_some,
                    self._crash_some,
                    self._lose_domain,
                    self._reclaim,
                    self._turn_grey,
                    self._release_bad,
                )
            )
            kind()

    def _crash_some(self) -> None:
        count = self.rng.randrange(1, 1 + max(1, len(self.backends) // 6))
        some = self.rng.sample(sorted(self.backends), count)
        self.crash_all(some, self.rng.choice((0.0, 0.01, 2.0)))

    def _lose_domain(self) -> None:
        domain = self.rng.choice(DOMAINS)
        self.crash_all(self.in_domain(domain), self.rng.choice((0.0, 0.9)))

    def _reclaim(self) -> None:
        for server_id in self.in_domain(self.rng.choice(DOMAINS))[::2]:
            self.drain(server_id, 2.0)

    def _turn_grey(self) -> None:
        server_id = self.rng.choice(sorted(self.backends))
        for _ in range(10):
            self._after(
                self.rng.uniform(0.0, 4.0),
                lambda: self.break_response(server_id),
            )

    def _release_bad(self) -> None:
        some = self.rng.sample(
            sorted(self.backends), max(1, len(self.backends) // 8)
        )
        self.bad_versions = {"v2"}
        for server_id in some:
            self.upgrade(server_id, "v2")
            self._after(
                6.0,
                lambda s=server_id: self.upgrade(s, "v1"),  # type: ignore[misc]
            )
