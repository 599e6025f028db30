"""The users' platform in small: store, duties and servers together."""

import argparse
import asyncio
import sys
import time
from base64 import b64decode, b64encode
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import orjson

from standins.fleet_server import FleetServer, Run
from standins.fleet_store import LISTEN_IP, FleetStore
from waxwingarch.adapters.http_messages import HttpRequest, HttpResponder
from waxwingarch.adapters.http_server import HttpServer

ENGINE_SERVICE: Final = "pool"
PLAIN_SERVICE: Final = "ledger"
OPERATOR_KEY: Final = "operator-key-1"
HOST_NAME: Final = "calls.example"
ZONES: Final = ("za", "zb")
# A crashed server's row stays until its heartbeat has lapsed.
ROW_LAPSE_S: Final = 1.5
# Time from a crash until the next incarnation of the server is there.
RESTART_S: Final = 3.0

ServerListener = Callable[[FleetServer], None]


@dataclass(kw_only=True, slots=True)
class DutyCall:
    """One call of a duty, as the platform received it."""

    path: str
    holder: str
    fence: int
    body: Any
    at: float = field(default_factory=time.monotonic)


@dataclass(kw_only=True, slots=True)
class FleetConfig:
    """The operator's configuration row; tests change its fields."""

    version: int = 1
    rate: float = 0.0
    keys: tuple[str, ...] = ("key-1",)
    plain_timeout_ms: int = 2000
    stream_timeout_ms: int = 5000
    stream_objective_ms: int = 500
    stream_gap_ms: int = 200
    limits: dict[str, int] = field(
        default_factory=lambda: {"idle_timeout_ms": 15000}
    )
    extra_routes: list[dict[str, Any]] = field(default_factory=list)
    extra_services: list[dict[str, Any]] = field(default_factory=list)
    extra_tenants: list[dict[str, Any]] = field(default_factory=list)

    def row(self) -> bytes:
        """Return the row as JSON."""
        streaming = {
            "host": HOST_NAME,
            "kind": "streaming",
            "timeout_ms": self.stream_timeout_ms,
            "target_latency_ms": self.stream_objective_ms,
            "priority": 1,
            "service": ENGINE_SERVICE,
            "max_attempts": 2,
            "target_gap_ms": self.stream_gap_ms,
        }
        plain = {
            "host": HOST_NAME,
            "timeout_ms": self.plain_timeout_ms,
            "target_latency_ms": 300,
            "service": PLAIN_SERVICE,
            "max_attempts": 2,
        }
        routes = [
            {"name": "draft", "prefix": "/draft/", "resumable": True}
            | streaming,
            {"name": "chat", "prefix": "/chat/"} | streaming,
            {"name": "read", "prefix": "/read/", "kind": "idempotent"} | plain,
            {"name": "pay", "prefix": "/pay/", "kind": "non_idempotent"}
            | plain
            | {"max_attempts": 1},
            *self.extra_routes,
        ]
        tenant = {
            "name": "account-1",
            "api_keys": list(self.keys),
            "unit": "tokens",
            "uncached_tokens": 10,
            "rate_per_s": self.rate,
            "burst": self.rate,
        }
        engine = {
            "slots": 8,
            "kv_cache_tokens": 100_000,
            "moves": True,
            "backups": True,
        }
        services = [
            {"name": ENGINE_SERVICE, "max_connections": 100, "engine": engine},
            {"name": PLAIN_SERVICE, "max_connections": 100},
            *self.extra_services,
        ]
        return orjson.dumps(
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": self.limits,
                "tenants": [tenant, *self.extra_tenants],
            }
        )


class Fleet:
    """A platform with servers, all in this process.

    `server_type` is that of the servers, which may be other processes.
    """

    def __init__(self, server_type: type[FleetServer] = FleetServer) -> None:
        self._server_type = server_type
        self.store = FleetStore()
        self.servers: list[FleetServer] = []
        self.runs: list[Run] = []
        self.duty_calls: list[DutyCall] = []
        self.duty_status = 200
        self.config = FleetConfig()
        self.cloud_address = ""
        # The ids of prompt parts and the targets under which servers crash,
        # and the ids of the servers that crashed under one.
        self.crashing_inputs: set[str] = set()
        self.crashes: list[str] = []
        self.crash_listener: ServerListener = lambda server: None
        self.async_restart_listener = self._async_register
        self._restarts: set[asyncio.Task[None]] = set()
        self._duty_server = HttpServer(self._async_duty)

    async def async_setup(self, engines: int = 2, plain: int = 2) -> None:
        """Start store and servers, register these, write the configuration."""
        await self.store.async_setup()
        port = await self._duty_server.async_setup(LISTEN_IP, 0)
        self.cloud_address = f"{LISTEN_IP}:{port}"
        for n in range(engines):
            await self.async_add_server(f"e-{n}", ENGINE_SERVICE, engine=True)
        for n in range(plain):
            await self.async_add_server(f"p-{n}", PLAIN_SERVICE, engine=False)
        self.put_config()

    async def async_unload(self) -> None:
        """Stop everything."""
        for task in self._restarts:
            task.cancel()
        for server in self.servers:
            await server.async_unload()
        await self._duty_server.async_unload()
        await self.store.async_unload()

    async def async_add_server(
        self, server_id: str, service: str, *, engine: bool
    ) -> FleetServer:
        """Start a server and register it."""
        zone = ZONES[len(self.servers) % len(ZONES)]
        server = self._server_type(
            server_id,
            service,
            zone,
            engine=engine,
            runs=self.runs,
            crashing_inputs=self.crashing_inputs,
            on_crash=self.on_crash,
        )
        await server.async_setup()
        self.servers.append(server)
        self.register(server)
        return server

    def on_crash(self, server: FleetServer) -> None:
        """Start a server again some time after its crash."""
        self.crashes.append(server.server_id)
        self.crash_listener(server)
        task = asyncio.create_task(self._async_restart(server))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _async_restart(self, server: FleetServer) -> None:
        crashed_at = time.monotonic()
        await server.async_unload()
        await asyncio.sleep(crashed_at + ROW_LAPSE_S - time.monotonic())
        self.withdraw(server)
        await asyncio.sleep(crashed_at + RESTART_S - time.monotonic())
        server.born += 1
        await server.async_setup()
        await self.async_restart_listener(server)

    async def _async_register(self, server: FleetServer) -> None:
        self.register(server)

    def register(
        self, server: FleetServer, state: str = "ready", **overrides: Any
    ) -> None:
        """Write a server's registration row."""
        value = b64encode(server.row(state, **overrides)).decode()
        self.store.put("servers", server.instance_id, value)

    def withdraw(self, server: FleetServer) -> None:
        """Remove a server's registration row."""
        self.store.put("servers", server.instance_id, None)

    def put_config(self) -> None:
        """Write the operator's configuration."""
        value = b64encode(self.config.row()).decode()
        self.store.put("op", "config", value)

    def order_rollout(
        self, service: str, target: str, duration_s: float
    ) -> None:
        """Write the operator's order to move a service to a version."""
        order = {
            "service": service,
            "target": target,
            "duration_s": duration_s,
        }
        value = b64encode(orjson.dumps(order)).decode()
        self.store.put("op", f"rollout/{service}", value)

    def rollout_state(self, service: str) -> str:
        """Return the state that the hosts reported of a rollout, or ""."""
        row = self.store.rows.get(("status", f"rollout/{service}"))
        if row is None or row.value is None:
            return ""
        return str(orjson.loads(b64decode(row.value))["state"])

    def engines(self) -> list[FleetServer]:
        """Return the model engines."""
        return [server for server in self.servers if server.engine]

    def plain(self) -> list[FleetServer]:
        """Return the plain servers."""
        return [server for server in self.servers if not server.engine]

    def running(self, request_id: str) -> bool:
        """Return whether a request is running on any server."""
        return any(server.running(request_id) for server in self.servers)

    def settings(
        self,
        name: str,
        ports: Sequence[int],
        *,
        zone: str = ZONES[0],
        store: str = "",
        duties: str = "",
        admin: str = "",
    ) -> str:
        """Return the settings of a host that listens on four ports.

        `store` and `duties` are addresses of proxies to use instead. `admin`
        is the address for operators, whose key is `OPERATOR_KEY`.
        """
        keys = ("callers", "readiness", "peers", "metrics")
        listen = "".join(
            f"{key} = {LISTEN_IP}:{port}\n"
            for key, port in zip(keys, ports, strict=True)
        )
        if admin:
            listen += f"admin = {admin}\n"
        key = f"operator_key = {OPERATOR_KEY}\n" if admin else ""
        return (
            f"[security]\n{key}"
            f"[host]\nname = {name}\nfailure_domain = {zone}\n"
            f"first_start = true\n[listen]\n{listen}"
            f"[store]\naddress = {store or self.store.address}\n"
            f"[duties]\naddress = {duties or self.cloud_address}\n"
            "kinds = usage_report,scaling\n"
        )

    async def _async_duty(self, req: HttpRequest, resp: HttpResponder) -> None:
        self.duty_calls.append(
            DutyCall(
                path=req.path,
                holder=req.headers.get("x-waxwingarch-duty-holder", ""),
                fence=int(req.headers.get("x-waxwingarch-fencing-token", 0)),
                body=orjson.loads(req.body),
            )
        )
        await resp.async_send(self.duty_status, b"")


async def _async_main(args: argparse.Namespace) -> None:
    fleet = Fleet()
    await fleet.async_setup(args.engines, args.plain)
    for server in fleet.engines():
        server.behaviour.events = args.events
    ports = [args.port + n for n in range(4)]
    sys.stdout.write(fleet.settings("host-1", ports))
    sys.stdout.flush()
    await asyncio.Event().wait()


def main() -> None:
    """Run the emulator and print the settings of a host for it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--plain", type=int, default=2)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(_async_main(parser.parse_args()))


if __name__ == "__main__":
    main()
