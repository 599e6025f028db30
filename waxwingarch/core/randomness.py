"""The random source that decision machines are given."""

from collections.abc import MutableSequence, Sequence
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class RandomSource(Protocol):
    """What the decisions use of `random.Random`; see there."""

    def random(self) -> float:
        """Return a number from 0 up to, but not including, 1."""
        ...

    def uniform(self, a: float, b: float) -> float:
        """Return a number between `a` and `b`."""
        ...

    def randrange(self, start: int, stop: int = ..., /) -> int:
        """Return an integer of a range."""
        ...

    def getrandbits(self, k: int, /) -> int:
        """Return `k` random bits."""
        ...

    def choice(self, seq: Sequence[T]) -> T:
        """Return one element."""
        ...

    def choices(
        self, population: Sequence[T], weights: Sequence[float] | None = ...
    ) -> list[T]:
        """Return an element, drawn by weight, in a list."""
        ...

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` different elements."""
        ...

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Put the elements in a random order."""
        ...
