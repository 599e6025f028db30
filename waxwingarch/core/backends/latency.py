"""The measured latency of servers relative to the expected latency.

Latency is the time to the first byte of a response.
"""

from dataclasses import dataclass
from typing import Final

from waxwingarch.core.base import ServerId

# Weight of the newest response in the moving average, which thus covers
# about the last six responses.
SAMPLE_WEIGHT: Final = 0.16
# The ratio of a single response is limited to this range.
MAX_SAMPLE_RATIO: Final = 10.0
MIN_SAMPLE_RATIO: Final = 0.3
# Latencies below this count as this, since they are mostly network and
# scheduling delay.
MIN_LATENCY_S: Final = 0.02
# A slow server gets few requests that could show that it has recovered,
# so its ratio returns to 1 by itself: half of the way in this time.
RATIO_HALF_LIFE_S: Final = 6.0


@dataclass(kw_only=True, slots=True)
class _AverageRatio:
    ratio: float = 1.0
    updated_at: float = 0.0


class LatencyTracker:
    """Moving averages by server of measured to expected latency.

    A ratio of 1 is as expected.
    """

    def __init__(self) -> None:
        self._averages: dict[ServerId, _AverageRatio] = {}

    def ratio(self, now: float, server_id: ServerId) -> float:
        """Return the ratio; a server above 1 is slower than expected."""
        average = self._averages.get(server_id)
        if average is None:
            return 1.0
        elapsed_s = max(0.0, now - average.updated_at)
        decay = 0.5 ** (elapsed_s / RATIO_HALF_LIFE_S)
        return float(1.0 + (average.ratio - 1.0) * decay)

    def record_latency(
        self,
        now: float,
        server_id: ServerId,
        expected_s: float,
        measured_s: float,
    ) -> None:
        """Add one response to the average."""
        ratio = max(measured_s, MIN_LATENCY_S) / max(expected_s, MIN_LATENCY_S)
        ratio = min(MAX_SAMPLE_RATIO, max(MIN_SAMPLE_RATIO, ratio))
        before = self.ratio(now, server_id)
        self._averages[server_id] = _AverageRatio(
            ratio=before + (ratio - before) * SAMPLE_WEIGHT, updated_at=now
        )

    def forget(self, server_id: ServerId) -> None:
        """Drop the average of a server that has departed or restarted."""
        self._averages.pop(server_id, None)
