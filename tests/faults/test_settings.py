"""Accepted settings are soon in force on all hosts and never revert."""

import signal

from standins.deployment import contract_text, wait_until
from tests.faults.base import FaultCase

IN_FORCE_LIMIT_S = 6.0


class SettingsInForce(FaultCase):
    engine_count = 0
    service_count = 0
    host_count = 3

    def revision(self, name: str) -> int:
        dump = self.dep.admin(name, "GET", "/admin/dump").body
        return int(dump["revision"])

    def put_contracts(self, extra_accounts: int) -> None:
        texts = [contract_text()]
        texts += [
            contract_text(f"more-{n}", f"key-of-more-{n}")
            for n in range(extra_accounts)
        ]
        self.dep.put_contracts(*texts)

    def all_at_revision(self, revision: int, names: list[str]) -> bool:
        return all(self.revision(name) == revision for name in names)

    def test_in_force_within_the_limit(self) -> None:
        names = list(self.dep.hosts)
        for n in range(2, 5):
            self.put_contracts(n)
            wait_until(
                lambda n=n: self.all_at_revision(n, names),
                "in force",
                IN_FORCE_LIMIT_S,
            )

    def test_stale_read_does_not_revert(self) -> None:
        names = list(self.dep.hosts)
        self.put_contracts(1)
        wait_until(
            lambda: self.all_at_revision(2, names),
            "in force",
            IN_FORCE_LIMIT_S,
        )
        self.cluster.fault("platform", "stale_read")
        self.cluster.kill("entry-1")
        self.dep.start_host("entry-1")
        for name in names:
            self.assertEqual(2, self.revision(name))

    def test_restart_with_the_table_down(self) -> None:
        self.put_contracts(1)
        names = list(self.dep.hosts)
        wait_until(
            lambda: self.all_at_revision(2, names),
            "in force",
            IN_FORCE_LIMIT_S,
        )
        self.cluster.fault("platform", "down")
        self.cluster.kill("entry-2")
        self.dep.start_host("entry-2")
        self.assertEqual(2, self.revision("entry-2"))

    def test_frozen_host_catches_up(self) -> None:
        self.cluster.signal("entry-3", signal.SIGSTOP)
        self.put_contracts(1)
        wait_until(
            lambda: self.all_at_revision(2, ["entry-1", "entry-2"]),
            "in force",
            IN_FORCE_LIMIT_S,
        )
        self.cluster.signal("entry-3", signal.SIGCONT)
        wait_until(
            lambda: self.all_at_revision(2, list(self.dep.hosts)),
            "in force on the thawed host",
            IN_FORCE_LIMIT_S,
        )
