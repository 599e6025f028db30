"""Tests of answers that come early, and of requests that end early."""

import asyncio
from collections import Counter
from collections.abc import Sequence

import testtools

from standins.front_process import KEY, call_headers
from tests.front.base import Host
from tests.front.raw_server import (
    LISTEN_IP,
    ServeConnection,
    raw_server,
    response_head,
)
from tests.front.refusing_servers import (
    NOT_EXECUTED,
    PATHS,
    PAY,
    PROMISES,
    RefusingServers,
    async_call,
    async_read,
    host_of,
)
from tests.helpers import async_test
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.adapters.http_connection import CutLinkError

LARGE_BYTES = 4_000_000
SIZES_BYTES = (1_000, 200_000, LARGE_BYTES)
BUSY = ("503 Busy", NOT_EXECUTED)
CHUNKS = b"4\r\nbody\r\n3\r\nabc\r\n0\r\n\r\n"
DEADLINE_MS = 600


def early_server(runs: list[tuple[str, int]], then: str) -> ServeConnection:
    """Return a server that refuses requests before it reads their body.

    It then "reads" that late, or never, or "copies" the refusal. The path
    "/pay/run" is served; `runs` gets the id and the size of each body.
    """

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split()
            fields = [line.lower() for line in lines]
            size = int(fields[fields.index("content-length:") + 1])
            name = lines[fields.index("x-waxwingarch-request-id:") + 1]
            if lines[1] == "/pay/run":
                runs.append((name, len(await reader.readexactly(size))))
                writer.write(response_head(name, 2) + b"ok")
                continue
            refusal = response_head(name, 0, *BUSY)
            writer.write(refusal)
            await asyncio.sleep(0.1)
            if then == "never":
                return
            await reader.readexactly(size)
            writer.write(refusal if then == "copies" else b"")

    return async_serve


def chunked_request(name: str) -> bytes:
    """Return a caller's request with its body in chunks."""
    pairs = call_headers(name, 1500, KEY)
    lines = [f"POST {PAY}run HTTP/1.1", *(f"{k}: {v}" for k, v in pairs)]
    lines += ["Transfer-Encoding: chunked", "", ""]
    return "\r\n".join(lines).encode() + CHUNKS


async def async_send_parts(
    host: Host, parts: Sequence[bytes], end: str
) -> bytes:
    """Send a caller's bytes, end there, and return the first answer."""
    reader, writer = await asyncio.open_connection(LISTEN_IP, host.ports[0])
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.005)
    if end == "half-closes":
        writer.write_eof()
    elif end == "leaves":
        writer.transport.abort()
    try:
        async with asyncio.timeout(0.5):
            return await reader.read(64 * 1024)
    except (TimeoutError, ConnectionError):
        return b""
    finally:
        writer.transport.abort()


class RefusalsBeforeTheBody(testtools.TestCase):
    # Guards against a connection that is used again while a body is still
    # being sent, and against a refusal that is taken for a later one's.
    @async_test
    async def test_next_request_runs_once(self) -> None:
        async def async_check(
            size_bytes: int, pause_s: float, then: str
        ) -> None:
            runs: list[tuple[str, int]] = []
            body = b"x" * size_bytes
            server = early_server(runs, then)
            async with host_of(server) as host:
                refused = await async_call(host, "/pay/no", "no", body=body)
                await asyncio.sleep(pause_s)
                served = await async_call(host, "/pay/run", "run", body=body)
            note = f"{size_bytes} {pause_s} {then} {runs}"
            self.assertEqual(503, refused.status, note)
            self.assertEqual(200, served.status, note)
            self.assertEqual([("run", size_bytes)], runs, note)

        for size_bytes in SIZES_BYTES:
            await asyncio.gather(
                *(
                    async_check(size_bytes, pause_s, then)
                    for pause_s in (0.0, 0.05, 0.3)
                    for then in ("reads", "copies", "never")
                    if then != "never" or size_bytes == LARGE_BYTES
                )
            )

    # Guards against an unasked refusal without an id that is taken for the
    # answer to the first request on its connection.
    @async_test
    async def test_answer_before_any_request_is_not_used(self) -> None:
        runs = []

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if not runs:
                writer.write(response_head(None, 0, *BUSY))
            _, headers, _ = await async_read(reader)
            name = headers["x-waxwingarch-request-id"]
            runs.append(name)
            writer.write(response_head(name, 2) + b"ok")

        client = HttpClient()
        async with raw_server(async_serve) as address:
            deadline = asyncio.get_running_loop().time() + 5.0
            await client.async_check(address, deadline)
            await asyncio.sleep(0.05)
            runs.append("checked")
            response = await client.async_request(
                "GET",
                address,
                "/",
                deadline=deadline,
                headers=[("x-waxwingarch-request-id", "run")],
            )
            await client.async_unload()
        self.assertEqual(200, response.status)
        self.assertEqual(["checked", "run"], runs)


class HeadRequests(testtools.TestCase):
    # Guards against a request that ran and is called "not run", as the copy
    # of a refusal of another method has a body, or lacks one.
    @async_test
    async def test_copy_of_another_method(self) -> None:
        for copied, length in (("HEAD", 0), ("HEAD", 5), ("POST", 5)):
            runs = []

            async def async_serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                copied: str = copied,
                length: int = length,
                runs: list[str] = runs,
            ) -> None:
                _, headers, _ = await async_read(reader)
                name = headers["x-waxwingarch-request-id"]
                answer = response_head(name, length, *BUSY)
                answer += b"" if copied == "HEAD" else b"x" * length
                writer.write(answer)
                _, headers, _ = await async_read(reader)
                name = headers["x-waxwingarch-request-id"]
                runs.append(name)
                writer.write(answer)
                await asyncio.sleep(0.05)
                writer.write(response_head(name, 0))
                await reader.read()

            async with host_of(async_serve) as host:
                other = "POST" if copied == "HEAD" else "HEAD"
                statuses: list[int] = []
                for method, name in ((copied, "no"), (other, "run")):
                    try:
                        response = await async_call(
                            host, "/pay/x", name, method=method, body=b""
                        )
                        statuses.append(response.status)
                    except CutLinkError:
                        statuses.append(0)
            self.assertEqual(["run"], runs)
            self.assertNotIn(statuses[1], PROMISES)

    # Guards against a HEAD request that gets no answer, as it is refused.
    @async_test
    async def test_refusal_has_a_status(self) -> None:
        async with Host() as host:
            for path, status in (("/nowhere/x", 404), ("/read/x", 401)):
                response = await host.async_send(
                    path, method="HEAD", key="unknown"
                )
                self.assertEqual(status, response.status)


class ChunkedBodies(testtools.TestCase):
    # Guards against a request that may run once and runs twice, or without
    # its whole body, where its chunks end early or bytes follow them.
    @async_test
    async def test_cut_at_each_byte_or_followed_by_others(self) -> None:
        servers = RefusingServers(work_s=0.0)
        whole = {"followed": 1, "leaves": 0, "half-closes": 0, "stalls": 0}
        async with host_of(servers.serve("one")) as host:
            sent = []
            for end, count in whole.items():
                for cut in range(len(CHUNKS)):
                    name = f"{end}-{cut}"
                    request = chunked_request(name)
                    parts = [request[: len(request) - cut]]
                    if end == "followed":
                        parts = [request, CHUNKS[cut:]]
                    sent.append((name, count or cut == 0, parts, end))
            answers = await asyncio.gather(
                *(async_send_parts(host, p, end) for _, _, p, end in sent)
            )
            ran = Counter(run.request_id for run in servers.runs)
        bodies = {run.body_bytes for run in servers.runs}
        self.assertEqual({len(b"bodyabc")}, bodies)
        for (name, may_run, _, end), answer in zip(sent, answers, strict=True):
            note = f"{name} {answer!r} {ran[name]}"
            self.assertLessEqual(ran[name], int(may_run), note)
            if end in ("followed", "stalls"):
                self.assertEqual(int(may_run), ran[name], note)
            is_promise = any(
                answer.startswith(f"HTTP/1.1 {status}".encode())
                for status in PROMISES
            )
            self.assertFalse(is_promise and ran[name], note)


class ExpiredRequests(testtools.TestCase):
    # Guards against a request that expires at a server and is called "not
    # run", or is sent to another one.
    @async_test
    async def test_end_without_a_promise(self) -> None:
        async def async_check(answers_at_s: float, path: str) -> None:
            servers = RefusingServers(work_s=answers_at_s)
            serves = [servers.serve(name) for name in ("one", "two")]
            async with host_of(*serves) as host:
                response = await async_call(
                    host, f"{path}run", "run", deadline_ms=DEADLINE_MS
                )
                await asyncio.sleep(answers_at_s)
            note = f"{answers_at_s} {servers.runs}"
            self.assertNotIn(response.status, PROMISES, note)
            self.assertEqual(1, len(servers.runs), note)

        await asyncio.gather(
            *(
                async_check(answers_at_s, path)
                for answers_at_s in (0.55, 0.6, 0.65, 1.1)
                for path in PATHS
            )
        )
