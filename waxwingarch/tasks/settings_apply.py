"""Parses the settings that come in force on this host."""

from typing import Final

import orjson
from eliot import log_message

from waxwingarch.adapters.contract_ini import parse_contract
from waxwingarch.core.configsync import ApplySettings
from waxwingarch.core.contract import Contract
from waxwingarch.core.events import SettingsParsed
from waxwingarch.core.move_record import MoveRecord, from_json
from waxwingarch.core.settings import Document
from waxwingarch.exceptions import SettingsError
from waxwingarch.tasks.runner import Runner

CONTRACT_PREFIX: Final = "contract/"
MOVE_PREFIX: Final = "move/"


class SettingsApply:
    """Turns the documents of a revision into what decisions need."""

    def __init__(self, runner: Runner, deployment: str) -> None:
        self._runner = runner
        self._deployment = deployment
        runner.connect(ApplySettings, self._on_apply)

    def _on_apply(self, action: ApplySettings) -> None:
        snapshot = action.snapshot
        contracts = [
            self._contract(document)
            for document in snapshot.documents
            if document.name.startswith(CONTRACT_PREFIX)
        ]
        moves = [
            self._move(document)
            for document in snapshot.documents
            if document.name.startswith(MOVE_PREFIX)
        ]
        self._runner.post(
            SettingsParsed(
                revision=snapshot.revision,
                contracts=tuple(c for c in contracts if c is not None),
                moves=tuple(m for m in moves if m is not None),
            )
        )

    def _move(self, document: Document) -> MoveRecord | None:
        """Read a stored move; one that is broken is left out."""
        try:
            return from_json(orjson.loads(document.text))
        except ValueError as exc:
            log_message(message_type="move_broken", reason=str(exc))
            return None

    def _contract(self, document: Document) -> Contract | None:
        """Parse a stored contract; one that is broken is left out."""
        try:
            return parse_contract(
                document.text, document.name, self._deployment
            )
        except SettingsError as exc:
            log_message(message_type="contract_broken", reason=str(exc))
            return None
