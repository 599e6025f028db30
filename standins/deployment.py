"""A complete deployment on loopback: stand-ins and entry hosts."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from standins.cluster import Cluster, JsonAnswer, http_json
from standins.ports import free_address

CLUSTER_KEY: Final = "00112233445566778899aabbccddeeff"
OPERATOR_KEY: Final = "operator-key"
ACCOUNT_KEY: Final = "account-key-1"
DOMAINS: Final = ("hn-a", "hn-b", "hn-c", "hn-d")
READY_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.02

SETTINGS: Final = """
[host]
host_id = {host_id}
region = {region}
failure_domain = {failure_domain}
deployment = test
[listen]
http = {http}
admin = {admin}
peer_udp = {peer_udp}
peer_tcp = {peer_tcp}
[platform]
address = {platform}
seeds = {seeds}
[security]
cluster_key = {cluster_key}
operator_key = {operator_key}
[log]
trace = {trace}
"""

CONTRACT: Final = """
[contract]
account = {account}
key = {key}
[latency]
first_token_ms = 850
between_tokens_ms = 25
whole_answer_ms = 30000
[limits]
rate = {rate}
burst = {burst}
concurrency = {concurrency}
share = {share}
priority = 1
[route text]
path = /v1/
service = waxwing-pool
[route ledger]
path = /ledger/
service = drive-ledger
[route disbursements]
path = /ledger/disbursements
service = drive-ledger
non_idempotent = true
outcome_query = true
"""


def contract_text(
    account: str = "charity-1",
    key: str = ACCOUNT_KEY,
    rate: int = 1000,
    burst: int = 1000,
    concurrency: int = 1000,
    share: float = 0.5,
) -> str:
    """Return a contract with model and ledger routes."""
    return CONTRACT.format(
        account=account,
        key=key,
        rate=rate,
        burst=burst,
        concurrency=concurrency,
        share=share,
    )


def wait_until(
    condition: Callable[[], object],
    description: str,
    limit_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait for a condition; raises `AssertionError` after the limit."""
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {limit_s} s: {description}")
        time.sleep(POLL_INTERVAL_S)


OptionsOf = Callable[[str], tuple[str, ...]]


def _no_options(_name: str) -> tuple[str, ...]:
    return ()


@dataclass(frozen=True, kw_only=True, slots=True)
class HostAddresses:
    """The failure domain and the listening addresses of an entry host."""

    host_id: str
    failure_domain: str
    http: str
    admin: str
    peer_udp: str
    peer_tcp: str


@dataclass(kw_only=True)
class Deployment:
    """Builds a deployment step by step on a cluster of processes."""

    cluster: Cluster
    platform: str = ""
    servers: dict[str, dict[str, Any]] = field(default_factory=dict)
    hosts: dict[str, HostAddresses] = field(default_factory=dict)

    def start_platform(self, *options: str) -> None:
        """Start the platform with an empty list of hosts."""
        empty: dict[str, list[object]] = {"hosts": [], "entry_hosts": []}
        self.platform = self.cluster.start_platform(empty, *options)

    def start_engines(
        self,
        count: int,
        *options: str,
        version: str = "v1",
        prefix: str = "engine",
        state: str = "live",
        options_of: OptionsOf = _no_options,
    ) -> list[str]:
        """Start engines in parallel and return their server ids."""
        names = [f"{prefix}-{n}" for n in range(1, count + 1)]
        for name in names:
            self.cluster.start_engine(
                name,
                "waxwing-pool",
                "--version",
                version,
                "--platform",
                self.platform,
                *options,
                *options_of(name),
                wait=False,
            )
        for n, name in enumerate(names):
            self._add_server_row(
                name, "waxwing-pool", "engine", version, n, state
            )
        return names

    def start_services(
        self, count: int, *options: str, options_of: OptionsOf = _no_options
    ) -> list[str]:
        """Start plain services in parallel and return their server ids."""
        names = [f"ledger-{n}" for n in range(1, count + 1)]
        for name in names:
            self.cluster.start_service(
                name,
                "drive-ledger",
                *options,
                *options_of(name),
                wait=False,
            )
        for n, name in enumerate(names):
            self._add_server_row(
                name, "drive-ledger", "plain", "v1", n, "live"
            )
        return names

    def _add_server_row(
        self,
        name: str,
        service: str,
        kind: str,
        version: str,
        n: int,
        state: str,
    ) -> None:
        self.servers[name] = {
            "server_id": name,
            "address": self.cluster.wait_address(name),
            "failure_domain": DOMAINS[n % len(DOMAINS)],
            "service": service,
            "kind": kind,
            "version": version,
            "machine_class": "large",
            "reclaimable": n % 2 == 0,
            "price": 1.0 if n % 2 == 0 else 3.0,
            "slots": 16,
            "incarnation": 1,
            "state": state,
        }

    def start_hosts(self, count: int, *, wait: bool = True) -> list[str]:
        """Start entry hosts in parallel and return their names."""
        first = len(self.hosts) + 1
        names = [f"entry-{n}" for n in range(first, first + count)]
        for n, name in enumerate(names):
            self.hosts[name] = HostAddresses(
                host_id=name,
                failure_domain=DOMAINS[n % len(DOMAINS)],
                http=free_address(),
                admin=free_address(),
                peer_udp=free_address(),
                peer_tcp=free_address(),
            )
        self.publish()
        for name in names:
            self.start_host(name, wait=False)
        if wait:
            for name in names:
                self.wait_ready(name)
        return names

    def start_host(self, name: str, *, wait: bool = True) -> None:
        """Start or restart the daemon of one entry host."""
        host = self.hosts[name]
        self.cluster.start_daemon(
            name, self.settings_of(host), host.http, wait=False
        )
        if wait:
            self.wait_ready(name)

    def settings_of(self, host: HostAddresses) -> str:
        """Return the settings file of one entry host."""
        seeds = [
            other.peer_udp
            for other in self.hosts.values()
            if other.host_id != host.host_id
        ]
        return SETTINGS.format(
            host_id=host.host_id,
            region="hanoi",
            failure_domain=host.failure_domain,
            http=host.http,
            admin=host.admin,
            peer_udp=host.peer_udp,
            peer_tcp=host.peer_tcp,
            platform=self.platform,
            seeds=" ".join(seeds[:3]),
            cluster_key=CLUSTER_KEY,
            operator_key=OPERATOR_KEY,
            trace=self.cluster.root / f"{host.host_id}.trace",
        )

    def wait_ready(self, name: str) -> None:
        """Wait until an entry host reports that it is ready."""

        def ready() -> bool:
            self.cluster.check_alive(name)
            return self.is_ready(name)

        wait_until(ready, f"{name} is ready")

    def is_ready(self, name: str) -> bool:
        """Return whether an entry host reports that it is ready."""
        try:
            answer = http_json(
                "GET", self.hosts[name].http, "/health/ready", timeout_s=1.0
            )
        except OSError:
            return False
        return answer.status == 200

    def publish(self) -> None:
        """Write the current list of hosts to the platform."""
        self.cluster.put_hosts(
            {
                "hosts": list(self.servers.values()),
                "entry_hosts": self.entry_host_rows(),
            }
        )

    def entry_host_rows(self) -> list[dict[str, Any]]:
        """Return the entry hosts as the platform lists them."""
        return [
            {
                "host_id": host.host_id,
                "region": "hanoi",
                "failure_domain": host.failure_domain,
                "http": host.http,
                "peer_tcp": host.peer_tcp,
                "peer_udp": host.peer_udp,
                "incarnation": 1,
            }
            for host in self.hosts.values()
        ]

    def put_contracts(self, *texts: str) -> None:
        """Write contracts directly into the table, as one revision."""
        documents = {f"contract/{n}": text for n, text in enumerate(texts)}
        self.put_documents(documents)

    def put_documents(self, documents: dict[str, str]) -> None:
        """Write settings documents into the table, as one revision."""
        row = http_json("GET", self.platform, "/v1/table/settings/revision")
        current = row.body["value"] or {"revision": 0}
        revision = current["revision"] + 1
        writes: list[dict[str, Any]] = [
            {
                "table": "settings",
                "key": f"doc/{name}",
                "value": {"text": text, "revision": revision},
            }
            for name, text in documents.items()
        ]
        writes.append(
            {
                "table": "settings",
                "key": "revision",
                "value": {
                    "revision": revision,
                    "change_id": f"direct-{revision}",
                    "changed": list(documents),
                },
            }
        )
        answer = http_json(
            "POST",
            self.platform,
            "/v1/table/transact",
            {"conditions": [], "writes": writes},
        )
        if answer.status != 200:
            raise AssertionError(f"settings not written: {answer.body}")

    def admin(
        self, name: str, method: str, path: str, body: object = None
    ) -> JsonAnswer:
        """Call the operators' interface of an entry host."""
        return http_json(
            method,
            self.hosts[name].admin,
            path,
            body,
            headers={"x-operator-key": OPERATOR_KEY},
        )
