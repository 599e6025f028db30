"""Assembly of an answer from the token chunks of its attempts."""

from dataclasses import dataclass

import xxhash


class GapError(Exception):
    """Tokens before a chunk are missing, so it can't be added."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Prefix:
    """The tokens that a caller already has: their number and digest."""

    offset: int
    digest: str


class TokenAssembly:
    """Collects chunks that may overlap or repeat; yields each token once.

    Tokens that the caller already has (those before `prefix.offset`) are
    stored for a later resume, but not returned for delivery. They are
    checked against the prefix digest.
    """

    def __init__(self, prefix: Prefix | None = None) -> None:
        self.tokens: list[str] = []
        self._hash = xxhash.xxh3_64()
        self._prefix = prefix or Prefix(offset=0, digest="")
        self.is_prefix_valid = True

    @property
    def offset(self) -> int:
        """Number of tokens received so far."""
        return len(self.tokens)

    @property
    def digest(self) -> str:
        """Digest of all tokens received so far."""
        return self._hash.hexdigest()

    def add(self, offset: int, tokens: tuple[str, ...]) -> tuple[str, ...]:
        """Add a chunk and return its tokens that the caller lacks.

        Raises `GapError` if tokens before the chunk are missing.
        """
        if offset > self.offset:
            raise GapError(f"token {self.offset} is missing")
        fresh = tokens[self.offset - offset :]
        if not fresh:
            return ()
        skip = max(0, self._prefix.offset - self.offset)
        known_to_caller, new_to_caller = fresh[:skip], fresh[skip:]
        self._append(known_to_caller)
        if known_to_caller and self.offset == self._prefix.offset:
            self.is_prefix_valid = self.digest == self._prefix.digest
        self._append(new_to_caller)
        return new_to_caller

    def _append(self, tokens: tuple[str, ...]) -> None:
        self.tokens.extend(tokens)
        self._hash.update("".join(tokens).encode())

    def is_complete(self, total: int, digest: str) -> bool:
        """Return whether the tokens are the server's complete answer."""
        return self.offset == total and self.digest == digest
