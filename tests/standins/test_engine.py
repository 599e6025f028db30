"""Tests of the stand-in model engine."""

import asyncio
import json

import testtools

from standins.answers import digest_of, expected_tokens
from standins.prefix_cache import PrefixCache
from tests.helpers import async_test
from tests.standins.helpers import (
    Peer,
    running_engine,
    running_platform,
    wait_until,
)
from waxwingarch.adapters.http_connection import CutLinkError, SilentLinkError

COMPLETIONS = "/v1/completions"
PROMPT = " ".join(f"word{i}" for i in range(40))


def tokens_of(chunks: list[str]) -> list[str]:
    """Return the tokens of a stream's events in order of arrival."""
    events = [json.loads(c) for c in chunks if c != "[DONE]"]
    return [t for e in events for t in e.get("tokens", [])]


def completion_body(
    stream_id: str, max_tokens: int = 30, **waxwing: object
) -> object:
    """Return the body of a streamed completion."""
    return {
        "prompt": PROMPT,
        "max_tokens": max_tokens,
        "stream": True,
        "waxwing": {"stream_id": stream_id, **waxwing},
    }


async def is_stream_held(peer: Peer, stream_id: str) -> bool:
    """Return whether an engine still holds a stream for readers."""
    answer = await peer.send("GET", f"/v1/streams/{stream_id}?offset=99")
    return answer.status == 200


class TestAnswers(testtools.TestCase):
    @async_test
    async def test_stream_is_complete_with_digest(self) -> None:
        async with running_engine() as peer:
            chunks = await peer.chunks(
                "POST", COMPLETIONS, completion_body("a")
            )
        tokens = tokens_of(chunks)
        end = json.loads(chunks[-2])
        assert tokens == expected_tokens(PROMPT, 30)
        assert chunks[-1] == "[DONE]"
        assert end["total"] == 30
        assert end["digest"] == digest_of(tokens)

    @async_test
    async def test_answer_resumed_elsewhere_is_the_same(self) -> None:
        uninterrupted = expected_tokens(PROMPT, 30)
        async with running_engine("--version", "v2") as peer:
            body = completion_body("b", resume_text_tokens=uninterrupted[:12])
            chunks = await peer.chunks("POST", COMPLETIONS, body)
        first, end = json.loads(chunks[0]), json.loads(chunks[-2])
        assert first["offset"] == 12
        assert first["computed_tokens"] == 40 + 12
        assert uninterrupted[:12] + tokens_of(chunks) == uninterrupted
        assert (end["total"], end["digest"]) == (30, digest_of(uninterrupted))

    @async_test
    async def test_chat_answer_without_streaming(self) -> None:
        async with running_engine() as peer:
            messages = [{"role": "user", "content": "hello"}]
            body = {"messages": messages, "max_tokens": 4}
            answer = await peer.json("POST", "/v1/chat/completions", body)
        expected = expected_tokens("user: hello", 4)
        message = answer["choices"][0]["message"]
        assert message["content"] == "".join(expected)
        assert answer["usage"]["completion_tokens"] == 4
        assert answer["waxwing"]["digest"] == digest_of(expected)


class TestHeldStreams(testtools.TestCase):
    @async_test
    async def test_reader_attaches_to_a_cut_stream(self) -> None:
        async with running_engine() as peer:
            await peer.fault("cut", after_tokens=5)
            with testtools.ExpectedException(CutLinkError):
                await peer.send("POST", COMPLETIONS, completion_body("a"))
            chunks = await peer.chunks("GET", "/v1/streams/a?offset=5")
        assert tokens_of(chunks) == expected_tokens(PROMPT, 30)[5:]

    @async_test
    async def test_unread_stream_is_dropped_after_its_hold_time(self) -> None:
        options = ("--hold-s", "0.05", "--load-lag-s", "0.02")
        async with running_engine(*options) as peer:
            await peer.chunks("POST", COMPLETIONS, completion_body("a"))

            async def is_dropped() -> bool:
                return "a" not in peer.stand_in._streams

            await wait_until(is_dropped)
            assert not await is_stream_held(peer, "a")

    @async_test
    async def test_cancel_is_idempotent(self) -> None:
        async with running_engine("--tokens-per-second", "1") as peer:
            work = asyncio.create_task(
                peer.chunks("POST", COMPLETIONS, completion_body("a"))
            )

            async def has_begun() -> bool:
                return bool(peer.journal("begun"))

            await wait_until(has_begun)
            for _ in range(2):
                answer = await peer.send("DELETE", "/v1/streams/a")
                assert answer.status == 200
            chunks = await work
            assert not await is_stream_held(peer, "a")
        assert json.loads(chunks[-1])["error"]["type"] == "cancelled"
        assert len(peer.journal("cancelled")) == 1

    @async_test
    async def test_same_stream_id_twice_is_refused(self) -> None:
        async with running_engine() as peer:
            await peer.send("POST", COMPLETIONS, completion_body("a"))
            answer = await peer.send("POST", COMPLETIONS, completion_body("a"))
        assert answer.status == 409


class TestBatching(testtools.TestCase):
    @async_test
    async def test_urgent_request_is_admitted_first(self) -> None:
        # The first one runs for 3 s, until the others wait for its slot.
        options = ("--slots", "1", "--tokens-per-second", "20")
        async with running_engine(*options) as peer:
            for name, priority, tokens in (
                ("a", 1, 60),
                ("b", 5, 2),
                ("c", 0, 2),
            ):
                await asyncio.sleep(0)
                body = completion_body(name, tokens, priority=priority)
                task = asyncio.create_task(
                    peer.send("POST", COMPLETIONS, body)
                )
                self.addCleanup(task.cancel)

                async def has_begun(name: str = name) -> bool:
                    return name in peer.stand_in._streams

                await wait_until(has_begun)
            assert peer.journal("finished") == []

            async def all_finished() -> bool:
                return len(peer.journal("finished")) == 3

            await wait_until(all_finished)
        assert [e["op"] for e in peer.journal("finished")] == ["a", "c", "b"]

    @async_test
    async def test_load_is_reported(self) -> None:
        options = ("--slots", "1", "--tokens-per-second", "1")
        async with running_engine(*options, "--load-lag-s", "0.01") as peer:
            tasks = [
                asyncio.create_task(
                    peer.send("POST", COMPLETIONS, completion_body(name))
                )
                for name in ("a", "b")
            ]

            async def load_is_reported() -> bool:
                load = await peer.json("GET", "/v1/load")
                return (load["running"], load["waiting"]) == (1, 1)

            await wait_until(load_is_reported)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


class TestPrefixCache(testtools.TestCase):
    @async_test
    async def test_second_request_finds_full_blocks(self) -> None:
        async with running_engine() as peer:
            first = await peer.complete(prompt=PROMPT, max_tokens=1)
            second = await peer.complete(prompt=PROMPT, max_tokens=1)
        counts = [
            (a["waxwing"]["cached_tokens"], a["waxwing"]["computed_tokens"])
            for a in (first, second)
        ]
        assert counts == [(0, 40), (32, 8)]

    @async_test
    async def test_limited_blocks_are_evicted(self) -> None:
        async with running_engine("--kv-blocks", "4") as peer:
            await peer.complete(prompt=PROMPT, max_tokens=1)
            await peer.complete(prompt="other " * 40, max_tokens=1)
            again = await peer.complete(prompt=PROMPT, max_tokens=1)
            events = await peer.json("GET", "/v1/cache/events?after=0")
            too_long = await peer.send(
                "POST", COMPLETIONS, {"prompt": "long " * 99}
            )
        assert again["waxwing"]["cached_tokens"] < 32
        assert {e["op"] for e in events["events"]} == {"add", "evict"}
        assert too_long.status == 400

    def test_least_recently_used_block_is_evicted_first(self) -> None:
        cache = PrefixCache(lambda: 0.0, 2)
        cache.add(["a", "b"])
        cache.hits(["a"])
        cache.add(["c"])
        assert [cache.hits([b]) for b in "abc"] == [1, 0, 1]

    @async_test
    async def test_resume_finds_the_blocks_of_the_answer(self) -> None:
        async with running_engine() as peer:
            await peer.send("POST", COMPLETIONS, completion_body("a"))
            known = expected_tokens(PROMPT, 12)
            body = completion_body("b", resume_text_tokens=known)
            chunks = await peer.chunks("POST", COMPLETIONS, body)
        first = json.loads(chunks[0])
        assert (first["cached_tokens"], first["computed_tokens"]) == (48, 4)

    @async_test
    async def test_events_have_gaps(self) -> None:
        async with running_engine("--cache-gap-every", "2") as peer:
            await peer.complete(prompt="word " * 64, max_tokens=1)
            events = await peer.json("GET", "/v1/cache/events?after=0")
        assert [e["seq"] for e in events["events"]] == [1, 3]

    @async_test
    async def test_exported_cache_saves_the_prefill(self) -> None:
        async with running_engine() as old, running_engine() as new:
            await old.chunks("POST", COMPLETIONS, completion_body("a"))
            body = {"stream_id": "a"}
            blob = await old.json("POST", "/v1/kv/export", body)
            await new.send("POST", "/v1/kv/import", {"blob": blob["blob"]})
            answer = await new.complete(prompt=PROMPT, max_tokens=1)
        assert blob["tokens"] == 70
        assert answer["waxwing"]["cached_tokens"] == 32


class TestOrders(testtools.TestCase):
    async def order(self, peer: Peer, fencing: int, version: str) -> int:
        body = {
            "order_id": f"o{fencing}",
            "fencing": fencing,
            "want": {"version": version},
        }
        return (await peer.send("POST", "/v1/orders", body)).status

    @async_test
    async def test_old_fencing_is_refused(self) -> None:
        async with running_engine() as peer:
            assert await self.order(peer, 7, "v2") == 200
            assert await self.order(peer, 6, "v1") == 412
            assert await self.order(peer, 7, "v2") == 200

    @async_test
    async def test_some_engines_ignore_fencing(self) -> None:
        async with running_engine("--ignore-fencing") as peer:
            assert await self.order(peer, 7, "v2") == 200
            assert await self.order(peer, 6, "v1") == 200

    @async_test
    async def test_loads_weights_from_the_platform(self) -> None:
        async with running_platform() as platform:
            options = ("--platform", platform.address, "--weights-mb", "1")
            async with running_engine(*options) as peer:
                await self.order(peer, 1, "v2")
                before = await peer.json("GET", "/v1/state")

                async def is_loaded() -> bool:
                    return bool(
                        (await peer.json("GET", "/v1/state"))["loaded"]
                    )

                await wait_until(is_loaded)
                after = await peer.json("GET", "/v1/state")
            weights = platform.journal("weights")
        assert (before["version"], before["loaded"]) == ("v1", False)
        assert after["version"] == "v2"
        assert len(weights) == 1


class TestEngineFaults(testtools.TestCase):
    @async_test
    async def test_muted_connections_stay_muted(self) -> None:
        async with running_engine() as peer:
            await peer.send("GET", "/health")
            other = Peer(peer.stand_in, peer.address)
            await other.fault("silent")
            with testtools.ExpectedException(SilentLinkError):
                await peer.send("GET", "/health", limit_s=0.05)
            assert (await peer.send("GET", "/health")).status == 200
            await other.http.async_unload()

    @async_test
    async def test_repeated_and_swapped_chunks(self) -> None:
        expected = expected_tokens(PROMPT, 30)
        for kind in ("repeat_chunk", "wrong_order"):
            async with running_engine() as peer:
                await peer.fault(kind)
                chunks = await peer.chunks(
                    "POST", COMPLETIONS, completion_body("a")
                )
            assert tokens_of(chunks) != expected, kind
            assert set(tokens_of(chunks)) == set(expected), kind

    @async_test
    async def test_bad_version_fails_on_its_route_only(self) -> None:
        async with running_engine("--version", "v2") as peer:
            await peer.fault("bad_version", version="v2", route="/v1/chat")
            body = {"messages": [{"role": "user", "content": "x"}]}
            chat = await peer.send("POST", "/v1/chat/completions", body)
            plain = await peer.send("POST", COMPLETIONS, {"prompt": "x"})
        assert (chat.status, plain.status) == (500, 200)

    @async_test
    async def test_bad_version_does_not_affect_other_versions(self) -> None:
        async with running_engine("--version", "v1") as peer:
            await peer.fault("bad_version", version="v2")
            answer = await peer.send("POST", COMPLETIONS, {"prompt": "x"})
        assert answer.status == 200
