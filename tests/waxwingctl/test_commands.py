"""Tests of the commands that call daemons."""

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path
from unittest import mock

import testtools

from standins.deployment import OPERATOR_KEY, contract_text
from tests.helpers import async_test
from tests.waxwingctl.helpers import (
    CtlResult,
    OperatorInterface,
    async_ctl,
    make_node,
)
from waxwingarch.adapters.trace import TraceHeader, TraceWriter
from waxwingarch.const import (
    EXIT_CONFLICT,
    EXIT_DIFFERS,
    EXIT_FAILURE,
    EXIT_NOT_FOUND,
    EXIT_OK,
    EXIT_SETTINGS,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN_OPERATOR,
    EXIT_USAGE,
    EXIT_WAIT_TIMED_OUT,
)
from waxwingarch.core.cluster.messages import Tick
from waxwingarch.core.settings.settings import Document
from waxwingctl.commands.move import parse_time
from waxwingctl.errors import UsageError

CLOSED_ADDRESS = "127.0.0.1:1"


class CommandTestCase(testtools.TestCase):
    """Test case with a folder for files and the operator key."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        env = mock.patch.dict(os.environ, {"WAXWINGCTL_KEY": OPERATOR_KEY})
        env.start()
        self.addCleanup(env.stop)

    def write(self, text: str, name: str = "contract.ini") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    async def async_run_ok(
        self, api: OperatorInterface, *argv: str
    ) -> CtlResult:
        result = await async_ctl("--address", api.address, *argv)
        self.assertEqual(EXIT_OK, result.code, result.err)
        return result

    async def async_run_failing(
        self, api: OperatorInterface, code: int, *argv: str
    ) -> str:
        result = await async_ctl("--address", api.address, *argv)
        self.assertEqual(code, result.code, result)
        self.assertNotIn("Traceback", result.err)
        self.assertEqual([], api.errors)
        return result.err


class ContractCommands(CommandTestCase):
    @async_test
    async def test_apply_show_diff_remove(self) -> None:
        path = self.write(contract_text())
        async with OperatorInterface() as api:
            first_apply = await self.async_run_ok(
                api, "contract", "apply", path
            )
            self.assertIn("revision 1 written: charity-1", first_apply.out)
            second_apply = await self.async_run_ok(
                api, "contract", "apply", path
            )
            self.assertIn("no change: revision 1", second_apply.out)
            self.assertEqual(1, api.store.writes)
            show = await self.async_run_ok(
                api, "contract", "show", "charity-1"
            )
            self.assertNotIn("account-key-1", show.out)
            await self.async_run_ok(api, "contract", "diff", path)
            self.write(contract_text(rate=7))
            result = await async_ctl(
                "contract", "diff", path, "--address", api.address
            )
            self.assertEqual(EXIT_DIFFERS, result.code)
            self.assertIn("+rate = 7", result.out)
            await self.async_run_ok(api, "contract", "remove", "charity-1")
            listing = await self.async_run_ok(
                api, "contract", "list", "--output", "json"
            )
            self.assertEqual([], json.loads(listing.out)["contracts"])

    @async_test
    async def test_apply_is_atomic(self) -> None:
        good = self.write(contract_text(), "good.ini")
        bad = self.write(contract_text("b", "account-key-1"), "bad.ini")
        async with OperatorInterface() as api:
            argv = ("contract", "apply", good, bad)
            err = await self.async_run_failing(api, EXIT_SETTINGS, *argv)
            self.assertIn("is the key in", err)
            self.assertEqual(0, api.store.snapshot.revision)

    @async_test
    async def test_contract_of_another_deployment_is_refused(self) -> None:
        text = contract_text().replace("key =", "deployment = x\nkey =")
        async with OperatorInterface() as api:
            argv = ("contract", "apply", self.write(text))
            err = await self.async_run_failing(api, EXIT_SETTINGS, *argv)
            self.assertIn("is for x, this is test", err)

    @async_test
    async def test_concurrent_change_of_one_contract_is_a_conflict(
        self,
    ) -> None:
        path = self.write(contract_text())
        async with OperatorInterface() as api:
            other_text = contract_text(rate=9).replace("0.5", "0.4")
            api.store.writes_by_others = [
                Document(name="contract/charity-1", text=other_text)
            ]
            argv = ("contract", "apply", path)
            err = await self.async_run_failing(api, EXIT_CONFLICT, *argv)
            self.assertIn("changed by someone else", err)
            self.assertIn("revision 1", err)
            stored = api.store.snapshot.documents[0].text
            self.assertEqual(other_text, stored)

    @async_test
    async def test_concurrent_change_of_another_contract_is_no_conflict(
        self,
    ) -> None:
        path = self.write(contract_text())
        other_text = contract_text("other", "account-key-9")
        async with OperatorInterface() as api:
            api.store.writes_by_others = [
                Document(name="contract/other", text=other_text)
            ]
            result = await self.async_run_ok(api, "contract", "apply", path)
            self.assertIn("revision 2", result.out)
            self.assertEqual(2, len(api.store.snapshot.documents))

    @async_test
    async def test_service_without_servers_is_a_warning(self) -> None:
        async with OperatorInterface() as api:
            api.node.servers.apply_list([])
            path = self.write(contract_text())
            result = await self.async_run_ok(api, "contract", "apply", path)
            self.assertIn("waxwing-pool has no backend server", result.err)

    @async_test
    async def test_table_unavailable(self) -> None:
        async with OperatorInterface() as api:
            api.store.is_down = True
            argv = ("contract", "apply", self.write(contract_text()))
            err = await self.async_run_failing(api, EXIT_UNAVAILABLE, *argv)
            self.assertIn("the table is down: try later", err)
            await self.async_run_ok(api, "contract", "list")
            await self.async_run_ok(api, "move", "status")

    @async_test
    async def test_wait_times_out(self) -> None:
        path = self.write(contract_text())
        async with OperatorInterface() as api:
            api.store.store_documents(
                [Document(name="contract/x", text="broken")]
            )
            wait = ("--wait", "--wait-s", "0.3")
            finished = await self.async_run_ok(
                api, "contract", "apply", path, *wait
            )
            self.assertIn("in force on 1 of 1 live hosts", finished.err)
            with mock.patch.object(
                type(api.node.cluster.settings), "applied_revision", 0
            ):
                self.write(contract_text(rate=3))
                argv = ("contract", "apply", path, *wait)
                err = await self.async_run_failing(
                    api, EXIT_WAIT_TIMED_OUT, *argv
                )
            self.assertIn("waiting for entry-1", err)
            self.assertIn("not yet in force everywhere", err)


class DaemonSelection(CommandTestCase):
    @async_test
    async def test_next_address_is_tried_when_one_is_down(self) -> None:
        async with OperatorInterface() as api:
            result = await async_ctl(
                "--address", CLOSED_ADDRESS, "--address", api.address, "hosts"
            )
            self.assertEqual(EXIT_OK, result.code, result.err)
            self.assertIn("entry-1", result.out)

    @async_test
    async def test_no_daemon_is_reachable(self) -> None:
        result = await async_ctl("--address", CLOSED_ADDRESS, "servers")
        self.assertEqual(EXIT_UNAVAILABLE, result.code)
        self.assertIn("check the addresses", result.err)

    @async_test
    async def test_wrong_key(self) -> None:
        key = self.write("some-other-key\n", "key")
        async with OperatorInterface() as api:
            argv = ("--key-file", key, "hosts")
            err = await self.async_run_failing(
                api, EXIT_UNKNOWN_OPERATOR, *argv
            )
            self.assertIn("operator key", err)

    @async_test
    async def test_internal_error_of_a_daemon(self) -> None:
        async with OperatorInterface() as api:
            broken = mock.AsyncMock(side_effect=RuntimeError("broken"))
            with mock.patch.object(api.store, "async_read_settings", broken):
                result = await async_ctl(
                    "move", "status", "--address", api.address
                )
            self.assertEqual(EXIT_FAILURE, result.code)
            self.assertIn("its log says why", result.err)
            self.assertEqual(["broken"], [str(exc) for exc in api.errors])

    @async_test
    async def test_invalid_command_lines(self) -> None:
        missing = str(self.folder / "missing")
        binary = self.folder / "binary"
        binary.write_bytes(b"\xff\n\xfe")
        cases = [
            ("hosts",),
            ("--address", "nowhere", "hosts"),
            ("--address", CLOSED_ADDRESS, "--key-file", missing, "hosts"),
            ("--address", CLOSED_ADDRESS, "--key-file", str(binary), "hosts"),
            ("--address", CLOSED_ADDRESS, "frobnicate"),
            (
                "--address",
                CLOSED_ADDRESS,
                "move",
                "start",
                "a",
                "b",
                "--by",
                "soon",
            ),
        ]
        for argv in cases:
            result = await async_ctl(*argv)
            self.assertEqual(EXIT_USAGE, result.code, argv)
            self.assertNotIn("Traceback", result.err)

    @async_test
    async def test_address_of_another_server(self) -> None:
        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readline()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi!")
            writer.close()

        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            result = await async_ctl("--address", f"127.0.0.1:{port}", "hosts")
        self.assertIn("not a daemon's admin address", result.err)
        self.assertNotIn("Traceback", result.err)


class MoveCommands(CommandTestCase):
    @async_test
    async def test_start_status_take_back(self) -> None:
        async with OperatorInterface() as api:
            argv = ("move", "start", "waxwing-pool", "v2", "--by", "+1h")
            started = await self.async_run_ok(api, *argv, "--output", "json")
            move = json.loads(started.out)
            self.assertEqual("v1", move["old_version"])
            listing = await self.async_run_ok(api, "move", "status")
            self.assertIn(move["move_id"], listing.out)
            explained = await self.async_run_ok(
                api, "explain", move["move_id"]
            )
            self.assertIn("from v1 to v2: planned", explained.out)
            err = await self.async_run_failing(api, EXIT_CONFLICT, *argv)
            self.assertIn("waxwingctl move take-back", err)
            for _ in range(2):
                taken_back = await self.async_run_ok(
                    api, "move", "take-back", "waxwing-pool", "--reason", "no"
                )
                self.assertIn("cancelled by an operator): no", taken_back.out)
            self.assertEqual(2, api.store.writes)

    @async_test
    async def test_invalid_moves_are_refused(self) -> None:
        start = ("move", "start")
        in_an_hour = ("--by", "+1h")
        cases = [
            (EXIT_SETTINGS, "too short",
             (*start, "waxwing-pool", "v2", "--by", "+5s")),
            (EXIT_SETTINGS, "run v1 already",
             (*start, "waxwing-pool", "v1", *in_an_hour)),
            (EXIT_SETTINGS, "services that have: drive-ledger, waxwing-pool",
             (*start, "waxwing-pol", "v2", *in_an_hour)),
            (EXIT_SETTINGS, "correct version",
             (*start, "waxwing-pool", "v 2", *in_an_hour)),
            (EXIT_USAGE, "has passed",
             (*start, "waxwing-pool", "v2", "--by", "2001-01-01T00:00Z")),
            (EXIT_NOT_FOUND, "no move x; there are: none",
             ("move", "status", "x")),
            (EXIT_NOT_FOUND, "no move x/y",
             ("move", "take-back", "x/y")),
            (EXIT_NOT_FOUND, "no request or move", ("explain", "x")),
        ]  # fmt: skip
        async with OperatorInterface() as api:
            for code, part, argv in cases:
                err = await self.async_run_failing(api, code, *argv)
                self.assertIn(part, err)

    def test_parse_time(self) -> None:
        now = time.time()
        self.assertEqual(now + 5400, parse_time("+90m", now))
        moscow = parse_time("2026-12-04T18:00+03:00", now)
        self.assertEqual(parse_time("2026-12-04T15:00Z", now), moscow)
        for text in ("18:00", "2026-12-04T18:00", "+90", "-5m", ""):
            self.assertRaises(UsageError, parse_time, text, now)


class ReplayCommand(CommandTestCase):
    @async_test
    async def test_equal_differing_and_invalid_traces(self) -> None:
        path = self.folder / "node.trace"
        own = make_node().cluster.own
        header = TraceHeader(own=own, seeds=(), unix_offset=0.0, seed=1)
        node = header.node()
        with path.open("wb") as out:
            writer = TraceWriter(out, header)
            for n in range(5):
                tick = Tick(unix_now=float(n))
                writer.record(float(n), tick, node.handle(float(n), tick))
        same = await async_ctl("replay", str(path))
        self.assertEqual(EXIT_OK, same.code, same.err)
        self.assertIn("the same decisions in all 5 steps", same.out)
        lines = path.read_text().splitlines()
        step = json.loads(lines[3]) | {"digest": "0", "actions": []}
        lines[3] = json.dumps(step)
        path.write_text("\n".join(lines))
        differing = await async_ctl("replay", str(path), "--output", "json")
        self.assertEqual(EXIT_DIFFERS, differing.code)
        self.assertEqual(4, json.loads(differing.out)[0]["line"])
        as_text = await async_ctl("replay", str(path))
        self.assertIn("on Tick this version decides otherwise", as_text.out)
        for text in ("", "[]", "{}", "\x00", f"{lines[0]}\n{{"):
            broken = await async_ctl("replay", self.write(text, "broken"))
            self.assertEqual(EXIT_FAILURE, broken.code, text)
            self.assertNotIn("Traceback", broken.err)
            self.assertNotIn("report it", broken.err, text)
