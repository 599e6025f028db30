"""Registration of all operators' operations of a daemon."""

from waxwingarch.adapters.settings_moves import SettingsMoves
from waxwingarch.ports.settings_store import SettingsStore
from waxwingarch.tasks.admin import Admin
from waxwingarch.tasks.explain import ExplainOperations
from waxwingarch.tasks.move_operations import MoveOperations
from waxwingarch.tasks.operations import ContractOperations
from waxwingarch.tasks.own_changes import AnnouncingSettingsStore
from waxwingarch.tasks.request_log import RequestLog
from waxwingarch.tasks.runner import ContractRunner
from waxwingarch.tasks.state_operations import StateOperations


def register_operations(
    admin: Admin,
    runner: ContractRunner,
    store: SettingsStore,
    *,
    host_id: str,
    deployment: str,
) -> ExplainOperations:
    """Register the operations at the operators' interface.

    Returns the one whose parts the state dump includes.
    """
    node = runner.node
    store = AnnouncingSettingsStore(store, runner.post)
    log = RequestLog()
    runner.observe(log.observe)
    moves = MoveOperations(node, SettingsMoves(store))
    explain = ExplainOperations(node, log, moves)
    ContractOperations(node, store, deployment).register(admin)
    StateOperations(node, host_id).register(admin)
    moves.register(admin)
    explain.register(admin)
    return explain
