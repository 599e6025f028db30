"""Orders to a stand-in engine: fencing numbers and loading a version."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Final

from standins.base import ApiError
from standins.engine_messages import Order
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.exceptions import LinkError

WEIGHTS_TIMEOUT_S: Final = 60.0
RETRY_INTERVAL_S: Final = 0.2


@dataclass(kw_only=True, slots=True)
class EngineState:
    """The version that an engine serves, and its last order."""

    version: str
    role: str = "both"
    adapters: list[str] = field(default_factory=list)
    wanted: str = ""
    fencing: int = 0
    incarnation: int = 1

    @property
    def loaded(self) -> bool:
        """Whether the wanted version is the one being served."""
        return self.wanted in {"", self.version}

    def wire(self) -> dict[str, Any]:
        """Return the state in its wire format."""
        return {
            "version": self.version,
            "wanted": self.wanted or self.version,
            "role": self.role,
            "adapters": self.adapters,
            "loaded": self.loaded,
            "fencing": self.fencing,
            "incarnation": self.incarnation,
        }

    def apply_order(self, order: Order, *, check_fencing: bool) -> None:
        """Apply an order; raises `ApiError` 412 for an old fencing number."""
        if check_fencing and order.fencing < self.fencing:
            raise ApiError(
                412,
                "old_fencing",
                "take the lease again before ordering",
                current=self.fencing,
            )
        self.fencing = max(self.fencing, order.fencing)
        want = order.want
        if want.version is not None:
            self.wanted = want.version
        if want.role is not None:
            self.role = want.role
        if want.adapters is not None:
            self.adapters = want.adapters


class WeightLoader:
    """Emulates the time to fetch and load the weights of a version."""

    def __init__(
        self, platform: str | None, size_mb: float, load_s: float
    ) -> None:
        self._platform = platform
        self._size_mb = size_mb
        self._load_s = load_s
        self._http = HttpClient()

    async def async_load(self, service: str, version: str) -> None:
        """Wait until the weights are loaded; retry without limit."""
        await asyncio.sleep(self._load_s)
        if not self._platform:
            return
        while True:
            if await self._async_fetch(service, version):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _async_fetch(self, service: str, version: str) -> bool:
        assert self._platform is not None
        deadline = asyncio.get_running_loop().time() + WEIGHTS_TIMEOUT_S
        target = f"/v1/weights/{service}/{version}?size_mb={self._size_mb:g}"
        try:
            answer = await self._http.async_request(
                "GET", self._platform, target, deadline=deadline
            )
        except LinkError:
            return False
        return answer.status == 200

    async def async_unload(self) -> None:
        """Close the connections to the platform."""
        await self._http.async_unload()
