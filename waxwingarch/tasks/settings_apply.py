"""Parses the settings that come in force on this host."""

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
    """Turns the documents of a revision into what decisions need."""

    def __init__(self, runner: ContractRunner, deployment: str) -> None:
        self._runner = runner
        self._deployment = deployment
        runner.connect(ApplySettings, self._on_apply)

    def _on_apply(self, action: ApplySettings) -> None:
        snapshot = action.snapshot
        self._runner.post(
            SettingsParsed(
                revision=snapshot.revision,
                contracts=_all(snapshot, CONTRACT_PREFIX, self._contract),
                moves=_all(snapshot, MOVE_PREFIX, read_move),
            )
        )

    def _contract(self, document: Document) -> Contract:
        return parse_contract(document.text, document.name, self._deployment)


def _all(
    snapshot: SettingsSnapshot,
    prefix: str,
    parse: Callable[[Document], Parsed],
) -> tuple[Parsed, ...]:
    """Parse the documents of one kind; leave out what is broken."""
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
