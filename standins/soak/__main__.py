"""Runs fault soaks, one a seed; ends with 1 where a promise was broken."""

import argparse
import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Final

from standins.campaign_report import Report
from standins.fleet import Fleet
from standins.fleet_server import FleetServer
from standins.server_process import ProcessServer
from standins.soak.checks import PromiseChecker
from standins.soak.faults import PROCESS_FAULTS, FaultInjector
from standins.soak.load import LoadGenerator
from standins.soak.promises import Promise
from standins.soak.world import World

EXIT_BROKEN: Final = 1


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="script/soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="the first one")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--plain", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument(
        "--keep", type=Path, help="folder for the logs of a broken run"
    )
    parser.add_argument(
        "--only", nargs="+", default=(), help="names of the faults to inject"
    )
    parser.add_argument(
        "--processes",
        action="store_true",
        help="run each server as a process, with the faults that fit",
    )
    parser.add_argument(
        "--log", action="store_true", help="also print each fault"
    )
    return parser


async def async_soak(
    args: argparse.Namespace, seed: int, folder: Path
) -> Report:
    """Run one soak and return its report."""
    report = Report(promises=tuple(Promise))
    fleet = Fleet(ProcessServer if args.processes else FleetServer)
    world = World(folder=folder, report=report, fleet=fleet)
    only = args.only or (PROCESS_FAULTS if args.processes else ())
    try:
        await world.async_setup(args.hosts, args.engines, args.plain)
        report.started_at = time.time()
        load = LoadGenerator(world, report, seed)
        injector = FaultInjector(world, load, Random(seed), only)
        checker = PromiseChecker(world, load, injector, report)
        process_watch = asyncio.create_task(checker.async_run())
        until = time.monotonic() + args.seconds
        callers = asyncio.create_task(load.async_run(args.callers))
        await injector.async_run(until)
        load.stop_calls()
        await callers
        process_watch.cancel()
        checker.check_all()
    finally:
        await world.async_unload()
    return report


def main() -> int:
    """Run a soak for each seed, one after the other."""
    args = build_parser().parse_args()
    first = args.seed if args.seed is not None else int(time.time())
    broken = 0
    for seed in range(first, first + args.seeds):
        with tempfile.TemporaryDirectory() as name:
            report = asyncio.run(async_soak(args, seed, Path(name)))
            failed = bool(report.broken_counts)
            if failed and args.keep:
                shutil.copytree(
                    name, args.keep / f"seed-{seed}", dirs_exist_ok=True
                )
        broken += failed
        if args.log:
            print(report.events_between(0, float("inf")).replace("; ", "\n"))
        print(
            f"seed {seed}, {args.seconds:g} s, {args.hosts} hosts, "
            f"{args.engines} engines, {args.plain} plain servers"
        )
        print(report.format(), flush=True)
    print(f"{args.seeds} seeds, {broken} broken")
    return EXIT_BROKEN if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
