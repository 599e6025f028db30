"""Applies this host's own settings changes without waiting for a poll."""

from collections.abc import Callable, Sequence

from waxwingarch.core.base import Event
from waxwingarch.core.cluster.configsync import SettingsRead
from waxwingarch.core.settings.settings import (
    Document,
    SettingsSnapshot,
    make_snapshot,
)
from waxwingarch.ports.settings_store import SettingsStore


class AnnouncingSettingsStore:
    """A settings store that posts each accepted write to this host's node.

    Otherwise the host would see its own change only on the next poll. If
    the table service failed before that poll, no host would see it.
    """

    def __init__(
        self, store: SettingsStore, post: Callable[[Event], None]
    ) -> None:
        self._store = store
        self._post = post
        self._last_read: SettingsSnapshot | None = None

    async def async_read_settings(self, deadline: float) -> SettingsSnapshot:
        """Return all documents; raises `PlatformUnavailableError`."""
        self._last_read = await self._store.async_read_settings(deadline)
        return self._last_read

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
        base = self._last_read
        revision = await self._store.async_write(
            change_id=change_id,
            base_revision=base_revision,
            changed=changed,
            removed=removed,
            deadline=deadline,
        )
        # The new revision consists of the last snapshot and this change only
        # if no other change was committed in between.
        is_next_revision = revision == base_revision + 1
        if (
            base is not None
            and base.revision == base_revision
            and is_next_revision
        ):
            self._post_revision(base, revision, changed, removed)
        return revision

    def _post_revision(
        self,
        base: SettingsSnapshot,
        revision: int,
        changed: Sequence[Document],
        removed: Sequence[str],
    ) -> None:
        replaced_names = {*removed, *(document.name for document in changed)}
        kept = [d for d in base.documents if d.name not in replaced_names]
        snapshot = make_snapshot(revision, [*kept, *changed])
        self._post(SettingsRead(snapshot=snapshot))
