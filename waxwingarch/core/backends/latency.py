"""How fast servers are against what was expected of them."""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import ServerId

# Weight of the newest answer: about the last six count.
SAMPLE_WEIGHT: Final = 0.16
SLOWEST: Final = 10.0
FASTEST: Final = 0.3
# Expectations below this are mostly network and scheduling delay.
FLOOR_S: Final = 0.02
# A slow server gets few requests, so its figure returns to 1 by itself:
# half of the way in this time.
FORGET_S: Final = 6.0


@dataclass(kw_only=True, slots=True)
class _Speed:
    ratio: float = 1.0
    updated_at: float = 0.0


class LatencyTracker:
    """Ratio of measured to expected latency by server; 1 is as expected."""

    def __init__(self) -> None:
        self._speeds: dict[ServerId, _Speed] = {}

    def ratio(self, now: float, server_id: ServerId) -> float:
        """Return the ratio; above 1 the server is slow."""
        speed = self._speeds.get(server_id)
        if speed is None:
            return 1.0
        passed_s = max(0.0, now - speed.updated_at)
        kept = 0.5 ** (passed_s / FORGET_S)
        return float(1.0 + (speed.ratio - 1.0) * kept)

    def measured(
        self,
        now: float,
        server_id: ServerId,
        expected_s: float,
        took_s: float,
    ) -> None:
        """Count one answer."""
        ratio = max(took_s, FLOOR_S) / max(expected_s, FLOOR_S)
        ratio = min(SLOWEST, max(FASTEST, ratio))
        before = self.ratio(now, server_id)
        self._speeds[server_id] = _Speed(
            ratio=before + (ratio - before) * SAMPLE_WEIGHT, updated_at=now
        )

    def forget(self, server_id: ServerId) -> None:
        """Drop a server that is gone or has started again."""
        self._speeds.pop(server_id, None)
