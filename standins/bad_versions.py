"""Bad versions on request: what a stand-in's version does wrong."""

from collections.abc import Callable, Iterator

from standins.faults import Fault, Faults, How, When


class BadVersions:
    """Tells how a server misbehaves; `clock` is that of the faults."""

    def __init__(
        self,
        faults: Faults,
        clock: Callable[[], float],
        version: Callable[[], str],
        running: Callable[[], int],
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._version = version
        self._running = running

    def fails(self, path: str) -> bool:
        """Whether a request on this path fails."""
        return any(self._showing(path, "fail"))

    def speed(self, path: str) -> float:
        """Return the factor on the speed; 1 where all is well."""
        factors = [f.request.factor for f in self._showing(path, "slow")]
        return min(factors, default=1.0)

    def _showing(self, path: str, how: How) -> Iterator[Fault]:
        for fault in self._faults.all_active("bad_version"):
            req = fault.request
            meant = req.version in {None, self._version()}
            on_route = path.startswith(req.route)
            if meant and on_route and req.how == how and self._shown(fault):
                yield fault

    def _shown(self, fault: Fault) -> bool:
        req = fault.request
        shown: dict[When, bool] = {
            "at_once": True,
            "late": self._clock() - fault.since >= req.after_s,
            "load": self._running() > req.above_running,
        }
        return shown[req.when]
