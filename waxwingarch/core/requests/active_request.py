"""The state of an accepted request on its host."""

from dataclasses import dataclass

from waxwingarch.core.base import Server, ServerId
from waxwingarch.core.quarantine.quarantine_messages import RequestInputs
from waxwingarch.core.requests.guarded import AtMostOnceMachine
from waxwingarch.core.requests.plain import PlainMachine
from waxwingarch.core.requests.stream import StreamMachine

Machine = StreamMachine | PlainMachine | AtMostOnceMachine


@dataclass(kw_only=True, slots=True)
class ActiveRequest:
    """An accepted request and its current attempt.

    `server` is set while an attempt is in progress. `target` is where a
    migrated stream continues, if that server is still available then.
    `answer_began_at` is when the first byte of the attempt came. `is_unsent`
    says that the last attempt reached no server.
    """

    machine: Machine
    inputs: RequestInputs
    server: Server | None = None
    attempt_started_at: float = 0.0
    answer_began_at: float | None = None
    tokens_before_attempt: int = 0
    target: ServerId | None = None
    is_hand_over_requested: bool = False
    retry_at: float = 0.0
    assignments: int = 0
    is_unsent: bool = False

    @property
    def tokens(self) -> int:
        """Number of tokens received so far."""
        if isinstance(self.machine, StreamMachine):
            return self.machine.assembly.offset
        return 0

    def answered_for_s(self, now: float) -> float:
        """Return the time since the attempt's first byte, 0 without one."""
        if self.answer_began_at is None:
            return 0.0
        return now - self.answer_began_at
