"""The deployment of a fault campaign, and the faults present in it."""

import signal
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from standins.campaign_report import Report
from standins.cluster import Cluster
from standins.deployment import DOMAINS, Deployment, contract_text
from standins.fault_intervals import FaultInterval

ENGINES: Final = 4
SERVICES: Final = 2
MIN_HOSTS: Final = 2
MIN_ENGINES: Final = 2
MIN_SERVICES: Final = 1
INCARNATION_STEP: Final = 2


@dataclass(kw_only=True, slots=True)
class World:
    """A deployment, its fault intervals and its recovering hosts.

    Journals are written to files, so that they survive a killed process.
    """

    dep: Deployment
    report: Report
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    open_intervals: dict[str, FaultInterval] = field(default_factory=dict)
    recovering: set[str] = field(default_factory=set)
    incarnations: dict[str, int] = field(default_factory=dict)

    @property
    def cluster(self) -> Cluster:
        """The processes of the deployment."""
        return self.dep.cluster

    def journal_path(self, name: str) -> Path:
        """Return the path of a stand-in's journal file."""
        return self.cluster.root / f"{name}.journal"

    def setup(self, hosts: int) -> None:
        """Start the platform, the servers and the entry hosts."""
        root = self.cluster.root
        self.dep.start_platform("--journal-file", f"{root}/platform.journal")
        self.dep.start_engines(ENGINES, options_of=self.options_of)
        self.dep.start_services(SERVICES, options_of=self.options_of)
        self.dep.put_contracts(contract_text())
        self.dep.start_hosts(hosts)

    def options_of(self, name: str) -> tuple[str, ...]:
        """Return the command-line options of a server."""
        journal = ("--journal-file", str(self.journal_path(name)))
        if name.startswith("engine"):
            return ("--tokens-per-second", "40", *journal)
        records = self.cluster.root / "outcomes"
        records.mkdir(exist_ok=True)
        work = ("--work-ms", "40", "--record-dir", str(records))
        return (*work, *journal)

    def domain_of(self, name: str) -> str:
        """Return the failure domain of a host or server."""
        if name in self.dep.hosts:
            return self.dep.hosts[name].failure_domain
        return str(self.dep.servers[name]["failure_domain"])

    def undisturbed(self, *, kind: str = "") -> list[str]:
        """Return the names of undisturbed hosts and servers of a kind.

        `kind` is `entry`, `engine` or `ledger`; empty for all.
        """
        names = [*self.dep.hosts, *self.dep.servers]
        return [
            name
            for name in names
            if name not in self.open_intervals and name.startswith(kind)
        ]

    def can_disturb(self, names: list[str]) -> bool:
        """Return whether enough others of each kind are undisturbed."""
        for kind, minimum in (
            ("entry", MIN_HOSTS),
            ("engine", MIN_ENGINES),
            ("ledger", MIN_SERVICES),
        ):
            affected = [name for name in names if name.startswith(kind)]
            if (
                affected
                and len(set(self.undisturbed(kind=kind)) - set(affected))
                < minimum
            ):
                return False
        return True

    def begin_fault(self, name: str, kind: str) -> FaultInterval:
        """Open the interval of a fault."""
        row = self.dep.servers.get(name, {"incarnation": 0})
        interval = FaultInterval(
            name=name,
            kind=kind,
            begin=time.time(),
            incarnation=row["incarnation"],
        )
        self.fault_intervals.append(interval)
        self.open_intervals[name] = interval
        return interval

    def end_fault(self, name: str) -> None:
        """Close the fault interval of a process that has recovered."""
        interval = self.open_intervals.pop(name, None)
        if interval is not None:
            interval.end = time.time()
            self.report.record_note(f"{name} well")

    def faults_between(
        self, name: str, begin: float, end: float
    ) -> list[FaultInterval]:
        """Return the fault intervals of a process in a time."""
        return [
            interval
            for interval in self.fault_intervals
            if interval.name == name and interval.overlaps(begin, end)
        ]

    # Recovery

    def restart(self, name: str) -> None:
        """Restart a host or server.

        A stand-in of a server that is still alive is only started again by
        the platform, with its next incarnation.
        """
        if name in self.dep.hosts:
            self.dep.start_host(name, wait=False)
            self.recovering.add(name)
            return
        row = self.dep.servers[name]
        row["incarnation"] += INCARNATION_STEP
        if self.cluster.alive(name):
            body = {"version": "v1", "incarnation": row["incarnation"]}
            self.cluster.request("PUT", name, "/admin/start", body)
        else:
            self.cluster.start_module(
                name,
                "standins.engine"
                if row["kind"] == "engine"
                else "standins.service",
                "--server-id",
                name,
                "--service",
                row["service"],
                "--incarnation",
                str(row["incarnation"]),
                *self.options_of(name),
            )
        self.cluster.put_hosts({"hosts": [row]})
        self.end_fault(name)

    def poll_recovering(self) -> None:
        """End the fault of each entry host that is ready again."""
        for name in sorted(self.recovering):
            if not self.cluster.alive(name):
                self.report.record_note(f"{name} ended while it started")
                self.dep.start_host(name, wait=False)
            elif self.dep.is_ready(name):
                self.recovering.discard(name)
                self.end_fault(name)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.cluster.kill(name)

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.cluster.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process; its fault ends."""
        self.cluster.signal(name, signal.SIGCONT)
        self.end_fault(name)

    def restore_entry_host(self, name: str) -> None:
        """List a reclaimed entry host again and restart it.

        It gets its next incarnation.
        """
        entry_hosts = self.dep.entry_host_rows()
        self.incarnations[name] = self.incarnations.get(name, 1) + 1
        rows = [
            {**row, "incarnation": self.incarnations[name]}
            for row in entry_hosts
            if row["host_id"] == name
        ]
        self.cluster.put_hosts({"entry_hosts": rows})
        self.restart(name)


def undisturbed_in_domain(world: World, number: int) -> list[str]:
    """Return the undisturbed hosts and servers of a failure domain."""
    domain = DOMAINS[number % len(DOMAINS)]
    return [n for n in world.undisturbed() if world.domain_of(n) == domain]
