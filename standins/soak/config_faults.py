"""Changes of the configuration and reloads, one after the other."""

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Final

from standins.fleet import FleetConfig
from standins.front_process import KEY
from standins.soak.annex import add_annex
from standins.soak.load import LoadGenerator
from standins.soak.promises import (
    CONFIG_SERIES,
    SHORT_PLAIN_TIMEOUT_S,
    SHORT_STREAM_TIMEOUT_S,
)
from standins.soak.targets import Fault, Preparation, Targets
from standins.soak.world import Daemon

CHANGES_PER_SERIES: Final = (3, 8)
CHANGE_GAP_S: Final = (0.02, 0.6)
SIGHUP_PROBABILITY: Final = 0.5
SIGTERM_PROBABILITY: Final = 0.3
IDLE_TIMEOUTS_MS: Final = (2_000, 5_000, 15_000)
MAX_BODIES_BYTES: Final = (100_000, 1_000_000)
# Far above what the callers use: 0 means no limit.
QUOTAS_PER_S: Final = (0.0, 100_000.0)
TIMEOUTS_MS: Final = (
    (2000, 5000),
    (round(SHORT_PLAIN_TIMEOUT_S * 1000), 5000),
    (2000, round(SHORT_STREAM_TIMEOUT_S * 1000)),
)


class ConfigFaults:
    """Prepares changes that no request may be lost by."""

    def __init__(
        self,
        targets: Targets,
        load: LoadGenerator,
        prepare_stop: Preparation,
    ) -> None:
        self._targets = targets
        self._world = targets.world
        self._rng = targets.rng
        self._load = load
        self._prepare_stop = prepare_stop
        # The time, version and keys of each change of the keys.
        self.changes: list[tuple[float, int, tuple[str, ...]]] = []
        self.choices: dict[str, Preparation] = {
            "config": self.prepare_key_change,
            "reload": self._prepare_reload,
            "config series": self._prepare_series,
        }
        self._changes: tuple[Callable[[], str], ...] = (
            self._change_idle_timeout,
            self._change_limits,
            self._change_quota,
            self._change_timeouts,
            self._change_tenants,
            self._change_annex,
            self._change_annex,
        )

    @property
    def _config(self) -> FleetConfig:
        return self._world.fleet.config

    def _put(self) -> None:
        self._config.version += 1
        self._world.fleet.put_config()

    def prepare_key_change(self) -> Fault | None:
        """Replace the API key that was added last by a new one."""
        self._world.report.record_fault("config", "")

        async def change() -> None:
            for _ in range(self._rng.randint(1, 3)):
                added = f"key-v{self._config.version + 1}"
                self._config.keys = (KEY, added)
                self._load.added_keys.append(added)
                self._put()
                now = time.monotonic()
                self.changes.append(
                    (now, self._config.version, self._config.keys)
                )
                await asyncio.sleep(self._rng.uniform(0, 1))

        return change

    def _prepare_reload(self) -> Fault | None:
        """Send SIGHUP to the hosts, which has to change nothing."""
        daemons = self._targets.undisturbed_daemons()
        self._world.report.record_fault("reload", f"{len(daemons)} hosts")

        async def reload() -> None:
            for daemon in daemons:
                _reload(daemon)
                await asyncio.sleep(0.05)

        return reload

    # Series of changes

    def _prepare_series(self) -> Fault | None:
        """Change the configuration again and again, beside reloads.

        At times one of the hosts stops meanwhile.
        """
        if CONFIG_SERIES in self._targets.disturbed_names:
            return None
        count = self._rng.randint(*CHANGES_PER_SERIES)
        interval = self._targets.begin_fault(
            CONFIG_SERIES, CONFIG_SERIES, f"{count} changes"
        )
        will_stop = self._rng.random() < SIGTERM_PROBABILITY
        stop = self._prepare_stop() if will_stop else None

        async def run_series() -> None:
            async with asyncio.TaskGroup() as group:
                if stop is not None:
                    group.create_task(stop())
                for _ in range(count):
                    self._change()
                    if self._rng.random() < SIGHUP_PROBABILITY:
                        for daemon in self._targets.undisturbed_daemons():
                            _reload(daemon)
                    await asyncio.sleep(self._rng.uniform(*CHANGE_GAP_S))
                self._restore()
            self._targets.end_fault(interval)

        return run_series

    def _change(self) -> None:
        what = self._rng.choice(self._changes)()
        self._put()
        self._world.report.record_note(f"config: {what}")

    def _restore(self) -> None:
        self._config.plain_timeout_ms = 2000
        self._config.stream_timeout_ms = 5000
        add_annex(self._config)
        self._put()

    def _change_idle_timeout(self) -> str:
        value = self._rng.choice(IDLE_TIMEOUTS_MS)
        self._config.limits["idle_timeout_ms"] = value
        return f"idle {value}"

    def _change_limits(self) -> str:
        value = self._rng.choice(MAX_BODIES_BYTES)
        self._config.limits["max_body_bytes"] = value
        return f"max body {value}"

    def _change_quota(self) -> str:
        self._config.rate = self._rng.choice(QUOTAS_PER_S)
        return f"quota {self._config.rate:g}"

    def _change_timeouts(self) -> str:
        plain_ms, stream_ms = self._rng.choice(TIMEOUTS_MS)
        self._config.plain_timeout_ms = plain_ms
        self._config.stream_timeout_ms = stream_ms
        return f"time-outs {plain_ms}, {stream_ms}"

    def _change_tenants(self) -> str:
        if self._config.extra_tenants:
            self._config.extra_tenants = []
            return "a tenant less"
        tenant = {"name": "account-2", "api_keys": ["key-b"]}
        self._config.extra_tenants = [tenant]
        return "another tenant"

    def _change_annex(self) -> str:
        """Drop a route, with or without its service, or add it again."""
        if not self._config.extra_routes:
            add_annex(self._config)
            return "route added"
        self._config.extra_routes = []
        if self._rng.random() < 0.5:
            return "route dropped"
        self._config.extra_services = []
        return "service dropped"


def _reload(daemon: Daemon) -> None:
    if daemon.process and daemon.is_running and not daemon.is_stopping:
        daemon.process.send_signal(signal.SIGHUP)
