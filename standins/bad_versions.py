"""Emulates faulty software versions of a stand-in server."""

from collections.abc import Callable, Iterator

from standins.faults import Fault, Faults, How, When


class BadVersions:
    """Evaluates the `bad_version` faults of a server.

    `clock` is the one of the faults, `version` returns the version being
    served and `running` the number of requests in progress.
    """

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
        """Return whether a request on this path fails."""
        return any(self._active_faults(path, "fail"))

    def speed_factor(self, path: str) -> float:
        """Return the factor on the speed for a path; 1 without a fault."""
        factors = [f.request.factor for f in self._active_faults(path, "slow")]
        return min(factors, default=1.0)

    def _active_faults(self, path: str, how: How) -> Iterator[Fault]:
        for fault in self._faults.all_active("bad_version"):
            req = fault.request
            version_matches = req.version in {None, self._version()}
            route_matches = path.startswith(req.route)
            if (
                version_matches
                and route_matches
                and req.how == how
                and self._is_triggered(fault)
            ):
                yield fault

    def _is_triggered(self, fault: Fault) -> bool:
        req = fault.request
        triggered: dict[When, bool] = {
            "at_once": True,
            "late": self._clock() - fault.since >= req.after_s,
            "load": self._running() > req.above_running,
        }
        return triggered[req.when]
