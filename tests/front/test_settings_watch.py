"""Reload of settings that change while a host runs."""

import os
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

import testtools
from eliot import add_destinations, remove_destination

from tests.front.base import async_until
from tests.helpers import async_test
from waxwingarch.adapters.front_settings import read_front_settings
from waxwingarch.tasks.settings_watch import SettingsWatch

TEXT = """[host]
name = h1
failure_domain = za
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[store]
address = 127.0.0.1:5
[log]
lines_per_s = {lines}
[bounds]
resend_extra = {extra}
"""


class Reload(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.ini"
        self.write(lines=10, extra=1)
        self.applied: list[int] = []
        self.lines: list[dict[str, Any]] = []
        add_destinations(self.lines.append)
        self.addCleanup(remove_destination, self.lines.append)
        # The first destination also gets lines written before.
        self.lines.clear()
        self.watch = SettingsWatch(
            self.path,
            read_front_settings(self.path),
            lambda settings: self.applied.append(settings.log.lines_per_s),
        )

    def write(self, **values: int) -> None:
        self.path.write_text(TEXT.format(**values))

    def last_reload(self) -> dict[str, Any]:
        return [m for m in self.lines if m.get("message_type") == "reload"][-1]

    def test_reload_reports_sections_in_force_and_after_restart(self) -> None:
        self.write(lines=20, extra=2)
        self.watch.reload("signal")
        self.assertEqual([20], self.applied)
        self.assertEqual(["log"], self.last_reload()["in_force"])
        self.assertEqual(["bounds"], self.last_reload()["after_restart"])

    def test_invalid_settings_keep_the_current_ones(self) -> None:
        self.path.write_text("[host\nname")
        self.watch.reload("signal")
        self.assertEqual([], self.applied)
        self.assertEqual("kept", self.last_reload()["outcome"])
        self.assertEqual(10, self.watch.settings.log.lines_per_s)

    @async_test
    async def test_changed_file_is_reloaded_without_a_signal(self) -> None:
        await self.watch.async_setup()
        self.write(lines=30, extra=1)
        os.utime(self.path, ns=(1, 1))
        await async_until(lambda: self.applied == [30], "it is in force")
        await self.watch.async_unload()

    # Changes of the file were not noticed any more.
    @async_test
    async def test_watch_goes_on_after_an_error(self) -> None:
        failing = mock.Mock(side_effect=[PermissionError("unexpected")])
        await self.watch.async_setup()
        with mock.patch.object(self.watch, "_file_stamp", failing):
            await async_until(lambda: failing.called, "a look fails")
        self.write(lines=20, extra=1)
        await async_until(lambda: self.applied == [20], "the file is read")
        await self.watch.async_unload()
