"""Splits requests between two versions, in the same way on every host."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import ServerId, VersionId
from waxwingarch.core.cluster.items import StopMark
from waxwingarch.core.moves.move_record import MoveRecord, MoveState

# The canary gets one burst of requests in each period.
BURST_PERIOD_S: Final = 90.0
HASH_RANGE: Final = 1 << 32

SPLIT_STATES: Final = (
    MoveState.CANARY,
    MoveState.SHIFTING,
    MoveState.HOLDING,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionChoice:
    """The version that serves a request, with its preferred servers.

    If none of `servers` can take the request, or none is named, any
    server of the version may.
    """

    version: VersionId
    servers: tuple[ServerId, ...] = ()


def is_stopped(record: MoveRecord, stop_marks: Iterable[StopMark]) -> bool:
    """Return whether one of the marks stops the move's new version."""
    return any(
        mark.move_id == record.move_id
        and mark.service == record.service
        and mark.version == record.new_version
        for mark in stop_marks
    )


def in_burst(record: MoveRecord, unix_now: float) -> bool:
    """Return whether the canary gets a burst of requests now.

    A burst comes at the end of its period, after the low share before it.
    The canary's share since its start is therefore never above the
    planned average.
    """
    if record.burst_share <= 0:
        return False
    elapsed_s = max(unix_now - record.canary_since_unix, 0.0)
    return elapsed_s % BURST_PERIOD_S >= BURST_PERIOD_S - record.burst_s


def new_version_share(
    record: MoveRecord, route: str, unix_now: float
) -> float:
    """Return the new version's share of a route's requests at a time."""
    if record.state not in SPLIT_STATES:
        return 1.0 if record.state is MoveState.DONE else 0.0
    if record.state is not MoveState.CANARY:
        return record.share
    if in_burst(record, unix_now):
        return record.burst_share
    for entry in record.route_shares:
        if entry.route == route:
            return entry.share
    return record.share


def choose_version(
    record: MoveRecord,
    stop_marks: Iterable[StopMark],
    request_hash: int,
    route: str,
    unix_now: float,
) -> VersionChoice:
    """Return the version for a request; a stopped one is never chosen.

    The hash of the request's id decides, so a request that is sent again
    while the share grows stays with the new version. At full load as many
    requests go to the control servers as to the canary servers.
    """
    if is_stopped(record, stop_marks):
        return VersionChoice(version=record.old_version)
    share = new_version_share(record, route, unix_now)
    hash_position = (request_hash % HASH_RANGE) / HASH_RANGE
    if record.state is not MoveState.CANARY:
        goes_to_new = hash_position < share
        return VersionChoice(
            version=record.new_version if goes_to_new else record.old_version
        )
    if hash_position < share:
        return VersionChoice(
            version=record.new_version, servers=record.canary_servers
        )
    is_full_load = record.concentrated or in_burst(record, unix_now)
    if is_full_load and hash_position < 2 * share:
        return VersionChoice(
            version=record.old_version, servers=record.control_servers
        )
    return VersionChoice(version=record.old_version)
