"""The faults that a campaign picks from."""

import heapq
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from standins.campaign_report import Promise, Report
from standins.campaign_world import World, in_domain
from standins.cluster import ClusterError
from standins.deployment import contract_text

TOGETHER: Final = 0.3
RACERS: Final = 4
STOP_LIMIT_S: Final = 45.0
TICK_S: Final = 0.05
RECOVERY_LIMIT_S: Final = 30.0
STREAM_FAULTS: Final = (
    "silent",
    "cut",
    "repeat_chunk",
    "wrong_order",
    "late_answer",
)
SERVICE_FAULTS: Final = ("silent", "lost_reply", "late_answer")
PLATFORM_FAULTS: Final = (
    "down",
    "black_hole",
    "slow",
    "lost_reply",
    "stale_list",
    "stale_read",
    "drop_notices",
)

Step = Callable[[], None]


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class _Due:
    at: float
    number: int
    step: Step = field(compare=False)


class Injector:
    """Injects faults at random from a seed; all steps on one thread."""

    def __init__(self, world: World, report: Report, rng: Random) -> None:
        self._world = world
        self._report = report
        self._rng = rng
        self._due: list[_Due] = []
        self._number = 0
        self._kinds: tuple[Callable[[], bool], ...] = (
            self._kill,
            self._freeze,
            self._reclaim_server,
            self._reclaim_entry_host,
            self._reclaim_domain,
            self._platform,
            self._platform,
            self._links,
            self._links,
            self._planned_stop,
            self._race,
        )

    def run(self, end: float) -> None:
        """Inject until `end` (monotonic), then let all come back."""
        next_at = time.monotonic() + 1
        while time.monotonic() < end:
            self._tick()
            if time.monotonic() < next_at:
                continue
            self._inject()
            if self._rng.random() < TOGETHER:
                self._inject()
            next_at = time.monotonic() + self._rng.uniform(0.5, 3.0)
        limit = time.monotonic() + RECOVERY_LIMIT_S
        while (self._due or self._world.recovering) and (
            time.monotonic() < limit
        ):
            self._tick()
        self._world.cluster.clear_faults("platform")

    def _tick(self) -> None:
        time.sleep(TICK_S)
        while self._due and self._due[0].at <= time.monotonic():
            heapq.heappop(self._due).step()
        self._world.poll_recovering()

    def _later(self, delay_s: float, step: Step) -> None:
        self._number += 1
        at = time.monotonic() + delay_s
        heapq.heappush(self._due, _Due(at=at, number=self._number, step=step))

    def _inject(self) -> None:
        while not self._rng.choice(self._kinds)():
            pass

    def _pick(self, kind: str = "") -> str | None:
        names = self._world.calm(kind=kind)
        names = [n for n in names if self._world.may_disturb([n])]
        return self._rng.choice(names) if names else None

    def _restart_later(self, name: str, delay_s: float) -> None:
        self._later(delay_s, lambda: self._world.restart(name))

    # processes

    def _kill(self) -> bool:
        name = self._pick()
        if name is None:
            return False
        self._world.disturb(name, "kill")
        self._world.kill(name)
        self._report.injected("kill", name)
        self._restart_later(name, self._rng.uniform(0.5, 4))
        return True

    def _freeze(self) -> bool:
        name = self._pick()
        if name is None:
            return False
        self._world.disturb(name, "freeze")
        self._world.freeze(name)
        frozen_s = self._rng.uniform(0.5, 12)
        self._report.injected("freeze", f"{name} for {frozen_s:.1f} s")
        self._later(frozen_s, lambda: self._world.thaw(name))
        return True

    def _planned_stop(self) -> bool:
        name = self._pick("entry")
        if name is None:
            return False
        self._world.disturb(name, "stop")
        self._report.injected("planned_stop", name)
        self._world.cluster.signal(name, signal.SIGTERM)
        limit = time.monotonic() + STOP_LIMIT_S
        self._later(0.5, lambda: self._await_stop(name, limit))
        return True

    def _await_stop(self, name: str, limit: float) -> None:
        if not self._world.cluster.alive(name):
            code = self._world.cluster.wait(name)
            self._report.check(
                Promise.STOP, code == 0, f"{name} ended with {code}"
            )
            self._world.restart(name)
        elif time.monotonic() < limit:
            self._later(0.2, lambda: self._await_stop(name, limit))
        else:
            self._report.check(Promise.STOP, False, f"{name} did not end")
            self._world.kill(name)
            self._world.restart(name)

    # reclaim

    def _reclaim_server(self) -> bool:
        name = self._pick("engine" if self._rng.random() < 0.6 else "ledger")
        if name is None:
            return False
        self._notify_server(name, self._rng.uniform(2, 9))
        return True

    def _notify_server(self, name: str, deadline_s: float) -> None:
        how = self._rng.choice(("once", "once", "repeated", "late", "lost"))
        options: dict[str, float] = {}
        if how == "repeated":
            options["repeat"] = 3
        if how == "late":
            options["late_s"] = deadline_s * 0.7
        if how == "lost":
            self._world.cluster.fault("platform", "drop_notices", seconds=1)
        self._world.disturb(name, f"reclaim {how}")
        self._world.cluster.fault(
            "platform",
            "notice",
            server_id=name,
            deadline_s=deadline_s,
            **options,
        )
        self._report.injected(
            f"reclaim_{how}", f"{name} in {deadline_s:.1f} s"
        )
        self._restart_later(name, deadline_s + self._rng.uniform(1, 3))

    def _reclaim_entry_host(self) -> bool:
        name = self._pick("entry")
        if name is None:
            return False
        self._notify_entry_host(name, self._rng.uniform(1.5, 4))
        return True

    def _notify_entry_host(self, name: str, deadline_s: float) -> None:
        self._world.disturb(name, "reclaim")
        self._world.cluster.fault(
            "platform", "notice", host_id=name, deadline_s=deadline_s
        )
        self._report.injected("reclaim_entry", f"{name} in {deadline_s:.1f} s")
        self._later(deadline_s, lambda: self._world.kill(name))
        back_s = deadline_s + self._rng.uniform(1, 4)
        self._later(back_s, lambda: self._world.restore_entry_host(name))

    def _reclaim_domain(self) -> bool:
        names = in_domain(self._world, self._rng.randrange(4))
        if len(names) < 2 or not self._world.may_disturb(names):
            return False
        deadline_s = self._rng.uniform(2, 5)
        self._report.injected("domain", " ".join(names))
        for name in names:
            if name in self._world.dep.hosts:
                self._notify_entry_host(name, deadline_s)
            else:
                self._notify_server(name, deadline_s)
        return True

    # platform and links

    def _platform(self) -> bool:
        kind = self._rng.choice(PLATFORM_FAULTS)
        seconds = self._rng.uniform(1, 9)
        options: dict[str, object] = {"seconds": seconds}
        if kind == "slow":
            options["delay_ms"] = self._rng.uniform(200, 1500)
        if kind == "lost_reply":
            options |= {"part": "table", "count": self._rng.randint(1, 4)}
        self._world.cluster.fault("platform", kind, **options)
        self._report.injected(f"platform_{kind}", f"{seconds:.1f} s")
        return True

    def _links(self) -> bool:
        names = [
            *self._world.calm(kind="engine"),
            *self._world.calm(kind="ledger"),
        ]
        if not names:
            return False
        name = self._rng.choice(names)
        engine = name.startswith("engine")
        kind = self._rng.choice(STREAM_FAULTS if engine else SERVICE_FAULTS)
        options: dict[str, object] = {"count": self._rng.randint(1, 5)}
        if kind == "cut":
            options["after_tokens"] = self._rng.randint(0, 20)
        if kind == "late_answer":
            options["delay_ms"] = self._rng.uniform(300, 6000)
        try:
            self._world.cluster.fault(name, kind, **options)
        except (OSError, ClusterError) as exc:
            self._report.noted(f"{name}: no fault: {exc}")
            return True
        self._report.injected(f"link_{kind}", name)
        return True

    # operators

    def _race(self) -> bool:
        names = self._world.calm(kind="entry")
        self._number += 1
        account = f"raced-{self._number}"
        statuses: list[int] = []

        def change(n: int) -> None:
            text = contract_text(
                account, f"key-of-{account}", rate=n + 1, share=0.05
            )
            body = {"contracts": [{"text": text, "expected": ""}]}
            host = names[n % len(names)]
            statuses.append(_status(self._world, host, body))

        threads = [
            threading.Thread(target=change, args=(n,)) for n in range(RACERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self._report.injected("race", f"{account} {statuses}")
        self._report.check(
            Promise.ONE_WINS, statuses.count(200) <= 1, f"{account} {statuses}"
        )
        if names:
            _status(self._world, names[0], {"removed": [account]})
        return True


def _status(world: World, host: str, body: object) -> int:
    try:
        return world.dep.admin(host, "POST", "/admin/contracts", body).status
    except OSError:
        return 0
