"""Assembly of one whole answer out of the chunks of its attempts."""

from dataclasses import dataclass

import xxhash


class GapError(Exception):
    """A chunk starts beyond the tokens seen; attach at the offset again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Prefix:
    """What a caller already has: `offset` tokens with this digest."""

    offset: int
    digest: str


class TokenAssembly:
    """Takes chunks in any order of repetition, gives each token once.

    Tokens that the caller has already (before `prefix.offset`) are kept
    for a later resume but not delivered; they are checked against the
    prefix digest.
    """

    def __init__(self, prefix: Prefix | None = None) -> None:
        self.tokens: list[str] = []
        self._hash = xxhash.xxh3_64()
        self._prefix = prefix or Prefix(offset=0, digest="")
        self.prefix_ok = True

    @property
    def offset(self) -> int:
        """The number of tokens seen so far."""
        return len(self.tokens)

    @property
    def digest(self) -> str:
        """Digest over all tokens seen so far."""
        return self._hash.hexdigest()

    def add(self, offset: int, tokens: tuple[str, ...]) -> tuple[str, ...]:
        """Take a chunk; return what is new for the caller.

        Raises `GapError` when tokens between are missing.
        """
        if offset > self.offset:
            raise GapError(f"token {self.offset} is missing")
        fresh = tokens[self.offset - offset :]
        if not fresh:
            return ()
        skip = max(0, self._prefix.offset - self.offset)
        head, tail = fresh[:skip], fresh[skip:]
        self._take(head)
        if head and self.offset == self._prefix.offset:
            self.prefix_ok = self.digest == self._prefix.digest
        self._take(tail)
        return tail

    def _take(self, tokens: tuple[str, ...]) -> None:
        self.tokens.extend(tokens)
        self._hash.update("".join(tokens).encode())

    def is_whole(self, total: int, digest: str) -> bool:
        """Tell whether all of the server's answer was seen, unchanged."""
        return self.offset == total and self.digest == digest
