"""Log lines of the quarantine."""

from eliot import log_message

from waxwingarch.core.quarantine.inputs import kind_of
from waxwingarch.core.quarantine.quarantine_messages import (
    InputState,
    QuarantineChanged,
)


def log_quarantine_change(action: QuarantineChanged) -> None:
    """Log that an input was quarantined or released."""
    entry = action.entry
    log_message(
        message_type="input_quarantined"
        if entry.state is InputState.HELD
        else "input_released",
        input=entry.key,
        kind=kind_of(entry.key).value,
        state=entry.state.value,
        origin=entry.origin.value,
        number=entry.number,
        own=action.own,
        servers=list(action.servers),
    )
