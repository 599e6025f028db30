"""Conversion between socket addresses and their text form."""

from functools import lru_cache
from ipaddress import ip_address
from typing import Final

MAX_PORT: Final = 65_535


@lru_cache(maxsize=4096)
def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of "ip:port" or "[ip]:port".

    Raises `ValueError` if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(address: str) -> str:
    """Return the address if it is "ip:port"; raises `ValueError`."""
    host, port = split_address(address)
    ip_address(host)
    if not (address.isascii() and 0 < port <= MAX_PORT):
        raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
    return address


def join_address(host: str, port: int) -> str:
    """Return "ip:port", with brackets around an IPv6 address."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
