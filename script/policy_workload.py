"""Seeded workloads shaped like the two deployments, for measurements.

Prefix sharing: each kind of request starts with the instructions of its
kind, then a shared text (a campaign's brief, a charity's handbook, a
race's rules, a form), then its own text. Questions come in sessions of
up to `SESSION_TURNS` turns; each turn repeats the whole session.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

import xxhash

BLOCK_TOKENS = 16
SESSION_TURNS = 6
TURN_BLOCKS = 10
ZIPF_EXPONENT = 1.1
OUTPUT_SIGMA = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """One kind of request.

    Requests of a kind share the `system_blocks`, and those about one of
    its `shared_texts` share the `shared_blocks`. Without `max_sessions`
    each request stands alone.
    """

    name: str
    request_ratio: float
    system_blocks: int
    shared_blocks: int
    shared_texts: int
    own_blocks: int
    output_tokens: int
    first_token_s: float
    whole_answer_s: float
    max_sessions: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Sizes and traffic of one of the two deployments."""

    name: str
    servers: int
    hosts: int
    requests_per_s: float
    kinds: tuple[RequestKind, ...]


HANOI = Deployment(
    name="hanoi",
    servers=6,
    hosts=8,
    requests_per_s=12.0,
    kinds=(
        RequestKind(
            name="long appeal",
            request_ratio=0.1,
            system_blocks=20,
            shared_blocks=100,
            shared_texts=12,
            own_blocks=10,
            output_tokens=600,
            first_token_s=2.0,
            whole_answer_s=40.0,
        ),
        RequestKind(
            name="volunteer question",
            request_ratio=0.5,
            system_blocks=20,
            shared_blocks=40,
            shared_texts=20,
            own_blocks=2,
            output_tokens=120,
            first_token_s=1.0,
            whole_answer_s=15.0,
            max_sessions=120,
        ),
        RequestKind(
            name="pledge tag",
            request_ratio=0.4,
            system_blocks=10,
            shared_blocks=10,
            shared_texts=5,
            own_blocks=2,
            output_tokens=8,
            first_token_s=1.0,
            whole_answer_s=3.0,
        ),
    ),
)

ALMATY = Deployment(
    name="almaty",
    servers=9,
    hosts=9,
    requests_per_s=18.0,
    kinds=(
        RequestKind(
            name="stage summary",
            request_ratio=0.1,
            system_blocks=20,
            shared_blocks=80,
            shared_texts=10,
            own_blocks=10,
            output_tokens=400,
            first_token_s=2.0,
            whole_answer_s=30.0,
        ),
        RequestKind(
            name="crew question",
            request_ratio=0.5,
            system_blocks=20,
            shared_blocks=50,
            shared_texts=6,
            own_blocks=2,
            output_tokens=100,
            first_token_s=1.0,
            whole_answer_s=12.0,
            max_sessions=200,
        ),
        RequestKind(
            name="stop flag",
            request_ratio=0.4,
            system_blocks=10,
            shared_blocks=10,
            shared_texts=8,
            own_blocks=2,
            output_tokens=6,
            first_token_s=1.0,
            whole_answer_s=3.0,
        ),
    ),
)

DEPLOYMENTS = {d.name: d for d in (HANOI, ALMATY)}


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reaches an entry host."""

    number: int
    at: float
    host: int
    kind: RequestKind
    blocks: tuple[int, ...]
    output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt in tokens."""
        return len(self.blocks) * BLOCK_TOKENS


class _Session:
    """A conversation of several questions about one shared text."""

    def __init__(self, number: int, text: int) -> None:
        self.number = number
        self.text = text
        self.turn = 0


def generate_arrivals(
    deployment: Deployment, rng: Random, duration_s: float, load: float
) -> Iterator[Arrival]:
    """Yield the requests of a run in order of time.

    `load` scales the request rate of the deployment.
    """
    sessions: dict[str, list[_Session]] = {
        k.name: [] for k in deployment.kinds
    }
    weights = [kind.request_ratio for kind in deployment.kinds]
    at, number = 0.0, 0
    while True:
        at += rng.expovariate(deployment.requests_per_s * load)
        if at > duration_s:
            return
        kind = rng.choices(deployment.kinds, weights=weights)[0]
        number += 1
        yield Arrival(
            number=number,
            at=at,
            host=rng.randrange(deployment.hosts),
            kind=kind,
            blocks=_make_prompt(kind, rng, number, sessions[kind.name]),
            output_tokens=_draw_output_tokens(kind, rng),
        )


def _draw_output_tokens(kind: RequestKind, rng: Random) -> int:
    factor = rng.lognormvariate(-(OUTPUT_SIGMA**2) / 2, OUTPUT_SIGMA)
    return max(1, round(kind.output_tokens * factor))


def _pick_text(kind: RequestKind, rng: Random) -> int:
    weights = [1 / (n + 1) ** ZIPF_EXPONENT for n in range(kind.shared_texts)]
    return rng.choices(range(kind.shared_texts), weights=weights)[0]


def _make_prompt(
    kind: RequestKind, rng: Random, number: int, sessions: list[_Session]
) -> tuple[int, ...]:
    blocks = _segment_blocks(f"{kind.name}/system", kind.system_blocks)
    if not kind.max_sessions:
        text = _pick_text(kind, rng)
        blocks += _segment_blocks(
            f"{kind.name}/text{text}", kind.shared_blocks
        )
        return blocks + _segment_blocks(
            f"{kind.name}/own{number}", kind.own_blocks
        )
    session = _next_turn(kind, rng, number, sessions)
    blocks += _segment_blocks(
        f"{kind.name}/text{session.text}", kind.shared_blocks
    )
    for turn in range(1, session.turn):
        name = f"{kind.name}/session{session.number}/{turn}"
        blocks += _segment_blocks(name, TURN_BLOCKS)
    return blocks + _segment_blocks(
        f"{kind.name}/own{number}", kind.own_blocks
    )


def _next_turn(
    kind: RequestKind, rng: Random, number: int, sessions: list[_Session]
) -> _Session:
    if len(sessions) < kind.max_sessions:
        sessions.append(_Session(number, _pick_text(kind, rng)))
    session = rng.choice(sessions)
    session.turn += 1
    if session.turn >= SESSION_TURNS:
        sessions.remove(session)
    return session


def _segment_blocks(name: str, count: int) -> tuple[int, ...]:
    """Return `count` block hashes; equal names give equal blocks."""
    return tuple(
        int(xxhash.xxh3_64_intdigest(f"{name}/{n}".encode())) & 0xFFFFFFFF
        for n in range(count)
    )
