"""A request that crashes engines is kept from those that are left."""

import time
from typing import Any

from tests.faults.base import FaultCase

PATH = "/v1/completions"
POISON = "a poem that no engine survives"
# The third crash is proof; one more may come while its news travels.
MOST_CRASHES = 4
PAUSE_S = 0.1


class CrashingRequest(FaultCase):
    engine_count = 8
    host_count = 3

    def ask(self, host: str, prompt: str) -> Any:
        return self.post(host, PATH, {"prompt": prompt, "max_tokens": 4})

    def remove_crashed(self, engines: list[str]) -> None:
        """Take crashed engines off the platform's list, as it would."""
        crashed = [n for n in engines if not self.cluster.alive(n)]
        self.cluster.put_hosts({"remove": crashed})

    def test_request_reaches_few_engines(self) -> None:
        engines = [f"engine-{n}" for n in range(1, self.engine_count + 1)]
        for name in engines:
            self.cluster.fault(name, "crash", text=POISON)
        hosts = list(self.dep.hosts)
        for n in range(36):
            host = hosts[n % len(hosts)]
            poisoned = self.ask(host, POISON)
            self.remove_crashed(engines)
            self.assertIn(poisoned.status, (502, 503), poisoned.body)
            sound = self.ask(host, f"a sound prompt {n % 5}")
            self.assertEqual(200, sound.status, sound.body)
            time.sleep(PAUSE_S)
        for host in hosts:
            last = self.ask(host, POISON)
            self.assertEqual(503, last.status)
            self.assertEqual("quarantined", last.body["error"]["type"])
            self.assertEqual("not run", last.body["error"]["ran"])
        crashed = [n for n in engines if not self.cluster.alive(n)]
        self.assertGreaterEqual(len(crashed), 3)
        self.assertLessEqual(len(crashed), MOST_CRASHES)
