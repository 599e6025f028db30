"""Runs the policies and prints their figures in tables."""

import argparse
import gc
from collections.abc import Iterator
from random import Random

from policy_feed import PlacementSimulation, PolicyResult, SimulatedHost
from policy_noise import quiet_p99_s
from policy_reclaim import ReclaimCosts
from policy_workload import DEPLOYMENTS, Deployment

from waxwingarch.core.placement.placement import CostPlacement
from waxwingarch.core.placement.placement_baseline import (
    LeastLoaded,
    RoundRobin,
)
from waxwingarch.core.placement.prefix import PrefixIndex
from waxwingarch.core.servers.reclaim import plan, plan_recompute

NOTICE_INTERVAL_S = 10.0
BYTES_PER_GBIT = 125e6
BASELINE = "least-loaded"


def _make_cost_host(rng: Random, hosts: int) -> SimulatedHost:
    prefixes = PrefixIndex()
    placement = CostPlacement(rng, prefixes)
    placement.set_host_count(hosts)
    return SimulatedHost(placement=placement, prefixes=prefixes)


def _make_least_loaded_host(rng: Random, hosts: int) -> SimulatedHost:
    return SimulatedHost(placement=LeastLoaded(), prefixes=PrefixIndex())


def _make_peer_aware_host(rng: Random, hosts: int) -> SimulatedHost:
    return SimulatedHost(
        placement=LeastLoaded(host_count=hosts), prefixes=PrefixIndex()
    )


def _make_stale_host(rng: Random, hosts: int) -> SimulatedHost:
    return SimulatedHost(
        placement=LeastLoaded(count_own=False), prefixes=PrefixIndex()
    )


def _make_round_robin_host(rng: Random, hosts: int) -> SimulatedHost:
    return SimulatedHost(placement=RoundRobin(), prefixes=PrefixIndex())


POLICIES = {
    "cost": _make_cost_host,
    "least-loaded": _make_least_loaded_host,
    "least-loaded-peers": _make_peer_aware_host,
    "least-loaded-stale": _make_stale_host,
    "round-robin": _make_round_robin_host,
}


def report(options: argparse.Namespace) -> None:
    """Print the figures that the options select.

    The garbage collector is off, so that its pauses over the objects of
    the simulation don't count as decision time.
    """
    gc.disable()
    print(f"options: {vars(options)}")
    for deployment in _deployments(options.deployment):
        if options.part in ("placement", "all"):
            _report_placement(options, deployment)
        if options.part in ("reclaim", "all"):
            _report_reclaim(options, deployment)
    if options.part in ("noise", "all"):
        _report_noise(options)


def _deployments(name: str) -> list[Deployment]:
    if name == "both":
        return list(DEPLOYMENTS.values())
    return [DEPLOYMENTS[name]]


def _seeds(options: argparse.Namespace) -> Iterator[int]:
    return iter(range(options.seed, options.seed + options.seeds))


def _report_placement(
    options: argparse.Namespace, deployment: Deployment
) -> None:
    print(
        f"\nplacement, {deployment.name}, load {options.load}, "
        f"cache {options.cache_blocks} blocks a server"
    )
    print(
        f"{'policy':20}{'requests':>9}{'in time':>9}{'reused':>8}"
        f"{'x base':>8}{'p50 ms':>8}{'p99 ms':>8}{'cost/1000':>10}"
        f"{'peak':>6}{'us p50':>8}{'us p99':>8}"
    )
    results = {
        name: _run(options, deployment, name)
        for name in POLICIES
        if options.policy in (name, "all") or name == BASELINE
    }
    base = results[BASELINE]
    for name, result in results.items():
        _print_result(name, result, base)
    possible = base.reusable_tokens / base.prompt_tokens
    print(f"reusable by one cache without limit: {possible:.3f}")


def _run(
    options: argparse.Namespace, deployment: Deployment, name: str
) -> PolicyResult:
    total = PolicyResult()
    for seed in _seeds(options):
        simulation = PlacementSimulation(
            deployment,
            POLICIES[name],
            seed,
            options.seconds,
            options.load,
            options.cache_blocks,
        )
        _add_result(total, simulation.run())
    return total


def _add_result(total: PolicyResult, part: PolicyResult) -> None:
    total.first_token_us.add(part.first_token_us)
    total.decision_ns.add(part.decision_ns)
    total.requests += part.requests
    total.in_time += part.in_time
    total.reused_tokens += part.reused_tokens
    total.prompt_tokens += part.prompt_tokens
    total.reusable_tokens += part.reusable_tokens
    total.cost += part.cost
    total.peak_ratios += part.peak_ratios


def _print_result(name: str, result: PolicyResult, base: PolicyResult) -> None:
    first = result.first_token_us
    decision = result.decision_ns
    reused = result.reused_tokens / result.prompt_tokens
    print(
        f"{name:20}{result.requests:9}{result.in_time / result.requests:9.4f}"
        f"{reused:8.3f}{result.reused_tokens / base.reused_tokens:8.2f}"
        f"{first.get_value_at_percentile(50) / 1e3:8.0f}"
        f"{first.get_value_at_percentile(99) / 1e3:8.0f}"
        f"{result.cost / result.in_time * 1000:10.4f}"
        f"{sum(result.peak_ratios) / len(result.peak_ratios):6.2f}"
        f"{decision.get_value_at_percentile(50) / 1e3:8.0f}"
        f"{decision.get_value_at_percentile(99) / 1e3:8.0f}"
    )


def _report_reclaim(
    options: argparse.Namespace, deployment: Deployment
) -> None:
    link_bytes_per_s = options.link_gbit * BYTES_PER_GBIT
    costs_by_plan = {
        "plan": ReclaimCosts(link_bytes_per_s=link_bytes_per_s),
        "recompute-always": ReclaimCosts(link_bytes_per_s=link_bytes_per_s),
    }
    plans = {"plan": plan, "recompute-always": plan_recompute}
    for seed in _seeds(options):
        rng = Random(seed)

        def notify(now, servers, rng=rng):
            if now % NOTICE_INTERVAL_S:
                return
            notice_s = rng.uniform(*options.notice_s)
            failure_domain = rng.choice(servers).info.failure_domain
            for name, costs in costs_by_plan.items():
                costs.add_notice(
                    plans[name], now, notice_s, servers, failure_domain
                )

        PlacementSimulation(
            deployment,
            _make_cost_host,
            seed,
            options.seconds,
            options.load,
            options.cache_blocks,
            notify,
        ).run()
    print(
        f"\nloss of a failure domain, {deployment.name}, "
        f"notice {options.notice_s} s, link {options.link_gbit} Gbit/s"
    )
    base = costs_by_plan["recompute-always"].recomputed_tokens
    for name, costs in costs_by_plan.items():
        print(
            f"{name:18} streams {costs.streams} finished {costs.finished} "
            f"moved {costs.moved} resumed {costs.resumed} cut {costs.aborted} "
            f"recomputed tokens {costs.recomputed_tokens} "
            f"ratio {costs.recomputed_tokens / base:.3f}"
        )


def _report_noise(options: argparse.Namespace) -> None:
    print("\nnoisy neighbour: the quiet account's p99, s")
    for seed in _seeds(options):
        calm_s = quiet_p99_s(1.0, seed)
        flooded_s = quiet_p99_s(10.0, seed)
        print(
            f"seed {seed}: at 1x {calm_s:.3f}, at 10x {flooded_s:.3f}, "
            f"ratio {flooded_s / calm_s:.3f}"
        )
