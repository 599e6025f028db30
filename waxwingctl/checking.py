"""Offline checks of settings and contracts, alone and together."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import orjson

from waxwingarch.adapters.contract_check import (
    FIRST_TOKEN_FLOOR_MS,
    SourcedContract,
    find_problems,
)
from waxwingarch.adapters.contract_ini import parse_contract
from waxwingarch.adapters.ini import parse_ini
from waxwingarch.adapters.settings import Settings, parse_settings
from waxwingarch.exceptions import SettingsError, WaxwingError
from waxwingctl.errors import RefusedError
from waxwingctl.files import read_text

SETTINGS: Final = "settings"
CONTRACT: Final = "contract"
LISTENS: Final = ("http", "admin", "peer_udp", "peer_tcp")


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckOptions:
    """What the files are checked against."""

    deployment: str | None = None
    servers: Path | None = None
    first_token_floor_ms: float = FIRST_TOKEN_FLOOR_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckedFile:
    """A file that is valid by itself."""

    source: str
    kind: str
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _HostFile:
    source: str
    settings: Settings


@dataclass(kw_only=True, slots=True)
class CheckReport:
    """What the checks found; no problems means all is well."""

    files: list[CheckedFile] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


class _Checker:
    """Reads the files one by one, then looks at them together."""

    def __init__(self, options: CheckOptions) -> None:
        self._options = options
        self._report = CheckReport()
        self._hosts: list[_HostFile] = []
        self._contracts: list[SourcedContract] = []
        self._deployments: dict[str, str] = {}

    def run(self, paths: Sequence[Path]) -> CheckReport:
        """Check all files."""
        for path in paths:
            self._guard(self._read, path)
        problems = self._report.problems
        problems += self._other_deployments()
        problems += _host_problems(self._hosts)
        self._guard(self._check_contracts)
        return self._report

    def _guard(self, step: Any, *args: Any) -> None:
        try:
            step(*args)
        except WaxwingError as exc:
            self._report.problems += str(exc).splitlines()

    def _read(self, path: Path) -> None:
        source = str(path)
        text = read_text(path)
        sections = parse_ini(text, source)
        if "host" in sections:
            self._read_host(text, source)
        elif "contract" in sections:
            self._read_contract(text, source, sections)
        else:
            raise SettingsError(
                f"{source}: has neither [host] nor [contract]; settings begin"
                " with [host], contracts with [contract]"
            )

    def _read_host(self, text: str, source: str) -> None:
        settings = parse_settings(text, source)
        self._hosts.append(_HostFile(source=source, settings=settings))
        self._deployments[source] = settings.host.deployment
        self._add(source, SETTINGS, settings.host.host_id)

    def _read_contract(
        self, text: str, source: str, sections: dict[str, dict[str, str]]
    ) -> None:
        contract = parse_contract(text, source)
        self._contracts.append(
            SourcedContract(source=source, contract=contract)
        )
        named = sections["contract"].get("deployment")
        if named:
            self._deployments[source] = named
        self._add(source, CONTRACT, contract.account)

    def _add(self, source: str, kind: str, name: str) -> None:
        checked = CheckedFile(source=source, kind=kind, name=name)
        self._report.files.append(checked)

    def _other_deployments(self) -> Iterator[str]:
        """Tell which files are of another deployment than the first."""
        wanted = self._options.deployment
        for source, deployment in self._deployments.items():
            wanted = wanted or deployment
            if deployment == wanted:
                continue
            section = "contract" if self._is_contract(source) else "host"
            yield (
                f"{source}: [{section}] deployment: is {deployment}; want"
                f" {wanted}: check the files of one deployment at a time"
            )

    def _is_contract(self, source: str) -> bool:
        return any(one.source == source for one in self._contracts)

    def _check_contracts(self) -> None:
        services = None
        if self._options.servers:
            services = services_in(self._options.servers)
        found = find_problems(
            self._contracts,
            services=services,
            first_token_floor_ms=self._options.first_token_floor_ms,
        )
        self._report.problems += [str(problem) for problem in found]


def check_files(paths: Sequence[Path], options: CheckOptions) -> CheckReport:
    """Check files alone and together."""
    return _Checker(options).run(paths)


def services_in(path: Path) -> frozenset[str]:
    """Return the services of a platform's hosts list (JSON)."""
    try:
        rows = orjson.loads(read_text(path))["hosts"]
        return frozenset(str(row["service"]) for row in rows)
    except (orjson.JSONDecodeError, KeyError, TypeError) as exc:
        raise RefusedError(
            f'{path}: no hosts list ({exc!r}); want JSON as {{"hosts":'
            ' [{"service": ...}]}'
        ) from exc


def _host_problems(hosts: Iterable[_HostFile]) -> Iterator[str]:
    """Tell what two hosts of a deployment must not or must share."""
    ids: dict[str, str] = {}
    addresses: dict[str, str] = {}
    first: _HostFile | None = None
    for host in hosts:
        settings, source = host.settings, host.source
        host_id = settings.host.host_id
        if host_id in ids:
            yield (
                f"{source}: [host] host_id: {host_id} is in {ids[host_id]}"
                " too; give each host its own"
            )
        ids.setdefault(host_id, source)
        yield from _address_problems(host, addresses)
        first = first or host
        if (
            settings.security.cluster_key
            != first.settings.security.cluster_key
        ):
            yield (
                f"{source}: [security] cluster_key: differs from"
                f" {first.source}; all hosts of a deployment share one"
            )


def _address_problems(
    host: _HostFile, addresses: dict[str, str]
) -> Iterator[str]:
    listen = host.settings.listen
    for name in LISTENS:
        address = getattr(listen, name)
        # UDP and TCP ports of one number do not collide.
        key = f"udp {address}" if name == "peer_udp" else f"tcp {address}"
        place = f"{host.source} [listen] {name}"
        if key in addresses:
            yield (
                f"{host.source}: [listen] {name}: {address} is used by"
                f" {addresses[key]} too; give each listener its own"
            )
        addresses.setdefault(key, place)
