"""A fault campaign over real processes, at random from a seed."""

import argparse
import asyncio
import time
from random import Random
from typing import Final

from standins.campaign_checks import PromiseChecker
from standins.campaign_faults import FaultInjector
from standins.campaign_load import LoadGenerator
from standins.campaign_report import Report
from standins.campaign_watch import StateSampler
from standins.campaign_world import World
from standins.cluster import Cluster
from standins.deployment import Deployment

MAX_MINUTES: Final = 60.0
MAX_HOSTS: Final = 12
MIN_HOSTS: Final = 3
EXIT_BROKEN: Final = 1


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="script/faults", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument(
        "--log", action="store_true", help="also print each fault"
    )
    return parser


async def async_campaign(
    world: World, report: Report, seed: int, seconds: float
) -> None:
    """Run load and faults at the same time, then check the promises."""
    load = LoadGenerator(world, report, seed)
    sampler = StateSampler(world)
    injector = FaultInjector(world, report, Random(seed))
    sampler.start()
    try:
        end = time.monotonic() + seconds
        await asyncio.gather(
            load.async_run(end), asyncio.to_thread(injector.run, end)
        )
    finally:
        sampler.stop()
    PromiseChecker(world, report, load, sampler).run()


def main() -> int:
    """Run a campaign; return 1 if a promise was broken."""
    args = build_parser().parse_args()
    minutes = min(args.minutes, MAX_MINUTES)
    hosts = max(MIN_HOSTS, min(args.hosts, MAX_HOSTS))
    with Cluster() as cluster:
        report = Report()
        world = World(dep=Deployment(cluster=cluster), report=report)
        world.setup(hosts)
        report.started_at = time.time()
        asyncio.run(async_campaign(world, report, args.seed, minutes * 60))
    if args.log:
        print(report.events_between(0, float("inf")).replace("; ", "\n"))
    print(f"seed {args.seed}, {minutes:g} min, {hosts} entry hosts")
    print(report.format())
    return EXIT_BROKEN if report.broken_counts else 0


if __name__ == "__main__":
    raise SystemExit(main())
