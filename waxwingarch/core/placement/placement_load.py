"""Load estimates: lagging reports, corrected by this host's dispatches."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final

from waxwingarch.core.base import RequestId, ServerId
from waxwingarch.core.placement.placement_messages import ServerView

# Newest finished requests kept per server; a report may still count them.
MAX_ENDED_REQUESTS: Final = 128
# What all hosts sent is estimated as what this host sent times the number of
# hosts. This factor reduces the estimate, as one host is a noisy sample.
OTHER_HOSTS_FACTOR: Final = 0.5


@dataclass(kw_only=True, slots=True)
class _OwnRequests:
    """Requests that this host sent to one server.

    `running` maps a request to its time of dispatch, in that order;
    `ended` holds the dispatch and the end of finished requests.
    """

    running: OrderedDict[RequestId, float] = field(default_factory=OrderedDict)
    ended: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED_REQUESTS)
    )


class LoadEstimator:
    """Estimates server loads from reports and this host's own requests.

    A report is corrected by what this host started and finished since it
    was taken. `host_count` hosts, this one included, send requests to
    the same servers and are assumed to behave alike, so the correction is
    multiplied by `host_count * OTHER_HOSTS_FACTOR`, but at least by 1.
    """

    def __init__(self) -> None:
        self.host_count = 1
        self._requests_by_server: dict[ServerId, _OwnRequests] = {}
        self._server_of: dict[RequestId, ServerId] = {}

    def start(
        self, now: float, request_id: RequestId, server_id: ServerId
    ) -> None:
        """Count a request as in progress on a server."""
        self.end(now, request_id)
        self._server_of[request_id] = server_id
        requests = self._requests_by_server.setdefault(
            server_id, _OwnRequests()
        )
        requests.running[request_id] = now

    def end(self, now: float, request_id: RequestId) -> ServerId | None:
        """Count a request as finished; return the server that ran it.

        Returns None for a request that isn't in progress.
        """
        server_id = self._server_of.pop(request_id, None)
        if server_id is None:
            return None
        requests = self._requests_by_server[server_id]
        requests.ended.append((requests.running.pop(request_id), now))
        return server_id

    def estimate(self, view: ServerView) -> float:
        """Return how many requests a server has now, waiting ones included.

        It is never below this host's own requests in progress there.
        """
        reported = view.running + view.waiting
        requests = self._requests_by_server.get(view.server.server_id)
        if requests is None:
            return float(reported)
        return float(
            max(
                len(requests.running),
                reported + self._unreported_by_all_hosts(requests, view),
            )
        )

    def _unreported_by_all_hosts(
        self, requests: _OwnRequests, view: ServerView
    ) -> float:
        return _count_unreported(requests, view) * max(
            1.0, self.host_count * OTHER_HOSTS_FACTOR
        )

    def remove_server(self, server_id: ServerId) -> None:
        """Drop all state kept for a server that no longer exists."""
        requests = self._requests_by_server.pop(server_id, None)
        for request_id in () if requests is None else requests.running:
            self._server_of.pop(request_id, None)


def _count_unreported(requests: _OwnRequests, view: ServerView) -> int:
    """Return this host's net change of a server's load since its report.

    Requests started since then count 1, those that were in progress at
    the report and have finished count -1.
    """
    unreported = 0
    for started_at in reversed(requests.running.values()):
        if started_at <= view.load_at:
            break
        unreported += 1
    for started_at, ended_at in reversed(requests.ended):
        if ended_at <= view.load_at:
            break
        if started_at <= view.load_at:
            unreported -= 1
    return unreported
