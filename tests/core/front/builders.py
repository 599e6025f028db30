"""Builders of routes, servers and requests for the tests."""

from random import Random
from typing import Any

from waxwingarch.core.backends.registry import BackendsListed, ListedBackend
from waxwingarch.core.backends.server_checks import (
    CheckResult,
    ServerChecked,
)
from waxwingarch.core.base import (
    AccountId,
    Action,
    FailureDomain,
    HostId,
    RequestId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.exchange.exchange_messages import (
    ExchangeArrived,
    ExchangeHead,
    PromptPart,
    SendRequest,
    SilenceLasts,
)
from waxwingarch.core.exchange.silence import Silence
from waxwingarch.core.front_messages import (
    ConfigRead,
    FrontBounds,
    FrontIdentity,
)
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.routing.config import (
    EngineTraits,
    RetryPolicy,
    Route,
    RoutedAccount,
    RoutedService,
    RoutingConfig,
    ScalingBounds,
    TrafficSplit,
)

POOL = ServiceId("pool")
LEDGER = ServiceId("ledger")
DOMAINS = tuple(FailureDomain(f"z{n}") for n in range(4))


def server(
    name: str,
    service: ServiceId = POOL,
    *,
    domain: FailureDomain = DOMAINS[0],
    reclaimable: bool = False,
    incarnation: int = 1,
    slots: int = 8,
) -> Server:
    """Return an engine of the pool, or a plain server of another service."""
    engine = service == POOL
    return Server(
        server_id=ServerId(name),
        address=f"{name}:1",
        failure_domain=domain,
        service=service,
        kind=ServerKind.ENGINE if engine else ServerKind.PLAIN,
        version=VersionId("v1"),
        machine_class="",
        reclaimable=reclaimable,
        price=0.0,
        slots=slots,
        incarnation=incarnation,
    )


def make_listing(
    version: int, *servers: Server, after_outage: bool = False, **draining: Any
) -> BackendsListed:
    """Return a listing of servers.

    `draining` maps the names of leaving servers to the seconds after which
    they leave, or to None.
    """
    backends = tuple(
        ListedBackend(
            server=s,
            draining=s.server_id in draining,
            leaves_in_s=draining.get(s.server_id),
        )
        for s in servers
    )
    return BackendsListed(
        version=version, backends=backends, after_outage=after_outage
    )


def route(name: str, **changes: Any) -> Route:
    """Return a route for the prefix `/name/`."""
    values: dict[str, Any] = {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "streaming": True,
        "retry_policy": RetryPolicy.RESUMABLE,
        "timeout_s": 5.0,
        "latency_objective_s": 0.5,
        "max_event_gap_s": 0.2,
        "caller_patience_s": 2.0,
        "priority": 1,
        "splits": (TrafficSplit(service=POOL, weight=1),),
        "max_attempts": 2,
        "public": False,
    }
    return Route(**(values | changes))


def scaling(maximum: int = 3) -> ScalingBounds:
    """Return scaling bounds over four failure domains."""
    return ScalingBounds(
        minimum=1,
        maximum=maximum,
        boot_s=4.0,
        reclaimable_price=0.2,
        domain_prices={d: 1.0 + n for n, d in enumerate(DOMAINS)},
    )


def config(
    version: int = 1, *, rate: float = 0.0, keys: tuple[str, ...] = ("k",)
) -> RoutingConfig:
    """Return a configuration with a route for each retry policy."""
    plain = {
        "streaming": False,
        "splits": (TrafficSplit(service=LEDGER, weight=1),),
    }
    return RoutingConfig(
        version=version,
        routes=(
            route("draft"),
            route("chat", retry_policy=RetryPolicy.NON_IDEMPOTENT),
            route("read", retry_policy=RetryPolicy.IDEMPOTENT, **plain),
            route(
                "pay",
                retry_policy=RetryPolicy.NON_IDEMPOTENT,
                max_attempts=1,
                **plain,
            ),
        ),
        services=(
            RoutedService(
                service=POOL,
                health_path="/health",
                max_connections=100,
                engine=EngineTraits(
                    slots=8,
                    kv_tokens=100_000,
                    can_migrate=True,
                    can_back_up=True,
                ),
                scaling=scaling(),
            ),
            RoutedService(
                service=LEDGER, health_path="/health", max_connections=100
            ),
        ),
        accounts=(
            RoutedAccount(
                account=AccountId("a"),
                keys=keys,
                priority=None,
                counts_tokens=True,
                default_tokens=10,
                rate=rate,
                burst=rate,
            ),
        ),
    )


def make_head(
    name: str, path: str = "/draft/x", **changes: Any
) -> ExchangeHead:
    """Return the head of a request of the client account."""
    values: dict[str, Any] = {
        "request_id": RequestId(name),
        "host": "h.example",
        "path": path,
        "key": "k",
        "caller_timeout_s": 4.0,
        "prompt_tokens": 1000,
        "output_tokens": 100,
        "has_token_counts": True,
        "parts": (
            PromptPart(part="p0", tokens=300),
            PromptPart(part=f"own-{name}", tokens=700),
        ),
    }
    return ExchangeHead(**(values | changes))


def front(
    *,
    host: str = "h1",
    first_start: bool = True,
    duties: frozenset[str] = frozenset(),
    **bounds: float,
) -> FrontNode:
    """Return a node that has no configuration and knows no servers yet."""
    identity = FrontIdentity(
        host=HostId(host),
        incarnation=1,
        domain=DOMAINS[0],
        address=f"10.0.0.9:{len(host)}",
        first_start=first_start,
        duties=duties,
    )
    return FrontNode(identity, FrontBounds(**bounds), Random(1))


def serving_front(*servers: Server, rate: float = 0.0) -> FrontNode:
    """Return a node with a configuration and servers."""
    node = front()
    node.handle(0.0, ConfigRead(cfg=config(rate=rate)))
    known = servers or (
        server("e1"),
        server("e2"),
        server("p1", LEDGER),
        server("p2", LEDGER),
    )
    node.handle(0.0, make_listing(1, *known))
    return node


def arrive(
    node: FrontNode,
    name: str,
    path: str = "/draft/x",
    now: float = 1.0,
    **more: Any,
) -> Action:
    """Post the arrival of a request; return the one resulting action."""
    [action] = node.handle(
        now, ExchangeArrived(head=make_head(name, path, **more))
    )
    return action


def check(
    node: FrontNode,
    send: Action,
    at: float,
    result: CheckResult,
    since: float = 1.0,
) -> list[Action]:
    """Report that the server of an attempt is silent, and a check of it.

    Returns the actions after the report of the silence.
    """
    assert isinstance(send, SendRequest)
    server_id = send.server.server_id
    actions = node.handle(
        at,
        SilenceLasts(
            request_id=send.request_id, server_id=server_id, since=since
        ),
    )
    node.handle(
        at, ServerChecked(server_id=server_id, result=result, began_at=at)
    )
    return actions


def may_leave(
    node: FrontNode,
    send: Action,
    now: float,
    *,
    since: float = 1.0,
    response_started: bool = True,
) -> bool:
    """Return whether the attempt may leave a server silent since a time."""
    assert isinstance(send, SendRequest)
    silence = Silence(
        send=send, since=since, response_started=response_started
    )
    return node.exchanges.silence.may_leave(now, silence)


def may_leave_lost_server(node: FrontNode, send: Action, now: float) -> bool:
    """Return whether the attempt may leave a server that two checks missed."""
    for at in (now - 0.7, now):
        check(node, send, at, CheckResult.NO_ANSWER)
    return may_leave(node, send, now, since=now - 1.0)
