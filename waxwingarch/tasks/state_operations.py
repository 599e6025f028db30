"""Operators' queries about hosts, servers and settings revisions."""

from collections.abc import Callable
from typing import Any

from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.core.base import HostId
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.tasks.admin import Admin, AdminHandler


class StateOperations:
    """Read-only operations on the state that this host knows."""

    def __init__(self, node: ContractNode, host_id: str) -> None:
        self._node = node
        self._host_id = host_id

    def register(self, admin: Admin) -> None:
        """Register the operations at the operators' interface."""
        handlers: dict[str, Callable[[], Any]] = {
            "/admin/hosts": self.hosts,
            "/admin/servers": self.servers,
            "/admin/revision": self.revision,
        }
        for path, handler in handlers.items():
            admin.add("GET", path, _as_admin_handler(handler))

    def hosts(self) -> Any:
        """Return the entry hosts in this host's membership view."""
        members = self._node.cluster.membership.members()
        return {
            "host": self._host_id,
            "hosts": [
                {
                    "host_id": member.host_id,
                    "state": member.state.value,
                    "draining": member.draining,
                    "region": member.region,
                    "failure_domain": member.failure_domain,
                    "http": member.addresses.http,
                    "incarnation": member.incarnation,
                    "applied_revision": self._applied_revision(member.host_id)
                    if member.reachable
                    else None,
                }
                for member in sorted(members, key=lambda m: m.host_id)
            ],
        }

    def _applied_revision(self, host_id: HostId) -> int:
        settings = self._node.cluster.settings
        if host_id == self._node.cluster.own.host_id:
            return settings.applied_revision
        return settings.peer_revision(host_id)

    def servers(self) -> Any:
        """Return the backend servers in this host's registry."""
        return {
            "host": self._host_id,
            "servers": [
                {
                    "server_id": server.server_id,
                    "service": server.service,
                    "kind": server.kind.value,
                    "version": server.version,
                    "state": "leaving"
                    if self._node.servers.departure(server.server_id)
                    else "live",
                    "failure_domain": server.failure_domain,
                    "machine_class": server.machine_class,
                    "reclaimable": server.reclaimable,
                    "price": server.price,
                    "slots": server.slots,
                    "address": server.address,
                    "incarnation": server.incarnation,
                }
                for server in self._node.servers.all()
            ],
        }

    def revision(self) -> Any:
        """Return the settings revision in force at each reachable host."""
        settings = self._node.cluster.settings
        members = self._node.cluster.membership.members()
        return {
            "host": self._host_id,
            "applied": settings.applied_revision,
            "highest_known": max(
                settings.highest_known, settings.applied_revision
            ),
            "hosts": [
                {
                    "host_id": member.host_id,
                    "state": member.state.value,
                    "applied": self._applied_revision(member.host_id),
                }
                for member in sorted(members, key=lambda m: m.host_id)
                if member.reachable
            ],
        }


def _as_admin_handler(handler: Callable[[], Any]) -> AdminHandler:
    async def async_handler(req: HttpRequest) -> Any:
        return handler()

    return async_handler
