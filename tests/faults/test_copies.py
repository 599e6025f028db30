"""Servers and a platform that send each answer once more."""

from standins.client import CompletionRequest
from standins.cluster import JsonAnswer
from tests.faults.base import FaultCase

COPIES = ("--fault", '{"kind": "copies"}')
# Those of the second one may run once.
PATHS = ("/ledger/entries", "/ledger/disbursements")
REQUESTS = 12


class CopiesOfAnswers(FaultCase):
    engine_options = ("--tokens-per-second", "400", *COPIES)
    service_options = COPIES
    platform_options = COPIES

    def post_all(self, path: str) -> list[JsonAnswer]:
        """Send requests through both hosts, each with its own body."""
        return [
            self.post(f"entry-{n % 2 + 1}", path, {"n": n}, f"{path}-{n}")
            for n in range(REQUESTS)
        ]

    # Guards against an answer of another request, claim, outcome or stream
    # that is taken for the one that is due.
    def test_each_request_gets_its_own_answer_and_runs_once(self) -> None:
        for path in PATHS:
            answers = self.post_all(path)
            self.assertEqual(
                [(200, {"n": n}) for n in range(REQUESTS)],
                [(a.status, a.body.get("received")) for a in answers],
            )
        [runs] = [
            [entry["op"] for entry in self.cluster.journal(name, "begun")]
            for name, row in self.dep.servers.items()
            if row["kind"] == "plain"
        ]
        count = len(PATHS) * REQUESTS
        self.assertEqual((count, count), (len(runs), len(set(runs))))
        asks = [
            CompletionRequest(prompt=f"draft {n}", max_tokens=20 + n)
            for n in range(REQUESTS)
        ]
        entries = [self.http_address(f"entry-{n}") for n in (1, 2)]
        results = self.ask_all(asks, entries)
        self.assertTrue(all(r.is_correct for r in results), results)
