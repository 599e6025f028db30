"""Tests of the review's deployment with the settings of the daemon."""

import tempfile
from pathlib import Path

import testtools

from review.standins.deployment import Deployment, HostProcess, Record
from standins.ports import free_port
from tests.helpers import async_test
from waxwingarch.adapters.front_settings import read_front_settings


class SettingsTemplate(testtools.TestCase):
    # Guards against a field in deploy/front.ini that not every deployment
    # has: no host started there.
    @async_test
    async def test_review_fills_it_in(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        folder = Path(scratch.name)
        deployment = Deployment(record=Record(folder / "record.txt"))
        await deployment.fleet.async_setup(1, 1)
        host = HostProcess(
            name="front-0",
            zone="za",
            ports=[free_port() for _ in range(4)],
            settings=folder / "front.ini",
        )
        host.settings.write_text(deployment._settings_text(host))
        self.assertEqual(
            "front-0", read_front_settings(host.settings).host.name
        )
        await deployment.fleet.async_unload()
        deployment.record.close()
