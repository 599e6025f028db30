"""The object store, as the daemon sees it."""

from typing import Protocol


class ObjectStore(Protocol):
    """Named blobs; raises `PlatformUnavailableError` throughout."""

    async def async_put(
        self, name: str, data: bytes, *, deadline: float
    ) -> None:
        """Store `data`; repeating it is harmless."""

    async def async_get(self, name: str, *, deadline: float) -> bytes | None:
        """Return the data, or None if there is no such object."""

    async def async_delete(self, name: str, *, deadline: float) -> None:
        """Delete an object, if it is there."""
