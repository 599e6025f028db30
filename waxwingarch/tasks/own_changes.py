"""Puts the changes that this host writes in force at once."""

from collections.abc import Callable, Sequence

from waxwingarch.core.base import Event
from waxwingarch.core.cluster.configsync import SettingsRead
from waxwingarch.core.settings.settings import (
    Document,
    SettingsSnapshot,
    make_snapshot,
)
from waxwingarch.ports.settings_store import SettingsStore


class OwnChanges:
    """A settings store that tells this host what was accepted.

    Without it the host would learn of its own change by the next poll,
    and nobody would where the table fails in between.
    """

    def __init__(
        self, store: SettingsStore, post: Callable[[Event], None]
    ) -> None:
        self._store = store
        self._post = post
        self._read: SettingsSnapshot | None = None

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents; raises `PlatformUnavailableError`."""
        self._read = await self._store.async_read_settings(deadline)
        return self._read

    async def async_write(
        self,
        *,
        change_id: str,
        base_revision: int,
        changed: Sequence[Document] = (),
        removed: Sequence[str] = (),
        deadline: float,
    ) -> int:
        """Commit a change on top of a revision; return the new one."""
        base = self._read
        revision = await self._store.async_write(
            change_id=change_id,
            base_revision=base_revision,
            changed=changed,
            removed=removed,
            deadline=deadline,
        )
        # Only then is the new revision the one read and this change.
        exact = revision == base_revision + 1
        if base is not None and base.revision == base_revision and exact:
            self._announce(base, revision, changed, removed)
        return revision

    def _announce(
        self,
        base: SettingsSnapshot,
        revision: int,
        changed: Sequence[Document],
        removed: Sequence[str],
    ) -> None:
        replaced = {*removed, *(document.name for document in changed)}
        kept = [d for d in base.documents if d.name not in replaced]
        snapshot = make_snapshot(revision, [*kept, *changed])
        self._post(SettingsRead(snapshot=snapshot))
