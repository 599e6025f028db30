"""Offline checks of settings and contracts, each and as a set."""

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
from waxwingctl.errors import InvalidInputError
from waxwingctl.files import read_text

KIND_SETTINGS: Final = "settings"
KIND_CONTRACT: Final = "contract"
LISTENER_NAMES: Final = ("http", "admin", "peer_udp", "peer_tcp")


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckOptions:
    """Constraints that the files have to meet."""

    deployment: str | None = None
    servers: Path | None = None
    first_token_floor_ms: float = FIRST_TOKEN_FLOOR_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckedFile:
    """A file that is valid on its own."""

    source: str
    kind: str
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _SettingsFile:
    source: str
    settings: Settings


@dataclass(kw_only=True, slots=True)
class CheckReport:
    """The valid files, and the problems that the checks found."""

    files: list[CheckedFile] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


class _Checker:
    """Parses each file, then checks all of them as a set."""

    def __init__(self, options: CheckOptions) -> None:
        self._options = options
        self._report = CheckReport()
        self._hosts: list[_SettingsFile] = []
        self._contracts: list[SourcedContract] = []
        self._deployments: dict[str, str] = {}

    def run(self, paths: Sequence[Path]) -> CheckReport:
        """Check all files and return the report."""
        for path in paths:
            self._collect_errors(self._read, path)
        problems = self._report.problems
        problems += self._deployment_problems()
        problems += _settings_problems(self._hosts)
        self._collect_errors(self._check_contracts)
        return self._report

    def _collect_errors(self, check: Any, *args: Any) -> None:
        try:
            check(*args)
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
        self._hosts.append(_SettingsFile(source=source, settings=settings))
        self._deployments[source] = settings.host.deployment
        self._add_file(source, KIND_SETTINGS, settings.host.host_id)

    def _read_contract(
        self, text: str, source: str, sections: dict[str, dict[str, str]]
    ) -> None:
        contract = parse_contract(text, source)
        self._contracts.append(
            SourcedContract(source=source, contract=contract)
        )
        deployment = sections["contract"].get("deployment")
        if deployment:
            self._deployments[source] = deployment
        self._add_file(source, KIND_CONTRACT, contract.account)

    def _add_file(self, source: str, kind: str, name: str) -> None:
        checked_file = CheckedFile(source=source, kind=kind, name=name)
        self._report.files.append(checked_file)

    def _deployment_problems(self) -> Iterator[str]:
        """Yield the files of another deployment than the expected one.

        Without an expected deployment that of the first file counts.
        """
        expected = self._options.deployment
        for source, deployment in self._deployments.items():
            expected = expected or deployment
            if deployment == expected:
                continue
            section = "contract" if self._is_contract(source) else "host"
            yield (
                f"{source}: [{section}] deployment: is {deployment}; want"
                f" {expected}: check the files of one deployment at a time"
            )

    def _is_contract(self, source: str) -> bool:
        return any(
            contract_file.source == source for contract_file in self._contracts
        )

    def _check_contracts(self) -> None:
        services = None
        if self._options.servers:
            services = read_service_names(self._options.servers)
        problems = find_problems(
            self._contracts,
            services=services,
            first_token_floor_ms=self._options.first_token_floor_ms,
        )
        self._report.problems += [str(problem) for problem in problems]


def check_files(paths: Sequence[Path], options: CheckOptions) -> CheckReport:
    """Check each file, and all of them as a set."""
    return _Checker(options).run(paths)


def read_service_names(path: Path) -> frozenset[str]:
    """Return the service names in a platform's hosts list (JSON)."""
    try:
        rows = orjson.loads(read_text(path))["hosts"]
        return frozenset(str(row["service"]) for row in rows)
    except (orjson.JSONDecodeError, KeyError, TypeError) as exc:
        raise InvalidInputError(
            f'{path}: no hosts list ({exc!r}); want JSON as {{"hosts":'
            ' [{"service": ...}]}'
        ) from exc


def _settings_problems(hosts: Iterable[_SettingsFile]) -> Iterator[str]:
    """Yield duplicate host ids and addresses, and unequal cluster keys."""
    ids: dict[str, str] = {}
    addresses: dict[str, str] = {}
    first_host: _SettingsFile | None = None
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
        first_host = first_host or host
        if (
            settings.security.cluster_key
            != first_host.settings.security.cluster_key
        ):
            yield (
                f"{source}: [security] cluster_key: differs from"
                f" {first_host.source}; all hosts of a deployment share one"
            )


def _address_problems(
    host: _SettingsFile, addresses: dict[str, str]
) -> Iterator[str]:
    listen = host.settings.listen
    for name in LISTENER_NAMES:
        address = getattr(listen, name)
        # UDP and TCP ports of one number do not collide.
        key = f"udp {address}" if name == "peer_udp" else f"tcp {address}"
        listener = f"{host.source} [listen] {name}"
        if key in addresses:
            yield (
                f"{host.source}: [listen] {name}: {address} is used by"
                f" {addresses[key]} too; give each listener its own"
            )
        addresses.setdefault(key, listener)
