"""Tests of the memory of a host whose servers write without end."""

import testtools

from standins.endless import MIB, build_parser, measure

# The limit of a process on the sites of the users' platform.
MEMORY_MB = 300
SERVED_RATIO = 0.95


class EndlessServers(testtools.TestCase):
    """Guards against a host that runs out of memory by faulty servers."""

    def check(self, kind: str, bytes_per_s: str, *more: str) -> None:
        args = build_parser().parse_args(
            ["--memory-mb", str(MEMORY_MB), "--bytes-per-s", bytes_per_s]
        )
        args = build_parser().parse_args(more, namespace=args)
        args.kind = kind
        found = measure(args)
        note = (
            kind,
            found.peak_bytes / MIB,
            dict(found.statuses),
            dict(found.refusals),
        )
        self.assertLess(found.peak_bytes, MEMORY_MB * 1_000_000, note)
        sound = {
            status: count
            for status, count in found.statuses.items()
            if status.startswith("sound")
        }
        served = sound.get("sound 200", 0)
        self.assertGreaterEqual(
            served, SERVED_RATIO * sum(sound.values()), note
        )

    def test_bodies(self) -> None:
        self.check("chunks", "900000")
        self.check("large", "900000")

    def test_bodies_of_errors(self) -> None:
        self.check("error", "3000000")
        self.check("rejection", "3000000")

    def test_events(self) -> None:
        self.check("event", "300000")

    def test_callers_that_read_late(self) -> None:
        self.check("events", "0", "--callers", "200", "--late")
