"""Stops processes of servers in series, beside faults of hosts.

Prints for each seed how many streams went on at another server, how many of
them ran at two servers at once, and how many requests that may run once ran
twice, or ran and were refused as not run.
"""

import argparse
import asyncio
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from itertools import combinations
from pathlib import Path
from random import Random
from typing import Final

from standins.campaign_report import Report
from standins.fleet import ENGINE_SERVICE, PLAIN_SERVICE, Fleet
from standins.fleet_server import Run
from standins.refusals import ANY, COPIES
from standins.server_process import ProcessServer
from standins.soak.link import LinkEnd
from standins.soak.load import (
    NON_IDEMPOTENT_ROUTES,
    STREAM_ROUTES,
    Call,
    LoadGenerator,
)
from standins.soak.promises import (
    CANCEL_LIMIT_S,
    OVERLAP_LIMIT_S,
    Promise,
)
from standins.soak.world import Daemon, World

EVENT_INTERVAL_S: Final = 0.05
EVENTS_PER_STREAM: Final = 40
PAUSED_RATIOS: Final = (1.0, 0.6, 0.3)
PAUSE_INTERVAL_S: Final = 6.0
FIRST_PAUSE_S: Final = 3.0
CONFIG_LEAD_S: Final = 0.6
STREAM_TIMEOUTS_MS: Final = (8000, 9000, 10000)
BESIDE: Final = (
    "none",
    "restart",
    "kill",
    "freeze",
    "cut",
    "crash",
    "drain",
    "drain-kill",
    "drain-restart",
    "lapse",
    "cut-peer-kill",
    "cut-peer-freeze",
    "reset",
    "reset-host-end",
    "reset-host-end-for-good",
    "reset-cut",
    "reborn",
)
# How many servers say that they are draining, and for how long.
DRAINING: Final = 4
DRAIN_S: Final = 2.5
# How many servers start under another id, and for how long the entries of
# before stand.
REBORN: Final = 3
LISTED_S: Final = 2.0
# The entry of a stopped server is gone for this share of its stop.
LAPSED_RATIO: Final = 2 / 3
MAX_LISTED_CALLS: Final = 60
# One pause in so many is of plain servers, the others of engines.
PLAIN_EVERY: Final = 4
MS_PER_S: Final = 1000
# The errors of calls whose callers left.
CALLER_LEFT: Final = ("no end", "SilentLinkError")
STREAM_DEADLINE_S: Final = 10.0
# Callers leave a stream after the longest of these gaps.
MIN_PATIENCE_S: Final = 2.0
PATIENCE_PER_OBJECTIVE: Final = 4
PATIENCE_PER_GAP: Final = 8


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m standins.pauses", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--plain", type=int, default=4)
    parser.add_argument("--callers", type=int, default=50)
    parser.add_argument(
        "--pause", type=float, nargs=2, default=(1.0, 1.3), metavar="SECONDS"
    )
    parser.add_argument(
        "--beside", choices=BESIDE, nargs="+", default=("none",)
    )
    parser.add_argument(
        "--refuse-ratio",
        type=float,
        default=0.0,
        help="share of requests that servers refuse",
    )
    parser.add_argument(
        "--copies",
        choices=(*COPIES, ANY),
        default="",
        help="copies of refusals where the next answers are due",
    )
    parser.add_argument(
        "--repeat",
        type=float,
        default=0.0,
        help="share of refused requests that callers repeat with their ids",
    )
    parser.add_argument(
        "--interval",
        type=float,
        default=PAUSE_INTERVAL_S,
        help="seconds from a stop to the next one, if nothing lasts longer",
    )
    parser.add_argument("--ignore-close", action="store_true")
    parser.add_argument("--calm", action="store_true", help="stop nothing")
    parser.add_argument("--patient", action="store_true")
    parser.add_argument("--events", type=int, default=EVENTS_PER_STREAM)
    parser.add_argument("--event-s", type=float, default=EVENT_INTERVAL_S)
    parser.add_argument("--work-s", type=float, help="work of plain requests")
    parser.add_argument("--tree", type=Path, help="folder of another build")
    parser.add_argument(
        "--tree-hosts", type=int, default=99, help="how many hosts run it"
    )
    parser.add_argument("--objective-ms", type=int, default=400)
    parser.add_argument("--gap-ms", type=int, default=300)
    parser.add_argument("--keep", type=Path, help="folder for the logs")
    return parser


class Series:
    """The pauses of one run, and what happens beside them."""

    def __init__(
        self, world: World, rng: Random, args: argparse.Namespace
    ) -> None:
        self._world = world
        self._rng = rng
        self._args = args
        self._configs = 0
        # The stops of servers, with their beginnings and ends.
        self.stops: list[tuple[str, float, float]] = []

    async def async_run(self, until: float) -> None:
        """Pause servers of a service in turn until a monotonic time."""
        if self._args.calm and set(self._args.beside) == {"none"}:
            await asyncio.sleep(until - time.monotonic())
            return
        await asyncio.sleep(FIRST_PAUSE_S)
        number = 0
        while time.monotonic() < until - self._args.interval:
            self._change_config()
            await asyncio.sleep(CONFIG_LEAD_S)
            length_s = self._rng.uniform(*self._args.pause)
            is_plain = number % PLAIN_EVERY == PLAIN_EVERY - 1
            service = PLAIN_SERVICE if is_plain else ENGINE_SERVICE
            ratio = PAUSED_RATIOS[number % len(PAUSED_RATIOS)]
            paused = [] if self._args.calm else self._choose(service, ratio)
            self._world.report.record_fault("pause", f"{length_s:.2f} s")
            await asyncio.gather(
                *(self._async_beside(b, length_s) for b in self._args.beside),
                *(self._async_pause(s, length_s) for s in paused),
            )
            await asyncio.sleep(self._args.interval - CONFIG_LEAD_S - length_s)
            number += 1

    def _choose(self, service: str, ratio: float) -> list[ProcessServer]:
        servers = [
            s
            for s in self._world.fleet.servers
            if s.service == service and isinstance(s, ProcessServer)
        ]
        return self._rng.sample(servers, round(len(servers) * ratio))

    async def _async_pause(
        self, server: ProcessServer, length_s: float
    ) -> None:
        began_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            if "lapse" in self._args.beside:
                group.create_task(self._async_lapse(server, length_s))
            await server.async_fall_silent(length_s)
        self.stops.append((server.server_id, began_at, time.monotonic()))

    async def _async_lapse(
        self, server: ProcessServer, length_s: float
    ) -> None:
        """Let the entry of a server be gone amid its stop."""
        present_s = length_s * (1 - LAPSED_RATIO) / 2
        await asyncio.sleep(present_s)
        self._world.fleet.withdraw(server)
        await asyncio.sleep(length_s * LAPSED_RATIO)
        self._world.register(server)

    def _change_config(self) -> None:
        cfg = self._world.fleet.config
        cfg.version += 1 + self._rng.randrange(3)
        self._configs += 1
        if self._configs % 2:
            cfg.limits = {
                "idle_timeout_ms": self._rng.choice((3000, 15000, 8000))
            }
        else:
            cfg.stream_timeout_ms = self._rng.choice(STREAM_TIMEOUTS_MS)
        self._world.fleet.put_config()

    async def _async_restart(
        self, daemon: Daemon, end: Callable[[Daemon], Awaitable[None]]
    ) -> None:
        await end(daemon)
        self._world.note_restart(daemon)
        await self._world.async_start(daemon)
        await self._world.async_wait_ready(daemon)

    async def _async_freeze(self, daemon: Daemon, length_s: float) -> None:
        self._world.freeze(daemon)
        await asyncio.sleep(length_s)
        self._world.thaw(daemon)

    async def _async_cut(self, length_s: float) -> None:
        links = self._world.host_links["host-0"]
        links.partition()
        await asyncio.sleep(length_s + 1.0)
        await links.async_heal()

    async def _async_drain(self) -> None:
        """Let servers say that they drain, and be new ones after it."""
        engines = self._world.fleet.engines()
        draining = self._rng.sample(engines, min(DRAINING, len(engines)))
        for server in draining:
            self._world.register(server, "draining")
        await asyncio.sleep(DRAIN_S)
        for server in draining:
            server.born += 1
            self._world.register(server)

    async def _async_restart_under_other_ids(self) -> None:
        """Let servers start under other ids, beside their old entries."""
        servers = self._rng.sample(self._world.fleet.servers, REBORN)
        await asyncio.gather(
            *(
                self._world.async_start_under_other_id(server, LISTED_S)
                for server in servers
            )
        )

    async def _async_beside(self, beside: str, length_s: float) -> None:
        world = self._world
        daemon = world.daemons["host-0"]
        peer = world.daemons["host-1"]
        links = world.host_links["host-0"]
        await asyncio.sleep(self._rng.uniform(0, 0.3))
        match beside:
            case "restart":
                await self._async_restart(daemon, world.async_stop)
            case "kill":
                await self._async_restart(daemon, world.async_kill)
            case "freeze":
                await self._async_freeze(daemon, length_s)
            case "cut":
                await self._async_cut(length_s)
            case "drain":
                await self._async_drain()
            case "drain-kill":
                await asyncio.gather(
                    self._async_drain(),
                    self._async_restart(daemon, world.async_kill),
                )
            case "drain-restart":
                await asyncio.gather(
                    self._async_drain(),
                    self._async_restart(daemon, world.async_stop),
                )
            case "cut-peer-kill":
                await asyncio.gather(
                    self._async_cut(length_s),
                    self._async_restart(peer, world.async_kill),
                )
            case "cut-peer-freeze":
                await asyncio.gather(
                    self._async_cut(length_s),
                    self._async_freeze(peer, length_s),
                )
            case "reset":
                links.reset()
            case "reset-host-end":
                links.reset(LinkEnd.CLIENT)
            case "reset-host-end-for-good":
                links.reset(LinkEnd.CLIENT_FOR_GOOD)
            case "reset-cut":
                links.reset()
                await self._async_cut(length_s)
            case "reborn":
                await self._async_restart_under_other_ids()
            case "crash":
                server = self._rng.choice(world.fleet.engines())
                await server.async_unload()
                await asyncio.sleep(length_s)
                server.born += 1
                await server.async_setup()
                world.register(server)


def overlaps(runs: list[Run]) -> list[float]:
    """Return how long each two runs at different servers lasted at once."""
    ordered = sorted(runs, key=lambda run: run.began_at)
    return [
        min(a.ended_at, b.ended_at) - b.began_at
        for a, b in combinations(ordered, 2)
        if a.server_id != b.server_id
    ]


def is_at_two(runs: list[Run]) -> bool:
    """Return whether a run went on beside that of another server."""
    return max(overlaps(runs), default=0.0) > OVERLAP_LIMIT_S


def count_late_ends(
    calls: list[Call],
    runs: dict[str, list[Run]],
    stops: list[tuple[str, float, float]],
) -> int:
    """Return how many runs went on after their caller had left.

    A run at a server that was stopped meanwhile has the bound from the end
    of the stop on.
    """
    count = 0
    for call in calls:
        if call.status or not call.error.startswith(CALLER_LEFT):
            continue
        for run in runs[call.request_id]:
            woke_at = max(
                (
                    end
                    for name, begin, end in stops
                    if name == run.server_id
                    and begin < call.ended_at + CANCEL_LIMIT_S
                    and end > call.ended_at
                ),
                default=call.ended_at,
            )
            count += woke_at + CANCEL_LIMIT_S < run.ended_at < float("inf")
    return count


def report_lines(
    world: World,
    calls: list[Call],
    stops: list[tuple[str, float, float]],
    began_at: float,
) -> list[str]:
    """Return what the callers and the servers saw, with evidence."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in world.fleet.runs:
        runs[run.request_id].append(run)
    moved = [c for c in calls if c.route in STREAM_ROUTES]
    moved = [c for c in moved if len(runs[c.request_id]) > 1]
    elsewhere = [
        c
        for c in moved
        if len({run.server_id for run in runs[c.request_id]}) > 1
    ]
    overlapping = [c for c in moved if is_at_two(runs[c.request_id])]
    twice = [
        c
        for c in calls
        if c.route in NON_IDEMPOTENT_ROUTES
        and c.repeated_at == float("inf")
        and _has_repeated(runs[c.request_id])
    ]
    untrue = [
        c
        for c in calls
        if c.route in NON_IDEMPOTENT_ROUTES
        and c.is_refused_untruly(runs[c.request_id])
    ]
    statuses = Counter(
        (c.route, c.status or c.error.partition(":")[0]) for c in calls
    )
    copied = sum(bool(run.copy) for run in world.fleet.runs)
    lines = [
        f"streams at more than one server {len(elsewhere)}, again at one"
        f" {len(moved) - len(elsewhere)}, at two at once"
        f" {len(overlapping)}, run twice {len(twice)}, refused though they"
        f" ran {len(untrue)} of {len(calls)} calls, from copies {copied},"
        f" longest overlap {_longest(overlapping, runs):.2f} s,"
        f" at work after the caller left"
        f" {count_late_ends(calls, runs, stops)}",
        " ".join(
            f"{r}{s}:{n}" for (r, s), n in sorted(statuses.items(), key=str)
        ),
    ]
    for call in [*twice, *untrue, *moved][:MAX_LISTED_CALLS]:
        parts = [
            f"{r.server_id} {r.began_at - began_at:.2f}.."
            f"{r.ended_at - began_at:.2f} {r.ended}"
            f" from {r.headers.get('last-event-id')}"
            for r in sorted(runs[call.request_id], key=lambda r: r.began_at)
        ]
        lines.append(
            f"  {call.request_id} {call.route} {call.host}"
            f" {call.status or call.error}"
            f" sent {call.sent_at - began_at:.2f}: {'; '.join(parts)}"
        )
    return lines


def _has_repeated(runs: list[Run]) -> bool:
    """Return whether there are two new runs, or two from one copy."""
    copies = [run.copy for run in runs]
    return len(copies) != len(set(copies))


def _longest(calls: list[Call], runs: dict[str, list[Run]]) -> float:
    return max((max(overlaps(runs[c.request_id])) for c in calls), default=0)


async def async_pauses(
    args: argparse.Namespace, seed: int, folder: Path
) -> list[str]:
    """Run one series of pauses, and return the report's lines."""
    report = Report(promises=tuple(Promise))
    trees = {
        f"host-{n}": args.tree
        for n in range(min(args.hosts, args.tree_hosts))
        if args.tree
    }
    world = World(
        folder=folder,
        report=report,
        fleet=Fleet(ProcessServer),
        trees=trees,
    )
    try:
        cfg = world.fleet.config
        cfg.stream_objective_ms = args.objective_ms
        cfg.stream_gap_ms = args.gap_ms
        cfg.stream_timeout_ms = max(STREAM_TIMEOUTS_MS)
        await world.async_setup(args.hosts, args.engines, args.plain)
        for server in world.fleet.engines():
            server.behaviour.events = args.events
            server.behaviour.event_s = args.event_s
            server.behaviour.ignores_close = args.ignore_close
        for server in world.fleet.servers:
            server.behaviour.refuse_ratio = args.refuse_ratio
            server.behaviour.copies = args.copies
        if args.work_s is not None:
            for server in world.fleet.plain():
                server.behaviour.work_s = args.work_s
        await world.async_apply_behaviours()
        load = LoadGenerator(world, report, seed)
        load.patience_s = (
            float("inf")
            if args.patient
            else max(
                MIN_PATIENCE_S,
                PATIENCE_PER_OBJECTIVE * args.objective_ms / MS_PER_S,
                PATIENCE_PER_GAP * args.gap_ms / MS_PER_S,
            )
        )
        load.repeat_probability = args.repeat
        load.stream_deadline_s = STREAM_DEADLINE_S
        began_at = time.monotonic()
        callers = asyncio.create_task(load.async_run(args.callers))
        series = Series(world, Random(seed), args)
        await series.async_run(began_at + args.seconds)
        load.stop_calls()
        await callers
        return report_lines(world, load.calls, series.stops, began_at)
    finally:
        await world.async_unload()


def main() -> None:
    """Run a series for each seed and print what was seen."""
    args = build_parser().parse_args()
    for seed in range(args.seed, args.seed + args.seeds):
        with tempfile.TemporaryDirectory() as name:
            folder = args.keep / f"seed-{seed}" if args.keep else Path(name)
            folder.mkdir(parents=True, exist_ok=True)
            lines = asyncio.run(async_pauses(args, seed, folder))
        stops = "nothing" if args.calm else f"{args.pause} s"
        print(
            f"seed {seed}, stops of {stops} beside"
            f" {', '.join(args.beside)}, refused {args.refuse_ratio:g},"
            f" copies {args.copies or 'none'}"
        )
        print("\n".join(lines), flush=True)


if __name__ == "__main__":
    main()
