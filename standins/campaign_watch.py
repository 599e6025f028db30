"""Samples what entry hosts know while a campaign runs."""

import threading
import time
from dataclasses import dataclass
from typing import Final

from standins.campaign_world import World
from standins.cluster import http_json
from standins.deployment import OPERATOR_KEY

EVERY_S: Final = 0.25
LIMIT_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """What a host knew at a Unix time; `started` names its process.

    `leaving` holds servers with the incarnation that leaves.
    """

    host: str
    at: float
    started: float
    ready: bool
    revision: int
    leaving: frozenset[tuple[str, int]]


class Watch:
    """A thread that reads the state dump of each host."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(name,))
            for name in world.dep.hosts
        ]
        self.samples: list[Sample] = []

    def start(self) -> None:
        """Begin."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End and wait for it."""
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, name: str) -> None:
        while not self._over.wait(EVERY_S):
            sample = self._sample(name)
            if sample is not None:
                self.samples.append(sample)

    def _sample(self, name: str) -> Sample | None:
        asked = time.time()
        try:
            answer = http_json(
                "GET",
                self._world.dep.hosts[name].admin,
                "/admin/dump",
                timeout_s=LIMIT_S,
                headers={"x-operator-key": OPERATOR_KEY},
            )
        except OSError:
            return None
        if answer.status != 200:
            return None
        body = answer.body
        return Sample(
            host=name,
            at=asked,
            started=body["started_unix"],
            ready=body["ready"],
            revision=body["revision"],
            leaving=frozenset(
                (row["server_id"], row["incarnation"])
                for row in body["servers"]
                if row["leaving"]
            ),
        )
