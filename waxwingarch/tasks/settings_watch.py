"""Reads the settings file again when it changes or a signal says so."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from eliot import log_message

from waxwingarch.adapters.front_settings import (
    FrontSettings,
    read_front_settings,
)
from waxwingarch.exceptions import SettingsError

# A changed file is seen within this time; a look costs one system call.
LOOK_EVERY_S: Final = 1.0
# Sections that take effect in place; the others need a restart.
IN_PLACE: Final = frozenset({"log"})


class SettingsWatch:
    """The settings in force, and what became of a change.

    Settings that cannot be read leave those in force as they are.
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
        self._seen = self._stamp()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to look at the file."""
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self, cause: str) -> None:
        """Read the file and put what can change into force."""
        self._seen = self._stamp()
        try:
            fresh = read_front_settings(self._path)
        except SettingsError as exc:
            log_message(
                message_type="reload",
                cause=cause,
                outcome="kept",
                reason=str(exc),
            )
            return
        before, after = self.settings.model_dump(), fresh.model_dump()
        changed = {name for name in after if after[name] != before[name]}
        self.settings = fresh
        self._apply(fresh)
        log_message(
            message_type="reload",
            cause=cause,
            outcome="read",
            in_force=sorted(changed & IN_PLACE),
            after_restart=sorted(changed - IN_PLACE),
        )

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            if self._stamp() != self._seen:
                self.reload("the file changed")

    def _stamp(self) -> tuple[int, int]:
        """Return what changes with the file; zeros where it is missing."""
        try:
            stat = self._path.stat()
        except FileNotFoundError:
            return 0, 0
        return stat.st_mtime_ns, stat.st_size
