"""Reads files that are named on the command line."""

from pathlib import Path

from waxwingctl.errors import InvalidInputError


def read_text(path: Path) -> str:
    """Return a file's text; raises `InvalidInputError`."""
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        raise InvalidInputError(
            f"{path}: is not UTF-8 text ({exc.reason}); save it as UTF-8"
        ) from exc
    except OSError as exc:
        raise InvalidInputError(
            f"{path}: cannot be read ({exc.strerror}); name another file"
        ) from exc
