"""Nodes on simulated time before servers that one request can crash."""

from typing import Final

from tests.core.bus import SERVICE, Bus, make_contract
from waxwingarch.core.base import (
    Action,
    AttemptId,
    Event,
    FailureDomain,
    HostId,
    RequestId,
    Server,
    ServerId,
    ServerKind,
    VersionId,
)
from waxwingarch.core.events import RequestArrived, ServersListed
from waxwingarch.core.request import (
    AttemptEnded,
    AttemptLost,
    AttemptMode,
    ChunkArrived,
    Complete,
    DropAttempt,
    LossKind,
    Refuse,
    StartAttempt,
)
from waxwingarch.core.requests.assembly import TokenAssembly

# The bus delivers events after its own short delay.
CRASH_AFTER_S: Final = 0.05
FIRST_TOKEN_S: Final = 0.05
ANSWER_S: Final = 0.4
DOWN_S: Final = 5.0
# A server that is down is listed for this long, as heartbeats lapse.
LISTED_S: Final = 0.5
TOKENS: Final = ("a", "b")
POISON: Final = "poison"


class CrashingBus(Bus):
    """Servers end when they begin to answer a request with a poison digest.

    They are back `DOWN_S` seconds later, as another process. `reached` has
    the times at which such a request came to a server that lived.
    """

    def __init__(self, hosts: int, servers: int) -> None:
        self._later: list[tuple[float, int, str, Event]] = []
        self._incarnations = {ServerId(f"s{n}"): 1 for n in range(servers)}
        self._down: dict[ServerId, float] = {}
        self._unlist_at: list[float] = []
        self._attempts: dict[AttemptId, tuple[ServerId, str, RequestId]] = {}
        self._digests: dict[RequestId, str] = {}
        self.reached: list[float] = []
        self.crashes: list[float] = []
        self.completed: list[RequestId] = []
        self.refused: dict[RequestId, Refuse] = {}
        super().__init__(hosts, make_contract(rate=1000.0, concurrency=500))
        self._list_servers()

    def arrive(self, name: str, digest: str) -> RequestId:
        """Let a request arrive at a host."""
        request = self.request(body_digest=digest, first_token_s=1.0)
        self._digests[request.request_id] = digest
        self.post(name, RequestArrived(request=request))
        return request.request_id

    def advance(self, seconds: float) -> None:
        """Run the nodes and the servers together."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.run(min(0.01, until - self.now))
            self._restart()
            due = [entry for entry in self._later if entry[0] <= self.now]
            self._later = [e for e in self._later if e[0] > self.now]
            for _, _, name, event in sorted(due, key=lambda e: e[:2]):
                self._post_attempt_event(name, event)

    def _post_attempt_event(self, name: str, event: Event) -> None:
        attempt_id = getattr(event, "attempt_id", None)
        if attempt_id is None or attempt_id not in self._attempts:
            return
        if isinstance(event, AttemptLost) and event.kind is LossKind.CUT:
            server_id = self._attempts[attempt_id][0]
            if server_id not in self._down:
                self.crash(server_id)
                return
        if isinstance(event, AttemptEnded):
            del self._attempts[attempt_id]
        self.post(name, event)

    def live_servers(self) -> list[ServerId]:
        """Return the servers that are not down."""
        return [s for s in self._incarnations if s not in self._down]

    def crash(self, server_id: ServerId) -> None:
        """End a server, with the requests that are on it."""
        self.crashes.append(self.now)
        self._down[server_id] = self.now + DOWN_S
        self._unlist_at.append(self.now + LISTED_S)
        for attempt_id, (on, name, request_id) in list(self._attempts.items()):
            if on == server_id:
                del self._attempts[attempt_id]
                lost = AttemptLost(
                    request_id=request_id,
                    attempt_id=attempt_id,
                    kind=LossKind.CUT,
                )
                self.post(name, lost)

    def _restart(self) -> None:
        back = [s for s, at in self._down.items() if at <= self.now]
        for server_id in back:
            del self._down[server_id]
            self._incarnations[server_id] += 1
        if back or any(at <= self.now for at in self._unlist_at):
            self._unlist_at = [t for t in self._unlist_at if t > self.now]
            self._list_servers()

    def _is_listed(self, server_id: ServerId) -> bool:
        back_at = self._down.get(server_id)
        return back_at is None or self.now < back_at - DOWN_S + LISTED_S

    def _list_servers(self) -> None:
        listed = ServersListed(
            servers=tuple(
                _server(server_id, incarnation)
                for server_id, incarnation in self._incarnations.items()
                if self._is_listed(server_id)
            ),
            entry_hosts=tuple(HostId(name) for name in self.nodes),
        )
        for name in self.nodes:
            self.post(name, listed)

    def _perform(self, name: str, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start(name, action)
            case DropAttempt():
                self._attempts.pop(action.attempt_id, None)
            case Complete():
                self.completed.append(action.request_id)
            case Refuse():
                self.refused[action.request_id] = action
            case _:
                super()._perform(name, action)

    def _start(self, name: str, action: StartAttempt) -> None:
        ids = {
            "request_id": action.request_id,
            "attempt_id": action.attempt_id,
        }
        is_attach = action.mode is AttemptMode.ATTACH
        self._attempts[action.attempt_id] = (
            action.server_id,
            name,
            action.request_id,
        )
        if action.server_id in self._down or is_attach:
            kind = LossKind.NOT_HELD
            if action.server_id in self._down:
                kind = LossKind.NOT_SENT
            self._after(0.002, name, AttemptLost(kind=kind, **ids))
        elif self._digests[action.request_id].startswith(POISON):
            self.reached.append(self.now)
            lost = AttemptLost(kind=LossKind.CUT, **ids)
            self._after(CRASH_AFTER_S, name, lost)
        else:
            assembly = TokenAssembly()
            assembly.add(0, TOKENS)
            rest = TOKENS[action.offset :]
            chunk = ChunkArrived(offset=action.offset, tokens=rest, **ids)
            end = AttemptEnded(
                total=len(TOKENS), digest=assembly.digest, **ids
            )
            self._after(FIRST_TOKEN_S, name, chunk)
            self._after(ANSWER_S, name, end)

    def _after(self, delay_s: float, name: str, event: Event) -> None:
        number = next(self._order)
        self._later.append((self.now + delay_s, number, name, event))


def _server(server_id: ServerId, incarnation: int) -> Server:
    return Server(
        server_id=server_id,
        address=f"{server_id}:{incarnation}",
        failure_domain=FailureDomain(f"d{int(server_id[1:]) % 3}"),
        service=SERVICE,
        kind=ServerKind.ENGINE,
        version=VersionId("v1"),
        machine_class="large",
        reclaimable=True,
        price=1.0,
        slots=64,
        incarnation=incarnation,
    )
