"""Operators' operations on contracts, and helpers of all operations."""

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
CALL_TIMEOUT_S: Final = 5.0
MAX_WRITE_ATTEMPTS: Final = 5
MAX_CONTRACTS_PER_CALL: Final = 90

Body = TypeVar("Body", bound=BaseModel)


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ContractText(_StrictModel):
    """The text of a contract to apply.

    `expected` is the digest of the text that this one replaces, or "" if
    there is none yet. Without `expected` any text is replaced.
    """

    source: str = "contract"
    text: str
    expected: str | None = None


class ContractsBody(_StrictModel):
    """Contracts to apply and accounts to remove, written as one change."""

    change_id: str = Field("", max_length=100)
    contracts: list[ContractText] = Field(
        [], max_length=MAX_CONTRACTS_PER_CALL
    )
    removed: list[str] = Field([], max_length=MAX_CONTRACTS_PER_CALL)


def parse_body(model: type[Body], req: HttpRequest) -> Body:
    """Return the validated body of a call; raises `SettingsError`."""
    try:
        return model.model_validate_json(req.body or b"{}")
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        raise SettingsError(
            f"correct {place}: {first['msg']}, see docs/operators"
        ) from exc


def path_suffix(req: HttpRequest, prefix: str) -> str:
    """Return the part of the path after a prefix, percent-decoded."""
    return unquote(req.path.removeprefix(prefix))


def call_deadline() -> float:
    """Return the deadline of a platform call that starts now."""
    return asyncio.get_running_loop().time() + CALL_TIMEOUT_S


def text_digest(text: str) -> str:
    """Return the digest that identifies a contract's text."""
    return xxhash.xxh3_64_hexdigest(text.encode())


@dataclass(frozen=True, kw_only=True, slots=True)
class _CheckedContract:
    """A validated contract, ready to be written."""

    document: Document
    source: str
    expected: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    """The documents to write and to remove on top of a revision."""

    base_revision: int
    changed: tuple[Document, ...]
    removed: tuple[str, ...]


class ContractOperations:
    """Operations to list, show and apply contracts."""

    def __init__(
        self, node: ContractNode, store: SettingsStore, deployment: str
    ) -> None:
        self._node = node
        self._store = store
        self._deployment = deployment

    def register(self, admin: Admin) -> None:
        """Register the operations at the operators' interface."""
        admin.add("GET", CONTRACTS_PATH, self.async_list)
        admin.add("POST", CONTRACTS_PATH, self.async_apply)
        contract_path = f"{CONTRACTS_PATH}/"
        admin.add("GET", contract_path, self.async_show, prefix=True)

    async def async_list(self, req: HttpRequest) -> Any:
        """List the contracts in force on this host."""
        snapshot = self._node.cluster.settings.history.snapshot
        return {
            "revision": snapshot.revision,
            "contracts": [
                self._contract_view(d) for d in _contract_documents(snapshot)
            ],
        }

    async def async_show(self, req: HttpRequest) -> Any:
        """Show one contract in force on this host."""
        account = path_suffix(req, f"{CONTRACTS_PATH}/")
        snapshot = self._node.cluster.settings.history.snapshot
        for document in _contract_documents(snapshot):
            if document.name == f"{CONTRACT_PREFIX}{account}":
                view = self._contract_view(document)
                return {"revision": snapshot.revision, **view}
        known = ", ".join(
            _account_name(d) for d in _contract_documents(snapshot)
        )
        raise NotFoundError(
            f"no contract of {account}; there are: {known or 'none'}"
        )

    def _contract_view(self, document: Document) -> dict[str, Any]:
        view: dict[str, Any] = {
            "account": _account_name(document),
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

        A concurrent change of other documents is no conflict: the write
        is retried on top of it.
        """
        body = parse_body(ContractsBody, req)
        checked = [
            self._parse_contract(contract) for contract in body.contracts
        ]
        names = {c.document.name for c in checked}
        if len(names) < len(checked):
            raise SettingsError("an account is named twice: name it once")
        change_id = body.change_id or uuid.uuid4().hex
        for _ in range(MAX_WRITE_ATTEMPTS):
            deadline = call_deadline()
            snapshot = await self._store.async_read_settings(deadline)
            change = _compute_change(snapshot, checked, body.removed)
            warnings = self._check_contracts(snapshot, change, checked)
            if not change.changed and not change.removed:
                return _result_view(snapshot.revision, change, warnings)
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
            return _result_view(revision, change, warnings)
        raise ConflictError("the settings keep changing: apply it again")

    def _parse_contract(self, contract: ContractText) -> _CheckedContract:
        text = hash_plain_key(contract.text, contract.source)
        parsed = parse_contract(text, contract.source, self._deployment)
        name = f"{CONTRACT_PREFIX}{parsed.account}"
        return _CheckedContract(
            document=Document(name=name, text=text),
            source=contract.source,
            expected=contract.expected,
        )

    def _check_contracts(
        self,
        snapshot: SettingsSnapshot,
        change: _Change,
        checked: list[_CheckedContract],
    ) -> list[str]:
        """Check the contracts that will be in force together.

        Raises `SettingsError` for conflicts between them; returns the
        warnings. A service without a server is only a warning, because
        all of its servers may just have been reclaimed.
        """
        sources = {c.document.name: c.source for c in checked}
        texts = {d.name: d.text for d in _contract_documents(snapshot)}
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
        applied = [c for c in sourced if c.source in sources.values()]
        warnings += [str(p) for p in find_unknown_services(applied, services)]
        return warnings


def _contract_documents(snapshot: SettingsSnapshot) -> list[Document]:
    return [
        document
        for document in snapshot.documents
        if document.name.startswith(CONTRACT_PREFIX)
    ]


def _account_name(document: Document) -> str:
    return document.name.removeprefix(CONTRACT_PREFIX)


def _compute_change(
    snapshot: SettingsSnapshot,
    checked: Iterable[_CheckedContract],
    removed: Iterable[str],
) -> _Change:
    """Return the change to write; raises `ConflictError`."""
    texts = {d.name: d.text for d in _contract_documents(snapshot)}
    changed = [
        contract
        for contract in checked
        if texts.get(contract.document.name) != contract.document.text
    ]
    for contract in changed:
        _check_expected_digest(
            contract, texts.get(contract.document.name), snapshot.revision
        )
    names = {f"{CONTRACT_PREFIX}{account}" for account in removed}
    return _Change(
        base_revision=snapshot.revision,
        changed=tuple(contract.document for contract in changed),
        removed=tuple(sorted(names & texts.keys())),
    )


def _check_expected_digest(
    contract: _CheckedContract, stored_text: str | None, revision: int
) -> None:
    """Raise `ConflictError` if the operator has not seen the stored text."""
    if contract.expected is None:
        return
    digest = "" if stored_text is None else text_digest(stored_text)
    if digest == contract.expected:
        return
    account = _account_name(contract.document)
    raise ConflictError(
        f"the contract of {account} was changed by someone else, it is now"
        f" of revision {revision}; run: waxwingctl contract diff"
        f" {contract.source}, then apply again"
    )


def _result_view(
    revision: int, change: _Change, warnings: list[str]
) -> dict[str, Any]:
    return {
        "revision": revision,
        "changed": [_account_name(d) for d in change.changed],
        "removed": [n.removeprefix(CONTRACT_PREFIX) for n in change.removed],
        "warnings": warnings,
    }
