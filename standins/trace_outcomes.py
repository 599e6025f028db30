"""Summarises the outcomes of a recorded trace for human review."""

from collections.abc import Iterable
from typing import Any

from waxwingarch.adapters.trace import Step, TraceHeader
from waxwingarch.core.base import Action
from waxwingarch.core.events import RequestArrived, ServerLeaving
from waxwingarch.core.request import Complete, Refuse, StartAttempt
from waxwingarch.core.requests.guarded import OnceAnswer, OnceDispatch


def outcomes_of(steps: Iterable[Step], header: TraceHeader) -> Any:
    """Replay steps through the core and return the outcome of each request.

    For each request: its responses in order, and the servers that it was
    sent to. For each leaving server: the requests sent to it afterwards.
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
            _record_action(action, requests, leaving)
        if isinstance(step.event, ServerLeaving):
            leaving.setdefault(step.event.server_id, [])
    return {"requests": requests, "sent_to_leaving": leaving}


def _record_action(
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
            outcome = "replayed" if action.replayed else "ran"
            requests[action.request_id]["answers"].append(outcome)
        case Refuse():
            refusal = action.refusal
            answer = f"refused, {refusal.reason}, {refusal.ran}"
            requests[action.request_id]["answers"].append(answer)
