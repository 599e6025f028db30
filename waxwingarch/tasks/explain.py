"""Explains what became of a request or a version move."""

from typing import Any, Final

from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.adapters.metrics import Metrics, Sample
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.tasks.admin import Admin, NotFoundError
from waxwingarch.tasks.move_operations import MoveOperations, move_view
from waxwingarch.tasks.operations import last_part
from waxwingarch.tasks.request_log import RequestEntry, RequestLog

EXPLAIN_PATH: Final = "/admin/explain/"
LAST_REQUESTS_SHOWN: Final = 20
NO_DOMAIN: Final = "(none)"


class ExplainOperations:
    """Answers `waxwingctl explain`, and adds to the state dump."""

    def __init__(
        self, node: ContractNode, log: RequestLog, moves: MoveOperations
    ) -> None:
        self._node = node
        self._log = log
        self._moves = moves
        self._metrics = Metrics()
        log.on_finished(self._measure)

    def register(self, admin: Admin) -> None:
        """Add the operation to the operators' interface."""
        admin.add("GET", EXPLAIN_PATH, self.async_explain, prefix=True)

    async def async_explain(self, req: HttpRequest) -> Any:
        """Explain a request or a move; raises `NotFoundError`."""
        name = last_part(req, EXPLAIN_PATH)
        entry = self._log.get(name)
        if entry:
            return {"kind": "request", **entry.as_json()}
        try:
            record = await self._moves.async_get(name)
        except NotFoundError as exc:
            raise NotFoundError(
                f"no request or move {name} is known here: a request is known"
                " at the host that its id begins with, for as long as it is"
                " among the last ones"
            ) from exc
        return {"kind": "move", **move_view(record)}

    def dump_parts(self) -> dict[str, Any]:
        """Return what the state dump shows of finished requests."""
        last = self._log.last(LAST_REQUESTS_SHOWN)
        return {
            "latencies": self._metrics.as_json(),
            "last_requests": [_summary(entry) for entry in last],
        }

    def _measure(self, entry: RequestEntry) -> None:
        if entry.refusal or entry.whole_s is None:
            return
        server_id = entry.last_server
        server = self._node.servers.get(server_id) if server_id else None
        sample = Sample(
            account=entry.request.account,
            service=entry.request.service,
            failure_domain=server.failure_domain if server else NO_DOMAIN,
            first_token_s=entry.first_token_s,
            total_s=entry.whole_s,
        )
        self._metrics.record(sample)


def _summary(entry: RequestEntry) -> dict[str, Any]:
    whole = entry.as_json()
    shown = ("request_id", "account", "route", "outcome", "tokens", "losses")
    return {name: whole[name] for name in shown}
