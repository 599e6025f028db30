"""Samples the state dumps of entry hosts while a campaign runs."""

import threading
import time
from dataclasses import dataclass
from typing import Final

from standins.campaign_world import World
from standins.cluster import http_json
from standins.deployment import OPERATOR_KEY

SAMPLE_INTERVAL_S: Final = 0.25
SAMPLE_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """The state of a host at a Unix time.

    `started` is the start time of its process and identifies it; `leaving`
    holds the leaving servers, each with its incarnation.
    """

    host: str
    at: float
    started: float
    ready: bool
    revision: int
    leaving: frozenset[tuple[str, int]]


class StateSampler:
    """Reads the state dump of each host at intervals, one thread a host."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(name,))
            for name in world.dep.hosts
        ]
        self.samples: list[Sample] = []

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for their end."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, name: str) -> None:
        while not self._is_stopped.wait(SAMPLE_INTERVAL_S):
            sample = self._sample(name)
            if sample is not None:
                self.samples.append(sample)

    def _sample(self, name: str) -> Sample | None:
        model_calls = time.time()
        try:
            answer = http_json(
                "GET",
                self._world.dep.hosts[name].admin,
                "/admin/dump",
                timeout_s=SAMPLE_TIMEOUT_S,
                headers={"x-operator-key": OPERATOR_KEY},
            )
        except OSError:
            return None
        if answer.status != 200:
            return None
        body = answer.body
        return Sample(
            host=name,
            at=model_calls,
            started=body["started_unix"],
            ready=body["ready"],
            revision=body["revision"],
            leaving=frozenset(
                (row["server_id"], row["incarnation"])
                for row in body["servers"]
                if row["leaving"]
            ),
        )
