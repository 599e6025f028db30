"""Listens for callers before the rest of the program is imported.

A process that was killed is back after a fraction of a second, most of it
imports. Callers that connect meanwhile wait in the queue of this socket
instead of being turned away. Nothing but the standard library is imported
here, and little of that.
"""

import socket
from pathlib import Path
from typing import Final

BACKLOG: Final = 1024
SECTION: Final = "[listen]"
KEY: Final = "callers"


def listen_early(path: Path) -> socket.socket | None:
    """Return a listening socket on the callers' address in a settings file.

    None where the file or the address cannot be used: the full check of
    the settings, and the listening proper, say why.
    """
    try:
        address = _address(path.read_text())
        if address is None:
            return None
        return socket.create_server(address, backlog=BACKLOG)
    except (OSError, ValueError):
        return None


def _address(text: str) -> tuple[str, int] | None:
    section = ""
    for line in text.splitlines():
        words = line.strip()
        if words.startswith("["):
            section = words
            continue
        name, _, value = words.partition("=")
        if section == SECTION and name.strip() == KEY:
            host, _, port = value.strip().rpartition(":")
            return host, int(port)
    return None
