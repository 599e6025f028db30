"""Refusals of requests that no backend server has started."""

from typing import Final

from waxwingarch.core.base import ExecutionStatus
from waxwingarch.core.limits.admission_messages import Refusal as NotAdmitted
from waxwingarch.core.refusal import Refusal, RefusalReason
from waxwingarch.core.request import Refuse, Request

HOST_RETRY_AFTER_S: Final = 1.0
NO_SERVER_RETRY_AFTER_S: Final = 2.0


def host_refusal(
    request: Request, reason: RefusalReason, message: str
) -> Refuse:
    """Return the refusal of a host that takes no requests now."""
    refusal = Refusal(
        reason=reason,
        ran=ExecutionStatus.NOT_RUN,
        message=message,
        retry_after_s=HOST_RETRY_AFTER_S,
    )
    return Refuse(request_id=request.request_id, refusal=refusal)


def no_server_refusal(request: Request) -> Refuse:
    """Return the refusal of a request whose service has no live server."""
    refusal = Refusal(
        reason=RefusalReason.NO_SERVER,
        ran=ExecutionStatus.NOT_RUN,
        message=f"no live server of {request.service}: send it again later",
        retry_after_s=NO_SERVER_RETRY_AFTER_S,
    )
    return Refuse(request_id=request.request_id, refusal=refusal)


def admission_refusal(verdict: NotAdmitted) -> Refuse:
    """Return the refusal that admission control decided on."""
    refusal = Refusal(
        reason=verdict.reason,
        ran=verdict.ran,
        message=verdict.message,
        retry_after_s=verdict.retry_after_s,
    )
    return Refuse(request_id=verdict.request_id, refusal=refusal)
