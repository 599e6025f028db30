"""Tests of the review's deployment with the settings of the daemon."""

import tempfile
from pathlib import Path
from unittest.mock import patch

import testtools

from review.standins.deployment import (
    BOUNDS,
    Deployment,
    HostProcess,
    Record,
)
from standins.ports import free_port
from tests.helpers import async_test
from waxwingarch.adapters.front_settings import (
    BoundsSection,
    read_front_settings,
)


class SettingsTemplate(testtools.TestCase):
    # Guards against a field in deploy/front.ini that not every deployment
    # has: no host started there.
    @async_test
    async def test_review_fills_it_in(self) -> None:
        self.assertIsNone((await self.async_settings()).evacuation_ms)

    # Guards against a value in force that the template leaves out.
    @async_test
    async def test_value_that_few_deployments_have_is_filled_in(self) -> None:
        with patch.dict(BOUNDS, {"evacuation_ms": 5000}):
            bounds = await self.async_settings()
        self.assertEqual(5000, bounds.evacuation_ms)

    async def async_settings(self) -> BoundsSection:
        """Return the bounds that a host of the deployment reads."""
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
        settings = read_front_settings(host.settings)
        self.assertEqual("front-0", settings.host.name)
        await deployment.fleet.async_unload()
        deployment.record.close()
        return settings.bounds
