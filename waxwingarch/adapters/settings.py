"""Settings of a daemon, read from an INI file."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from waxwingarch.adapters.ini import parse_ini, validate
from waxwingarch.exceptions import SettingsError

MIN_KEY_HEX_DIGITS = 32


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("want IP:PORT, as in 10.0.0.1:8080")
    return value


def _check_addresses(value: str) -> str:
    for part in value.split():
        _check_address(part)
    return value


def _check_hex_key(value: str) -> str:
    try:
        bytes.fromhex(value)
    except ValueError:
        raise ValueError("want hexadecimal digits") from None
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Addresses = Annotated[str, AfterValidator(_check_addresses)]
HexKey = Annotated[
    str, Field(min_length=MIN_KEY_HEX_DIGITS), AfterValidator(_check_hex_key)
]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class HostSection(_Section):
    """Who this host is and where it stands."""

    host_id: Name
    region: Name
    failure_domain: Name
    deployment: Name


class ListenSection(_Section):
    """Addresses this host listens on."""

    http: Address
    admin: Address
    peer_udp: Address
    peer_tcp: Address


class PlatformSection(_Section):
    """Where the platform is; `seeds` are UDP addresses of other hosts."""

    address: Address
    seeds: Addresses = ""


class SecuritySection(_Section):
    """Keys shared by the hosts of one deployment, in hexadecimal."""

    cluster_key: HexKey
    operator_key: Annotated[str, Field(min_length=8)]


class LogSection(_Section):
    """Where logs and the event record go; empty means standard error."""

    file: str = ""
    trace: str = ""


class Settings(BaseModel):
    """All settings of a daemon."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: HostSection
    listen: ListenSection
    platform: PlatformSection
    security: SecuritySection
    log: LogSection = LogSection()


def parse_settings(text: str, source: str) -> Settings:
    """Return the settings in INI text; raises `SettingsError`."""
    return validate(Settings, parse_ini(text, source), source)


def read_settings(path: Path) -> Settings:
    """Return the settings in a file; raises `SettingsError`."""
    return parse_settings(read_text(path), str(path))


def read_text(path: Path) -> str:
    """Return the text of a settings file; raises `SettingsError`."""
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        raise SettingsError(
            f"{path}: is not UTF-8 text ({exc.reason}); save it as UTF-8"
        ) from exc
    except OSError as exc:
        raise SettingsError(
            f"{path}: cannot be read ({exc.strerror}); name a settings file"
        ) from exc
