"""Reloads the settings file when it changes or on a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from eliot import log_message, write_traceback

from waxwingarch.adapters.front_settings import (
    FrontSettings,
    read_front_settings,
)
from waxwingarch.exceptions import SettingsError

# A changed file is seen within this time. A check costs one system call.
POLL_INTERVAL_S: Final = 1.0
# Sections that take effect without a restart.
RELOADABLE_SECTIONS: Final = frozenset({"log"})


class SettingsWatch:
    """Holds the current settings and logs the outcome of each reload.

    If the file is not valid, the current settings stay.
    """

    def __init__(
        self,
        path: Path,
        settings: FrontSettings,
        apply: Callable[[FrontSettings], None],
    ) -> None:
        self.settings = settings
        self._path = path
        self._apply = apply
        self._read_stamp = self._file_stamp()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to poll the file for changes."""
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self, cause: str) -> None:
        """Read the file and apply the sections that need no restart."""
        self._read_stamp = self._file_stamp()
        try:
            new_settings = read_front_settings(self._path)
        except SettingsError as exc:
            log_message(
                message_type="reload",
                cause=cause,
                outcome="kept",
                reason=str(exc),
            )
            return
        old_values, new_values = (
            self.settings.model_dump(),
            new_settings.model_dump(),
        )
        changed = {
            name for name in new_values if new_values[name] != old_values[name]
        }
        self.settings = new_settings
        self._apply(new_settings)
        log_message(
            message_type="reload",
            cause=cause,
            outcome="read",
            in_force=sorted(changed & RELOADABLE_SECTIONS),
            after_restart=sorted(changed - RELOADABLE_SECTIONS),
        )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                if self._file_stamp() != self._read_stamp:
                    self.reload("the file changed")
            except Exception as exc:
                # The file would not be followed any more.
                write_traceback(exc_info=(type(exc), exc, exc.__traceback__))

    def _file_stamp(self) -> tuple[int, int]:
        """Return the file's mtime and size, or zeros if it is missing."""
        try:
            stat = self._path.stat()
        except FileNotFoundError:
            return 0, 0
        return stat.st_mtime_ns, stat.st_size
