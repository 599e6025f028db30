"""The outcomes of a trace, stated so that a reader can judge them."""

from collections.abc import Iterable
from typing import Any

from waxwingarch.adapters.trace import Step, TraceHeader
from waxwingarch.core.base import Action
from waxwingarch.core.events import RequestArrived, ServerLeaving
from waxwingarch.core.request import Complete, Refuse, StartAttempt
from waxwingarch.core.requests.guarded import OnceAnswer, OnceDispatch


def outcomes_of(steps: Iterable[Step], header: TraceHeader) -> Any:
    """Run steps through the core; return what became of each request.

    For each request: its answers in order, and the servers that it was
    sent to; for each leaving server: what was sent to it afterwards.
    """
    node = header.node()
    requests: dict[str, Any] = {}
    leaving: dict[str, list[str]] = {}
    for step in steps:
        if isinstance(step.event, RequestArrived):
            request_id = step.event.request.request_id
            requests[request_id] = {"sent_to": [], "answers": []}
        actions = node.handle(step.at, step.event)
        for action in actions:
            _note(action, requests, leaving)
        if isinstance(step.event, ServerLeaving):
            leaving.setdefault(step.event.server_id, [])
    return {"requests": requests, "sent_to_leaving": leaving}


def _note(
    action: Action, requests: dict[str, Any], leaving: dict[str, list[str]]
) -> None:
    match action:
        case StartAttempt() | OnceDispatch():
            requests[action.request_id]["sent_to"].append(action.server_id)
            if action.server_id in leaving:
                leaving[action.server_id].append(action.request_id)
        case Complete():
            answer = f"whole, {action.total} tokens, {action.digest}"
            requests[action.request_id]["answers"].append(answer)
        case OnceAnswer():
            again = "replayed" if action.replayed else "ran"
            requests[action.request_id]["answers"].append(again)
        case Refuse():
            refusal = action.refusal
            answer = f"refused, {refusal.reason}, {refusal.ran}"
            requests[action.request_id]["answers"].append(answer)
