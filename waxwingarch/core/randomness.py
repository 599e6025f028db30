"""The random source of the core, passed in so that runs can repeat."""

from collections.abc import MutableSequence, Sequence
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class RandomSource(Protocol):
    """The subset of `random.Random` that the core uses."""

    def random(self) -> float:
        """Return a float from the interval [0, 1)."""
        ...

    def uniform(self, a: float, b: float) -> float:
        """Return a number between `a` and `b`."""
        ...

    def randrange(self, start: int, stop: int = ..., /) -> int:
        """Return a random integer of `range(start, stop)`."""
        ...

    def getrandbits(self, k: int, /) -> int:
        """Return `k` random bits."""
        ...

    def choice(self, seq: Sequence[T]) -> T:
        """Return a random element."""
        ...

    def choices(
        self, population: Sequence[T], weights: Sequence[float] | None = ...
    ) -> list[T]:
        """Return a list of one element, drawn by weight."""
        ...

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` elements of different positions."""
        ...

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Shuffle the elements in place."""
        ...
