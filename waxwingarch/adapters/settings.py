"""Settings of a contract node's daemon, read from an INI file."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from waxwingarch.adapters.ini import (
    Address,
    Addresses,
    Name,
    parse_ini,
    read_text,
    validate,
)

MIN_KEY_HEX_DIGITS = 32


def _check_hex_key(value: str) -> str:
    try:
        bytes.fromhex(value)
    except ValueError:
        raise ValueError("want hexadecimal digits") from None
    return value


HexKey = Annotated[
    str, Field(min_length=MIN_KEY_HEX_DIGITS), AfterValidator(_check_hex_key)
]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSection(_Section):
    """The identity of this host and its location."""

    host_id: Name
    region: Name
    failure_domain: Name
    deployment: Name


class ListenSection(_Section):
    """Addresses that this host listens on."""

    http: Address
    admin: Address
    peer_udp: Address
    peer_tcp: Address


class PlatformSection(_Section):
    """The platform's address; `seeds` are UDP addresses of other hosts."""

    address: Address
    seeds: Addresses = ""


class SecuritySection(_Section):
    """Keys shared by the hosts of one deployment, in hexadecimal."""

    cluster_key: HexKey
    operator_key: Annotated[str, Field(min_length=8)]


class LogSection(_Section):
    """Paths of the log file and the event trace.

    An empty `file` logs to standard error; an empty `trace` records none.
    """

    file: str = ""
    trace: str = ""


class Settings(BaseModel):
    """All settings of a contract node's daemon."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: HostSection
    listen: ListenSection
    platform: PlatformSection
    security: SecuritySection
    log: LogSection = LogSection()


def parse_settings(text: str, source: str) -> Settings:
    """Parse and validate settings; raises `SettingsError`."""
    return validate(Settings, parse_ini(text, source), source)


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file; raises `SettingsError`."""
    return parse_settings(read_text(path), str(path))
