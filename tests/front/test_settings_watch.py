"""Settings that change while a host runs."""

import os
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

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
        made = TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path = Path(made.name) / "host.ini"
        self.write(lines=10, extra=1)
        self.applied: list[int] = []
        self.lines: list[dict[str, Any]] = []
        add_destinations(self.lines.append)
        self.addCleanup(remove_destination, self.lines.append)
        self.watch = SettingsWatch(
            self.path,
            read_front_settings(self.path),
            lambda fresh: self.applied.append(fresh.log.lines_per_s),
        )

    def write(self, **values: int) -> None:
        self.path.write_text(TEXT.format(**values))

    def last(self) -> dict[str, Any]:
        return [m for m in self.lines if m.get("message_type") == "reload"][-1]

    def test_tells_what_is_in_force_and_what_needs_a_restart(self) -> None:
        self.write(lines=20, extra=2)
        self.watch.reload("signal")
        self.assertEqual([20], self.applied)
        self.assertEqual(["log"], self.last()["in_force"])
        self.assertEqual(["bounds"], self.last()["after_restart"])

    def test_unreadable_settings_leave_those_in_force(self) -> None:
        self.path.write_text("[host\nname")
        self.watch.reload("signal")
        self.assertEqual([], self.applied)
        self.assertEqual("kept", self.last()["outcome"])
        self.assertEqual(10, self.watch.settings.log.lines_per_s)

    @async_test
    async def test_change_without_a_signal_is_seen(self) -> None:
        await self.watch.async_setup()
        self.write(lines=30, extra=1)
        os.utime(self.path, ns=(1, 1))
        await async_until(lambda: self.applied == [30], "it is in force")
        await self.watch.async_unload()
