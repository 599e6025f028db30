"""The faults that a campaign injects.

The `_inject_*` methods choose a target and inject one kind of fault; they
return False if there is no target.
"""

import heapq
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from standins.campaign_report import Promise, Report
from standins.campaign_world import World, undisturbed_in_domain
from standins.cluster import ClusterError
from standins.deployment import contract_text

SECOND_FAULT_PROBABILITY: Final = 0.3
RACING_CHANGES: Final = 4
STOP_TIMEOUT_S: Final = 45.0
TICK_INTERVAL_S: Final = 0.05
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
class _ScheduledStep:
    at: float
    number: int
    step: Step = field(compare=False)


class FaultInjector:
    """Injects random faults, reproducibly from a seed.

    All steps run on the thread of `run`.
    """

    def __init__(self, world: World, report: Report, rng: Random) -> None:
        self._world = world
        self._report = report
        self._rng = rng
        self._scheduled: list[_ScheduledStep] = []
        self._last_number = 0
        self._fault_choices: tuple[Callable[[], bool], ...] = (
            self._inject_kill,
            self._inject_freeze,
            self._inject_server_reclaim,
            self._inject_entry_host_reclaim,
            self._inject_domain_reclaim,
            self._inject_platform_fault,
            self._inject_platform_fault,
            self._inject_link_fault,
            self._inject_link_fault,
            self._inject_planned_stop,
            self._race_contract_changes,
        )

    def run(self, end: float) -> None:
        """Inject faults until `end` (monotonic), then await recovery."""
        next_fault_at = time.monotonic() + 1
        while time.monotonic() < end:
            self._run_scheduled_steps()
            if time.monotonic() < next_fault_at:
                continue
            self._inject_random_fault()
            if self._rng.random() < SECOND_FAULT_PROBABILITY:
                self._inject_random_fault()
            next_fault_at = time.monotonic() + self._rng.uniform(0.5, 3.0)
        limit = time.monotonic() + RECOVERY_LIMIT_S
        while (self._scheduled or self._world.recovering) and (
            time.monotonic() < limit
        ):
            self._run_scheduled_steps()
        self._world.cluster.clear_faults("platform")

    def _run_scheduled_steps(self) -> None:
        time.sleep(TICK_INTERVAL_S)
        while self._scheduled and self._scheduled[0].at <= time.monotonic():
            heapq.heappop(self._scheduled).step()
        self._world.poll_recovering()

    def _schedule(self, delay_s: float, step: Step) -> None:
        self._last_number += 1
        at = time.monotonic() + delay_s
        heapq.heappush(
            self._scheduled,
            _ScheduledStep(at=at, number=self._last_number, step=step),
        )

    def _inject_random_fault(self) -> None:
        while not self._rng.choice(self._fault_choices)():
            pass

    def _pick_undisturbed(self, kind: str = "") -> str | None:
        names = self._world.undisturbed(kind=kind)
        names = [n for n in names if self._world.can_disturb([n])]
        return self._rng.choice(names) if names else None

    def _restart_later(self, name: str, delay_s: float) -> None:
        self._schedule(delay_s, lambda: self._world.restart(name))

    # Processes

    def _inject_kill(self) -> bool:
        name = self._pick_undisturbed()
        if name is None:
            return False
        self._world.begin_fault(name, "kill")
        self._world.kill(name)
        self._report.record_fault("kill", name)
        self._restart_later(name, self._rng.uniform(0.5, 4))
        return True

    def _inject_freeze(self) -> bool:
        name = self._pick_undisturbed()
        if name is None:
            return False
        self._world.begin_fault(name, "freeze")
        self._world.freeze(name)
        frozen_s = self._rng.uniform(0.5, 12)
        self._report.record_fault("freeze", f"{name} for {frozen_s:.1f} s")
        self._schedule(frozen_s, lambda: self._world.thaw(name))
        return True

    def _inject_planned_stop(self) -> bool:
        name = self._pick_undisturbed("entry")
        if name is None:
            return False
        self._world.begin_fault(name, "stop")
        self._report.record_fault("planned_stop", name)
        self._world.cluster.signal(name, signal.SIGTERM)
        limit = time.monotonic() + STOP_TIMEOUT_S
        self._schedule(0.5, lambda: self._check_stopped(name, limit))
        return True

    def _check_stopped(self, name: str, limit: float) -> None:
        if not self._world.cluster.alive(name):
            code = self._world.cluster.wait(name)
            self._report.record_check(
                Promise.STOP, code == 0, f"{name} ended with {code}"
            )
            self._world.restart(name)
        elif time.monotonic() < limit:
            self._schedule(0.2, lambda: self._check_stopped(name, limit))
        else:
            self._report.record_check(
                Promise.STOP, False, f"{name} did not end"
            )
            self._world.kill(name)
            self._world.restart(name)

    # Reclaim notices

    def _inject_server_reclaim(self) -> bool:
        name = self._pick_undisturbed(
            "engine" if self._rng.random() < 0.6 else "ledger"
        )
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
        self._world.begin_fault(name, f"reclaim {how}")
        self._world.cluster.fault(
            "platform",
            "notice",
            server_id=name,
            deadline_s=deadline_s,
            **options,
        )
        self._report.record_fault(
            f"reclaim_{how}", f"{name} in {deadline_s:.1f} s"
        )
        self._restart_later(name, deadline_s + self._rng.uniform(1, 3))

    def _inject_entry_host_reclaim(self) -> bool:
        name = self._pick_undisturbed("entry")
        if name is None:
            return False
        self._notify_entry_host(name, self._rng.uniform(1.5, 4))
        return True

    def _notify_entry_host(self, name: str, deadline_s: float) -> None:
        self._world.begin_fault(name, "reclaim")
        self._world.cluster.fault(
            "platform", "notice", host_id=name, deadline_s=deadline_s
        )
        self._report.record_fault(
            "reclaim_entry", f"{name} in {deadline_s:.1f} s"
        )
        self._schedule(deadline_s, lambda: self._world.kill(name))
        restore_s = deadline_s + self._rng.uniform(1, 4)
        self._schedule(restore_s, lambda: self._world.restore_entry_host(name))

    def _inject_domain_reclaim(self) -> bool:
        names = undisturbed_in_domain(self._world, self._rng.randrange(4))
        if len(names) < 2 or not self._world.can_disturb(names):
            return False
        deadline_s = self._rng.uniform(2, 5)
        self._report.record_fault("domain", " ".join(names))
        for name in names:
            if name in self._world.dep.hosts:
                self._notify_entry_host(name, deadline_s)
            else:
                self._notify_server(name, deadline_s)
        return True

    # Platform and links

    def _inject_platform_fault(self) -> bool:
        kind = self._rng.choice(PLATFORM_FAULTS)
        seconds = self._rng.uniform(1, 9)
        options: dict[str, object] = {"seconds": seconds}
        if kind == "slow":
            options["delay_ms"] = self._rng.uniform(200, 1500)
        if kind == "lost_reply":
            options |= {"part": "table", "count": self._rng.randint(1, 4)}
        self._world.cluster.fault("platform", kind, **options)
        self._report.record_fault(f"platform_{kind}", f"{seconds:.1f} s")
        return True

    def _inject_link_fault(self) -> bool:
        names = [
            *self._world.undisturbed(kind="engine"),
            *self._world.undisturbed(kind="ledger"),
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
            self._report.record_note(f"{name}: no fault: {exc}")
            return True
        self._report.record_fault(f"link_{kind}", name)
        return True

    # Operators

    def _race_contract_changes(self) -> bool:
        names = self._world.undisturbed(kind="entry")
        self._last_number += 1
        account = f"raced-{self._last_number}"
        statuses: list[int] = []

        def change(n: int) -> None:
            text = contract_text(
                account, f"key-of-{account}", rate=n + 1, share=0.05
            )
            body = {"contracts": [{"text": text, "expected": ""}]}
            host = names[n % len(names)]
            statuses.append(_status(self._world, host, body))

        threads = [
            threading.Thread(target=change, args=(n,))
            for n in range(RACING_CHANGES)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self._report.record_fault("race", f"{account} {statuses}")
        self._report.record_check(
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
