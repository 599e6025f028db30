"""Builds the state dump of a process for operators."""

import resource
import time
from typing import Any

from waxwingarch.adapters.settings import Settings
from waxwingarch.const import VERSION
from waxwingarch.core.cluster.items import LeavingServer
from waxwingarch.core.cluster.merge import ItemKind
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.core.requests.stream import StreamMachine

KIB_PER_MIB = 1024


def peak_resident_mib() -> float:
    """Return the peak resident memory of this process, in MiB."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss / KIB_PER_MIB


def build_state_dump(
    settings: Settings, node: ContractNode, started_unix: float
) -> Any:
    """Return the state of this process as JSON values."""
    return {
        "version": VERSION,
        "host": settings.host.model_dump(),
        "listen": settings.listen.model_dump(),
        "started_unix": started_unix,
        "at_unix": time.time(),
        "resident_mb": round(peak_resident_mib(), 1),
        "cpu_s": round(time.process_time(), 3),
        "ready": node.ready,
        "draining": node.draining,
        "revision": node.directory.revision,
        "accounts": [c.account for c in node.directory.all()],
        "requests": [
            {
                "request_id": machine.request.request_id,
                "account": machine.request.account,
                "service": machine.request.service,
                "state": machine.state.value,
                "tokens": machine.assembly.offset
                if isinstance(machine, StreamMachine)
                else 0,
                "server": machine.attempt.server.server_id
                if machine.attempt
                else None,
            }
            for machine in node.request_manager.machines()
        ],
        "moves": [
            {
                "move_id": record.move_id,
                "service": record.service,
                "new_version": record.new_version,
                "state": record.state.value,
                "share": record.share,
                "explanation": record.explain(),
            }
            for record in node.moves.records()
        ],
        "stop_marks": [
            {
                "move_id": mark.move_id,
                "version": mark.version,
                "reason": mark.reason,
            }
            for mark in node.moves.stop_marks()
        ],
        "leaving": [
            item.server_id
            for item in node.cluster.store.items(ItemKind.LEAVING)
            if isinstance(item, LeavingServer)
        ],
        "members": [
            {
                "host_id": member.host_id,
                "incarnation": member.incarnation,
                "state": member.state.value,
                "failure_domain": member.failure_domain,
                "draining": member.draining,
            }
            for member in node.cluster.membership.members()
        ],
        "servers": [
            {
                "server_id": server.server_id,
                "service": server.service,
                "version": server.version,
                "failure_domain": server.failure_domain,
                "incarnation": server.incarnation,
                "leaving": node.servers.departure(server.server_id)
                is not None,
            }
            for server in node.servers.all()
        ],
    }
