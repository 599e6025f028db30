"""Parses the settings documents that come into force on this host."""

from collections.abc import Callable
from typing import Final, TypeVar

from eliot import log_message

from waxwingarch.adapters.contract_ini import parse_contract
from waxwingarch.adapters.settings_moves import MOVE_PREFIX, read_move
from waxwingarch.core.cluster.configsync import ApplySettings
from waxwingarch.core.contracts.contract import Contract
from waxwingarch.core.events import SettingsParsed
from waxwingarch.core.settings.settings import Document, SettingsSnapshot
from waxwingarch.exceptions import SettingsError
from waxwingarch.tasks.runner import ContractRunner

CONTRACT_PREFIX: Final = "contract/"

Parsed = TypeVar("Parsed")


class SettingsApply:
    """Parses the contracts and moves of each revision for the node."""

    def __init__(self, runner: ContractRunner, deployment: str) -> None:
        self._runner = runner
        self._deployment = deployment
        runner.connect(ApplySettings, self._handle_apply)

    def _handle_apply(self, action: ApplySettings) -> None:
        snapshot = action.snapshot
        self._runner.post(
            SettingsParsed(
                revision=snapshot.revision,
                contracts=_parse_documents(
                    snapshot, CONTRACT_PREFIX, self._parse_contract
                ),
                moves=_parse_documents(snapshot, MOVE_PREFIX, read_move),
            )
        )

    def _parse_contract(self, document: Document) -> Contract:
        return parse_contract(document.text, document.name, self._deployment)


def _parse_documents(
    snapshot: SettingsSnapshot,
    prefix: str,
    parse: Callable[[Document], Parsed],
) -> tuple[Parsed, ...]:
    """Parse the documents of one kind; log and skip broken ones."""
    parsed: list[Parsed] = []
    for document in snapshot.documents:
        if not document.name.startswith(prefix):
            continue
        try:
            parsed.append(parse(document))
        except SettingsError as exc:
            log_message(
                message_type=f"{prefix.rstrip('/')}_broken",
                name=document.name,
                reason=str(exc),
            )
    return tuple(parsed)
