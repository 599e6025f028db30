"""Opening of the callers' listening socket before other modules load.

A killed process is up again within a fraction of a second, most of which
is spent in imports. Connections made in that time wait in the accept
backlog of this socket instead of being refused. To stay fast, this module
imports only a few modules of the standard library.
"""

import socket
from pathlib import Path
from typing import Final

BACKLOG: Final = 1024
LISTEN_SECTION: Final = "[listen]"
CALLERS_KEY: Final = "callers"


def listen_early(path: Path) -> socket.socket | None:
    """Return a socket that listens on the callers' address of the settings.

    Returns None if the file or the address cannot be used. The full
    validation of the settings and the regular listen call report the
    reason later.
    """
    try:
        address = _find_address(path.read_text())
        if address is None:
            return None
        return socket.create_server(address, backlog=BACKLOG)
    except (OSError, ValueError):
        return None


def _find_address(text: str) -> tuple[str, int] | None:
    """Return host and port of the callers' address in INI text."""
    section = ""
    for line in text.splitlines():
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped
            continue
        name, _, value = stripped.partition("=")
        if section == LISTEN_SECTION and name.strip() == CALLERS_KEY:
            host, _, port = value.strip().rpartition(":")
            return host, int(port)
    return None
