"""Seeded workloads shaped like the two deployments, for measurements.

Prefix sharing: each kind of request starts with the instructions of its
kind, then a shared text (a campaign's brief, a charity's handbook, a
race's rules, a form), then what is its own. Questions come in sessions
of up to `SESSION_TURNS` turns; each turn repeats the whole session.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

import xxhash

BLOCK_TOKENS = 16
SESSION_TURNS = 6
TURN_BLOCKS = 10
ZIPF = 1.1
OUTPUT_SPREAD = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """One kind of request; prompt parts are counted in blocks."""

    name: str
    part: float
    system: int
    shared: int
    texts: int
    own: int
    output_tokens: int
    first_token_s: float
    whole_answer_s: float
    sessions: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Sizes and traffic of one of the two deployments."""

    name: str
    servers: int
    hosts: int
    rate: float
    kinds: tuple[Kind, ...]


HANOI = Deployment(
    name="hanoi",
    servers=6,
    hosts=8,
    rate=12.0,
    kinds=(
        Kind(
            name="long appeal",
            part=0.1,
            system=20,
            shared=100,
            texts=12,
            own=10,
            output_tokens=600,
            first_token_s=2.0,
            whole_answer_s=40.0,
        ),
        Kind(
            name="volunteer question",
            part=0.5,
            system=20,
            shared=40,
            texts=20,
            own=2,
            output_tokens=120,
            first_token_s=1.0,
            whole_answer_s=15.0,
            sessions=120,
        ),
        Kind(
            name="pledge tag",
            part=0.4,
            system=10,
            shared=10,
            texts=5,
            own=2,
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
    rate=18.0,
    kinds=(
        Kind(
            name="stage summary",
            part=0.1,
            system=20,
            shared=80,
            texts=10,
            own=10,
            output_tokens=400,
            first_token_s=2.0,
            whole_answer_s=30.0,
        ),
        Kind(
            name="crew question",
            part=0.5,
            system=20,
            shared=50,
            texts=6,
            own=2,
            output_tokens=100,
            first_token_s=1.0,
            whole_answer_s=12.0,
            sessions=200,
        ),
        Kind(
            name="stop flag",
            part=0.4,
            system=10,
            shared=10,
            texts=8,
            own=2,
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
    kind: Kind
    blocks: tuple[int, ...]
    output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt in tokens."""
        return len(self.blocks) * BLOCK_TOKENS


class _Session:
    """A conversation of questions about one shared text."""

    def __init__(self, number: int, text: int) -> None:
        self.number = number
        self.text = text
        self.turn = 0


def arrivals(
    deployment: Deployment, rng: Random, seconds: float, load: float
) -> Iterator[Arrival]:
    """Yield the requests of a run in order of time."""
    sessions: dict[str, list[_Session]] = {
        k.name: [] for k in deployment.kinds
    }
    weights = [kind.part for kind in deployment.kinds]
    at, number = 0.0, 0
    while True:
        at += rng.expovariate(deployment.rate * load)
        if at > seconds:
            return
        kind = rng.choices(deployment.kinds, weights=weights)[0]
        number += 1
        yield Arrival(
            number=number,
            at=at,
            host=rng.randrange(deployment.hosts),
            kind=kind,
            blocks=_prompt(kind, rng, number, sessions[kind.name]),
            output_tokens=_output_tokens(kind, rng),
        )


def _output_tokens(kind: Kind, rng: Random) -> int:
    spread = rng.lognormvariate(-(OUTPUT_SPREAD**2) / 2, OUTPUT_SPREAD)
    return max(1, round(kind.output_tokens * spread))


def _text(kind: Kind, rng: Random) -> int:
    weights = [1 / (n + 1) ** ZIPF for n in range(kind.texts)]
    return rng.choices(range(kind.texts), weights=weights)[0]


def _prompt(
    kind: Kind, rng: Random, number: int, sessions: list[_Session]
) -> tuple[int, ...]:
    blocks = _segment(f"{kind.name}/system", kind.system)
    if not kind.sessions:
        text = _text(kind, rng)
        blocks += _segment(f"{kind.name}/text{text}", kind.shared)
        return blocks + _segment(f"{kind.name}/own{number}", kind.own)
    session = _next_turn(kind, rng, number, sessions)
    blocks += _segment(f"{kind.name}/text{session.text}", kind.shared)
    for turn in range(1, session.turn):
        name = f"{kind.name}/session{session.number}/{turn}"
        blocks += _segment(name, TURN_BLOCKS)
    return blocks + _segment(f"{kind.name}/own{number}", kind.own)


def _next_turn(
    kind: Kind, rng: Random, number: int, sessions: list[_Session]
) -> _Session:
    if len(sessions) < kind.sessions:
        sessions.append(_Session(number, _text(kind, rng)))
    session = rng.choice(sessions)
    session.turn += 1
    if session.turn >= SESSION_TURNS:
        sessions.remove(session)
    return session


def _segment(name: str, count: int) -> tuple[int, ...]:
    """Return block hashes; the same name gives the same blocks."""
    return tuple(
        int(xxhash.xxh3_64_intdigest(f"{name}/{n}".encode())) & 0xFFFFFFFF
        for n in range(count)
    )
