"""Operator interface with a store in memory, and runners for waxwingctl."""

import asyncio
import contextlib
import io
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from standins.deployment import OPERATOR_KEY
from waxwingarch.core.base import (
    FailureDomain,
    HostId,
    Server,
    ServerId,
    ServerKind,
    ServiceId,
    VersionId,
)
from waxwingarch.core.cluster.configsync import ApplySettings, Ready
from waxwingarch.core.cluster.members import Addresses, Member, MemberState
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.core.settings.settings import (
    EMPTY_SNAPSHOT,
    Document,
    SettingsSnapshot,
    make_snapshot,
)
from waxwingarch.exceptions import ConflictError
from waxwingarch.ports.table import TableUnavailableError
from waxwingarch.tasks.admin import Admin
from waxwingarch.tasks.operator_api import register_operations
from waxwingarch.tasks.runner import Runner
from waxwingctl.__main__ import main

DEPLOYMENT = "test"


def make_server(n: int, service: str, version: str = "v1") -> Server:
    """Return a live backend server."""
    return Server(
        server_id=ServerId(f"{service}-{n}"),
        address=f"127.0.0.1:{n}",
        failure_domain=FailureDomain("hn-a"),
        service=ServiceId(service),
        kind=ServerKind.ENGINE,
        version=VersionId(version),
        machine_class="large",
        reclaimable=True,
        price=1.0,
        slots=8,
        incarnation=1,
    )


def make_node(host_id: str = "entry-1") -> ContractNode:
    """Return a contract node that has a backend server of two services."""
    own = Member(
        host_id=HostId(host_id),
        incarnation=1,
        refutation=0,
        region="hanoi",
        failure_domain=FailureDomain("hn-a"),
        addresses=Addresses(
            http="127.0.0.1:1", peer_tcp="127.0.0.1:2", peer_udp="127.0.0.1:3"
        ),
        state=MemberState.ALIVE,
    )
    node = ContractNode(own, (), 0.0, Random(1))
    node.servers.apply_list(
        [make_server(1, "waxwing-pool"), make_server(2, "drive-ledger")]
    )
    return node


class MemoryStore:
    """Settings store in memory that applies each write to the node.

    The next `async_write` first stores `writes_by_others`, as a
    concurrent change by another operator.
    """

    def __init__(self, node: ContractNode) -> None:
        self._node = node
        self.snapshot: SettingsSnapshot = EMPTY_SNAPSHOT
        self.writes_by_others: list[Document] = []
        self.is_down = False
        self.writes = 0

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        if self.is_down:
            raise TableUnavailableError("the table is down: try later")
        return self.snapshot

    async def async_write(
        self,
        *,
        change_id: str,
        base_revision: int,
        changed: Sequence[Document] = (),
        removed: Sequence[str] = (),
        deadline: float,
    ) -> int:
        if self.writes_by_others:
            self.store_documents(self.writes_by_others)
            self.writes_by_others = []
        if base_revision != self.snapshot.revision:
            raise ConflictError("another change came first: read again")
        self.writes += 1
        self.store_documents(changed, removed)
        return self.snapshot.revision

    def store_documents(
        self, changed: Sequence[Document], removed: Sequence[str] = ()
    ) -> None:
        documents = {d.name: d for d in self.snapshot.documents}
        documents.update({d.name: d for d in changed})
        for name in removed:
            documents.pop(name, None)
        revision = self.snapshot.revision + 1
        self.snapshot = make_snapshot(revision, documents.values())
        self._node.cluster.settings.history.advance(self.snapshot)


class OperatorInterface:
    """Serves the operator interface of one host on a loopback port."""

    def __init__(self, host_id: str = "entry-1") -> None:
        self.node = make_node(host_id)
        self.store = MemoryStore(self.node)
        self.errors: list[Exception] = []
        self._admin = Admin(OPERATOR_KEY, self.errors.append)
        runner = Runner(self.node)
        # The daemon indexes the contracts on these actions; tests need not.
        runner.connect(ApplySettings, lambda action: None)
        runner.connect(Ready, lambda action: None)
        register_operations(
            self._admin,
            runner,
            self.store,
            host_id=host_id,
            deployment=DEPLOYMENT,
        )
        self.address = ""

    async def __aenter__(self) -> "OperatorInterface":
        port = await self._admin.async_setup("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *args: object) -> None:
        await self._admin.async_unload()


@dataclass(frozen=True, kw_only=True, slots=True)
class CtlResult:
    """Exit code and output of a run of waxwingctl."""

    code: int
    out: str
    err: str


def run_ctl(*argv: str) -> CtlResult:
    """Run waxwingctl in this process."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = main(argv)
        except SystemExit as exc:
            code = int(exc.code or 0)
    return CtlResult(code=code, out=out.getvalue(), err=err.getvalue())


async def async_ctl(*argv: str) -> CtlResult:
    """Run waxwingctl in a thread, while the event loop serves its calls."""
    return await asyncio.to_thread(run_ctl, *argv)
