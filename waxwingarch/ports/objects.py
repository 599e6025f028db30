"""The port to the object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Named blobs; each call may raise `PlatformUnavailableError`."""

    async def async_put(
        self, name: str, data: bytes, *, deadline: float
    ) -> None:
        """Store an object; idempotent."""

    async def async_get(self, name: str, *, deadline: float) -> bytes | None:
        """Return an object's data, or None if there is no such object."""

    async def async_delete(self, name: str, *, deadline: float) -> None:
        """Delete an object if it exists."""
