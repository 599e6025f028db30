"""The deterministic answers of the stand-in engine.

Token `i` of an answer depends on the prompt and on `i` only: not on the
server, the version, or on where a resumed answer starts.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

BLOCK_WORDS: Final = 16
_LINES: Final = (
    "river tent lamp steppe donor relay gift stage bread horse checkpoint",
    "valley ledger pledge bridge runner kettle harvest school medic signal",
    "morning summit market letter garden winter station compass blanket",
)
VOCABULARY: Final = tuple(" ".join(_LINES).split())


def token_at(seed: int, index: int) -> str:
    """Return the token at `index` of the answer with this seed."""
    digest = xxhash.xxh3_64_intdigest(index.to_bytes(4, "big"), seed)
    return VOCABULARY[digest % len(VOCABULARY)] + " "


def answer_seed(prompt_text: str) -> int:
    """Return the seed of the answer to a prompt."""
    return int(xxhash.xxh3_64_intdigest(prompt_text.encode()))


def expected_tokens(prompt_text: str, max_tokens: int) -> list[str]:
    """Return all tokens of the answer to a prompt."""
    seed = answer_seed(prompt_text)
    return [token_at(seed, i) for i in range(max_tokens)]


def digest_of(tokens: Iterable[str]) -> str:
    """Return the digest of an answer: xxh3_64 of the joined tokens."""
    return str(xxhash.xxh3_64_hexdigest("".join(tokens).encode()))


def chat_text(messages: Sequence[tuple[str, str]]) -> str:
    """Return the prompt text of `(role, content)` chat messages."""
    return "\n".join(f"{role}: {content}" for role, content in messages)


def block_hashes(words: Sequence[str]) -> list[str]:
    """Return the chained hashes of the full blocks of a prompt.

    A block's hash is xxh3_64 over the previous hash (empty for the
    first block) and the 16 words, joined by single spaces.
    """
    hashes: list[str] = []
    previous = ""
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        text = " ".join((previous, *words[end - BLOCK_WORDS : end]))
        previous = xxhash.xxh3_64_hexdigest(text.encode())
        hashes.append(previous)
    return hashes
