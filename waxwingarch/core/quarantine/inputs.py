"""Keys of the inputs that can be quarantined: prompt parts, whole requests."""

from enum import StrEnum
from typing import Final

import xxhash

from waxwingarch.core.base import AccountId

# Callers choose the ids of parts. Longer ones are known by their hash, so
# that reports and rows stay small.
MAX_PART_KEY_CHARS: Final = 24
# The id of a part has no colon, so that it is never the key of a request.
REQUEST_KEY_PREFIX: Final = "request:"


class InputKind(StrEnum):
    """What a key stands for.

    PART is a part that many prompts share, REQUEST a whole request, which
    comes again with the same account, method, target and body.
    """

    PART = "part"
    REQUEST = "request"


def part_key(part: str) -> str:
    """Return the key by which a prompt part is known."""
    if len(part) <= MAX_PART_KEY_CHARS:
        return part
    return xxhash.xxh3_64_hexdigest(part.encode())


def request_key(account: AccountId | None, digest: str) -> str:
    """Return the key of a whole request, by the digest of its content."""
    caller = account or ""
    content = f"{len(caller)}:{caller}{digest}"
    return REQUEST_KEY_PREFIX + xxhash.xxh3_64_hexdigest(content.encode())


def kind_of(key: str) -> InputKind:
    """Return the kind of input that a key stands for."""
    is_request = key.startswith(REQUEST_KEY_PREFIX)
    return InputKind.REQUEST if is_request else InputKind.PART
