"""What operators ask about contracts."""

import asyncio
import uuid
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeVar
from urllib.parse import unquote

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from waxwingarch.adapters.contract_check import (
    SourcedContract,
    find_problems,
    find_unknown_services,
    hash_plain_key,
)
from waxwingarch.adapters.contract_ini import parse_contract
from waxwingarch.adapters.http_messages import (
    HttpRequest,
)
from waxwingarch.core.contract_node import ContractNode
from waxwingarch.core.settings.settings import Document, SettingsSnapshot
from waxwingarch.exceptions import ConflictError, SettingsError
from waxwingarch.ports.settings_store import SettingsStore
from waxwingarch.tasks.admin import Admin, NotFoundError

CONTRACT_PREFIX: Final = "contract/"
CONTRACTS_PATH: Final = "/admin/contracts"
CALL_LIMIT_S: Final = 5.0
MAX_WRITE_TRIES: Final = 5
MAX_CONTRACTS: Final = 90

Body = TypeVar("Body", bound=BaseModel)


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ContractText(_Body):
    """A contract to apply.

    `expected` is the digest of the text that this one replaces, "" for
    none; without it the text is replaced whatever it is.
    """

    source: str = "contract"
    text: str
    expected: str | None = None


class ContractsBody(_Body):
    """Contracts to apply and accounts whose contracts end, as one."""

    change_id: str = Field("", max_length=100)
    contracts: list[ContractText] = Field([], max_length=MAX_CONTRACTS)
    removed: list[str] = Field([], max_length=MAX_CONTRACTS)


def parse_body(model: type[Body], req: HttpRequest) -> Body:
    """Return the checked body of a call; raises `SettingsError`."""
    try:
        return model.model_validate_json(req.body or b"{}")
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        raise SettingsError(
            f"correct {place}: {first['msg']}, see docs/operators"
        ) from exc


def last_part(req: HttpRequest, prefix: str) -> str:
    """Return what follows a prefix in the path, decoded."""
    return unquote(req.path.removeprefix(prefix))


def call_deadline() -> float:
    """Return by when a call to the platform must have been answered."""
    return asyncio.get_running_loop().time() + CALL_LIMIT_S


def text_digest(text: str) -> str:
    """Return the digest by which a caller names a contract's text."""
    return xxhash.xxh3_64_hexdigest(text.encode())


@dataclass(frozen=True, kw_only=True, slots=True)
class _Wanted:
    """A checked contract, ready to be written."""

    document: Document
    source: str
    expected: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    """What has to be written on top of a revision."""

    base_revision: int
    changed: tuple[Document, ...]
    removed: tuple[str, ...]


class ContractOperations:
    """Shows and writes contracts."""

    def __init__(
        self, node: ContractNode, store: SettingsStore, deployment: str
    ) -> None:
        self._node = node
        self._store = store
        self._deployment = deployment

    def register(self, admin: Admin) -> None:
        """Add the operations to the operators' interface."""
        admin.add("GET", CONTRACTS_PATH, self.async_list)
        admin.add("POST", CONTRACTS_PATH, self.async_apply)
        prefix = f"{CONTRACTS_PATH}/"
        admin.add("GET", prefix, self.async_show, prefix=True)

    async def async_list(self, req: HttpRequest) -> Any:
        """List the contracts in force on this host."""
        snapshot = self._node.cluster.settings.history.snapshot
        return {
            "revision": snapshot.revision,
            "contracts": [self._view(d) for d in _contracts(snapshot)],
        }

    async def async_show(self, req: HttpRequest) -> Any:
        """Show one contract in force on this host."""
        account = last_part(req, f"{CONTRACTS_PATH}/")
        snapshot = self._node.cluster.settings.history.snapshot
        for document in _contracts(snapshot):
            if document.name == f"{CONTRACT_PREFIX}{account}":
                view = self._view(document)
                return {"revision": snapshot.revision, **view}
        known = ", ".join(_account(d) for d in _contracts(snapshot))
        raise NotFoundError(
            f"no contract of {account}; there are: {known or 'none'}"
        )

    def _view(self, document: Document) -> dict[str, Any]:
        view: dict[str, Any] = {
            "account": _account(document),
            "digest": text_digest(document.text),
            "text": document.text,
        }
        try:
            contract = parse_contract(document.text, document.name)
        except SettingsError as exc:
            return view | {"broken": str(exc)}
        return view | {
            "account": contract.account,
            "priority": contract.priority,
            "rate": contract.rate,
            "concurrency": contract.concurrency,
            "share": contract.share,
            "first_token_s": contract.first_token_s,
            "routes": [rule.path for rule in contract.routes],
        }

    async def async_apply(self, req: HttpRequest) -> Any:
        """Put contracts in force; raises `SettingsError`, `ConflictError`.

        A change of other documents that comes in between is no conflict:
        the write is then tried again on top of it.
        """
        body = parse_body(ContractsBody, req)
        wanted = [self._wanted(contract) for contract in body.contracts]
        names = {one.document.name for one in wanted}
        if len(names) < len(wanted):
            raise SettingsError("an account is named twice: name it once")
        change_id = body.change_id or uuid.uuid4().hex
        for _ in range(MAX_WRITE_TRIES):
            deadline = call_deadline()
            snapshot = await self._store.async_read_settings(deadline)
            change = _change(snapshot, wanted, body.removed)
            warnings = self._check(snapshot, change, wanted)
            if not change.changed and not change.removed:
                return _result(snapshot.revision, change, warnings)
            try:
                revision = await self._store.async_write(
                    change_id=change_id,
                    base_revision=change.base_revision,
                    changed=change.changed,
                    removed=change.removed,
                    deadline=deadline,
                )
            except ConflictError:
                continue
            return _result(revision, change, warnings)
        raise ConflictError("the settings keep changing: apply it again")

    def _wanted(self, contract: ContractText) -> _Wanted:
        text = hash_plain_key(contract.text, contract.source)
        parsed = parse_contract(text, contract.source, self._deployment)
        name = f"{CONTRACT_PREFIX}{parsed.account}"
        return _Wanted(
            document=Document(name=name, text=text),
            source=contract.source,
            expected=contract.expected,
        )

    def _check(
        self,
        snapshot: SettingsSnapshot,
        change: _Change,
        wanted: list[_Wanted],
    ) -> list[str]:
        """Refuse contracts that can't be in force together.

        Returns warnings. A service that has no server now is only worth
        a warning: all of its servers may just have been reclaimed.
        """
        sources = {one.document.name: one.source for one in wanted}
        texts = {d.name: d.text for d in _contracts(snapshot)}
        texts.update({d.name: d.text for d in change.changed})
        sourced: list[SourcedContract] = []
        warnings: list[str] = []
        for name in sorted(texts.keys() - set(change.removed)):
            source = sources.get(name, name)
            try:
                contract = parse_contract(texts[name], source)
            except SettingsError as exc:
                warnings.append(f"stored, but not in force: {exc}")
                continue
            sourced.append(SourcedContract(source=source, contract=contract))
        problems = find_problems(sourced)
        if problems and change.changed:
            raise SettingsError("\n".join(str(p) for p in problems))
        services = {server.service for server in self._node.servers.all()}
        mine = [one for one in sourced if one.source in sources.values()]
        warnings += [str(p) for p in find_unknown_services(mine, services)]
        return warnings


def _contracts(snapshot: SettingsSnapshot) -> list[Document]:
    return [
        document
        for document in snapshot.documents
        if document.name.startswith(CONTRACT_PREFIX)
    ]


def _account(document: Document) -> str:
    return document.name.removeprefix(CONTRACT_PREFIX)


def _change(
    snapshot: SettingsSnapshot,
    wanted: Iterable[_Wanted],
    removed: Iterable[str],
) -> _Change:
    """Return what has to be written; raises `ConflictError`."""
    texts = {d.name: d.text for d in _contracts(snapshot)}
    changed = [
        one
        for one in wanted
        if texts.get(one.document.name) != one.document.text
    ]
    for one in changed:
        _expect(one, texts.get(one.document.name), snapshot.revision)
    names = {f"{CONTRACT_PREFIX}{account}" for account in removed}
    return _Change(
        base_revision=snapshot.revision,
        changed=tuple(one.document for one in changed),
        removed=tuple(sorted(names & texts.keys())),
    )


def _expect(one: _Wanted, present: str | None, revision: int) -> None:
    """Refuse to replace a text that the operator has not seen."""
    if one.expected is None:
        return
    digest = "" if present is None else text_digest(present)
    if digest == one.expected:
        return
    account = _account(one.document)
    raise ConflictError(
        f"the contract of {account} was changed by someone else, it is now"
        f" of revision {revision}; run: waxwingctl contract diff"
        f" {one.source}, then apply again"
    )


def _result(
    revision: int, change: _Change, warnings: list[str]
) -> dict[str, Any]:
    return {
        "revision": revision,
        "changed": [_account(d) for d in change.changed],
        "removed": [n.removeprefix(CONTRACT_PREFIX) for n in change.removed],
        "warnings": warnings,
    }
