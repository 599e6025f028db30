"""Tests of inputs under which servers crash, and of their operators."""

import asyncio
import itertools
import json
import os
from typing import Any
from unittest import mock

import testtools

from standins import fleet as fleet_module
from standins.fleet import OPERATOR_KEY, Fleet
from tests.front.base import Host, async_until
from tests.helpers import async_test
from tests.waxwingctl.helpers import CtlResult, async_ctl
from waxwingarch.adapters.front_settings import FrontSettings
from waxwingarch.adapters.ini import parse_ini, validate
from waxwingarch.const import (
    EXIT_NOT_FOUND,
    EXIT_OK,
    EXIT_SETTINGS,
    EXIT_UNKNOWN_OPERATOR,
)
from waxwingarch.exceptions import SettingsError
from waxwingarch.tasks.front_quarantine import (
    QUARANTINE_KEY,
    QUARANTINE_TABLE,
)

PART = "bad1"
PROMPT = f"aa:10,{PART}:20,cc:30"
SOUND_PROMPT = "aa:10,bb:20,cc:30"


class QuarantineCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        env = mock.patch.dict(os.environ, {"WAXWINGCTL_KEY": OPERATOR_KEY})
        env.start()
        self.addCleanup(env.stop)

    async def async_ctl(self, host: Host, *argv: str) -> CtlResult:
        address = ("--address", host.admin_address)
        return await async_ctl(*address, "--output", "json", *argv)

    async def async_ctl_ok(self, host: Host, *argv: str) -> Any:
        result = await self.async_ctl(host, *argv)
        self.assertEqual(EXIT_OK, result.code, result.err)
        return json.loads(result.out)

    async def async_status(
        self, host: Host, prompt: str, path: str = "/draft/x"
    ) -> int:
        response = await host.async_send(
            path, X_Waxwingarch_Prompt_Prefix=prompt
        )
        return response.status


class Operators(QuarantineCase):
    @async_test
    async def test_part_is_added_listed_and_lifted(self) -> None:
        async with Host() as host:
            for is_first in (True, False):
                added = await self.async_ctl_ok(
                    host, "quarantine", "add", PART
                )
                self.assertEqual(is_first, added["changed"])
            self.assertEqual(503, await self.async_status(host, PROMPT))
            self.assertEqual(200, await self.async_status(host, SOUND_PROMPT))
            last = await self.async_status(host, f"aa:10,{PART}:20")
            self.assertEqual(200, last)
            [entry] = (await self.async_ctl_ok(host, "quarantine", "list"))[
                "inputs"
            ]
            self.assertEqual(
                (PART, "held", "operator"),
                (entry["input"], entry["state"], entry["origin"]),
            )
            for is_first in (True, False):
                lifted = await self.async_ctl_ok(
                    host, "quarantine", "lift", PART
                )
                self.assertEqual(is_first, lifted["changed"])
            self.assertEqual(200, await self.async_status(host, PROMPT))
            shown = await self.async_ctl_ok(host, "quarantine", "list")
            self.assertEqual([], shown["inputs"])
            shown = await self.async_ctl_ok(
                host, "quarantine", "list", "--all"
            )
            self.assertEqual(
                ["probation"], [p["state"] for p in shown["inputs"]]
            )

    @async_test
    async def test_orders_are_kept_in_the_store(self) -> None:
        async with Host() as host:
            for order, state in (("add", "held"), ("lift", "probation")):
                await self.async_ctl_ok(host, "quarantine", order, PART)

                def is_stored(state: str = state) -> bool:
                    row = host.fleet.store.value(
                        QUARANTINE_TABLE, QUARANTINE_KEY
                    )
                    return row is not None and state.encode() in row

                await async_until(is_stored, f"{state} is in the store")

    @async_test
    async def test_list_and_counts_on_the_metrics_address(self) -> None:
        async with Host() as host:
            await self.async_ctl_ok(host, "quarantine", "add", PART)
            await self.async_status(host, PROMPT)
            listed = (await host.async_metrics("/quarantine")).json()
            self.assertEqual([PART], [p["input"] for p in listed["inputs"]])
            lines = (await host.async_metrics()).body.decode().splitlines()
            gauge = "waxwingarch_quarantined_inputs"
            for line in (
                'waxwingarch_refusals_total{reason="quarantined"} 1.0',
                f'{gauge}{{kind="part",origin="operator"}} 1.0',
                f'{gauge}{{kind="part",origin="crashes"}} 0.0',
                f'{gauge}{{kind="request",origin="operator"}} 0.0',
            ):
                self.assertIn(line, lines)

    @async_test
    async def test_orders_that_change_nothing(self) -> None:
        async with Host() as host:
            with mock.patch.dict(os.environ, {"WAXWINGCTL_KEY": "wrong-key"}):
                for argv in (("add", PART), ("lift", PART), ("list",)):
                    result = await self.async_ctl(host, "quarantine", *argv)
                    self.assertEqual(EXIT_UNKNOWN_OPERATOR, result.code)
            for bad in (
                *("", "a:10", "a,b", "a b", "x" * 257, "\u00e9"),
                *("request:", "request:a:b"),
            ):
                result = await self.async_ctl(host, "quarantine", "add", bad)
                self.assertEqual(EXIT_SETTINGS, result.code, bad)
            result = await self.async_ctl(host, "quarantine", "lift", PART)
            self.assertEqual(EXIT_NOT_FOUND, result.code)
            self.assertEqual((), host.front.quarantine.entries)

    def test_admin_address_needs_a_key(self) -> None:
        addresses = {
            name: f"127.0.0.1:{n}"
            for n, name in enumerate(("admin", "store", "duties"), 5)
        }
        text = Fleet().settings("h", (1, 2, 3, 4), **addresses)
        validate(FrontSettings, parse_ini(text, "made"), "made")
        text = text.replace(f"operator_key = {OPERATOR_KEY}\n", "")
        with testtools.ExpectedException(SettingsError, ".*operator_key.*"):
            validate(FrontSettings, parse_ini(text, "made"), "made")


class Crashes(QuarantineCase):
    def setUp(self) -> None:
        super().setUp()
        for name, value_s in (("ROW_LAPSE_S", 0.2), ("RESTART_S", 1.5)):
            self.patch(fleet_module, name, value_s)

    @async_test
    async def test_part_is_refused_after_it_ended_both_engines(self) -> None:
        async with Host() as host:
            fleet = host.fleet
            fleet.crashing_inputs.add(PART)
            for engine in fleet.engines():
                # Crashes at the same moment may have one cause.
                engine.behaviour.event_s = 0.15

            numbers = itertools.count()

            async def is_refused() -> bool:
                path = f"/draft/x?{next(numbers)}"
                await self.async_status(host, PROMPT, path)
                listed = (await host.async_metrics("/quarantine")).json()
                states = {p["input"]: p["state"] for p in listed["inputs"]}
                return states == {PART: "held"}

            async with asyncio.timeout(20.0):
                while not await is_refused():  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
            crashes = len(fleet.crashes)
            self.assertLessEqual(crashes, 5)
            for _ in range(5):
                self.assertEqual(503, await self.async_status(host, PROMPT))
            await async_until(
                lambda: not any(s.is_down for s in fleet.servers),
                "all engines are back",
            )
            await self.async_expect_sound(host)
            self.assertEqual(crashes, len(fleet.crashes))

    # Incident second1 with split-read: nothing but its content tells that
    # the request comes again.
    @async_test
    async def test_request_is_refused_after_it_ended_both_servers(
        self,
    ) -> None:
        async with Host() as host:
            fleet = host.fleet
            fleet.crashing_inputs.add("/read/bad")

            async def async_status(path: str) -> int:
                return (await host.async_send(path, method="GET")).status

            async def async_held() -> list[str]:
                data = await self.async_ctl_ok(host, "quarantine", "list")
                return [entry["kind"] for entry in data["inputs"]]

            async with asyncio.timeout(20.0):
                while not await async_held():
                    await async_status("/read/bad")
                    await asyncio.sleep(0.1)
            self.assertEqual(["request"], await async_held())
            crashes = len(fleet.crashes)
            self.assertLessEqual(crashes, 4)
            await async_until(
                lambda: not any(s.is_down for s in fleet.servers),
                "all servers are back",
            )
            for _ in range(5):
                self.assertEqual(503, await async_status("/read/bad"))
            async with asyncio.timeout(10.0):
                while await async_status("/read/good") != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
            self.assertEqual(crashes, len(fleet.crashes))

    async def async_expect_sound(self, host: Host) -> None:
        """Wait until sound requests with the same first part are served."""
        async with asyncio.timeout(10.0):
            while await self.async_status(host, SOUND_PROMPT) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
