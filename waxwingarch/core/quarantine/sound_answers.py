"""When answers with an input last went well."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

from waxwingarch.core.quarantine.inputs import InputKind, kind_of

MAX_SOUND_INPUTS: Final = 16_384
# Nearly every request has a key of its own, which matters only if a crash
# under it becomes known shortly after its answer.
MAX_RECENT_REQUESTS: Final = 4096

_NEVER: Final = float("-inf")


class SoundAnswers:
    """Times of sound answers by input, within bounds of memory.

    Those of whole requests that were in no crash are kept apart, so that
    they can't displace the times of parts and of suspected requests.
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[str, float] = OrderedDict()
        self._recent: OrderedDict[str, float] = OrderedDict()

    def record(
        self,
        at: float,
        inputs: Iterable[str],
        is_suspected: Callable[[str], bool],
    ) -> None:
        """Record an answer that went well."""
        for key in inputs:
            if (
                kind_of(key) is InputKind.PART
                or key in self._kept
                or is_suspected(key)
            ):
                _put(self._kept, key, at, MAX_SOUND_INPUTS)
            else:
                _put(self._recent, key, at, MAX_RECENT_REQUESTS)

    def keep(self, inputs: Iterable[str]) -> None:
        """Keep the times of inputs under which a server crashed."""
        for key in inputs:
            at = self._recent.pop(key, None)
            if at is not None:
                _put(self._kept, key, at, MAX_SOUND_INPUTS)

    def last_at(self, key: str) -> float:
        """Return when an answer with an input last went well."""
        at = self._kept.get(key)
        return self._recent.get(key, _NEVER) if at is None else at


def _put(
    times: OrderedDict[str, float], key: str, at: float, most: int
) -> None:
    times[key] = max(at, times.get(key, _NEVER))
    times.move_to_end(key)
    while len(times) > most:
        times.popitem(last=False)
