"""Tests that a runner carries out what its node decides."""

from dataclasses import dataclass

import testtools

from tests.helpers import async_test
from waxwingarch.core.base import Action, Event
from waxwingarch.core.node import Node
from waxwingarch.tasks.runner import Runner


@dataclass(frozen=True, kw_only=True, slots=True)
class Asked(Event):
    """An event that leads to two actions."""


@dataclass(frozen=True, kw_only=True, slots=True)
class First(Action):
    """The action whose handler fails."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Second(Action):
    """The action after it."""


class Actions(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        node = Node({Asked: lambda now, event: [First(), Second()]})
        self.runner: Runner[Node] = Runner(node)
        self.handled: list[Action] = []
        self.runner.connect(Second, self.handled.append)

    # The answer of a request was lost with the log line of a new
    # configuration that came before it in the same step.
    @async_test
    async def test_error_in_one_action_does_not_cost_the_next(self) -> None:
        def fail(action: First) -> None:
            raise ValueError("unexpected")

        self.runner.connect(First, fail)
        with testtools.ExpectedException(ValueError, "unexpected"):
            self.runner.post(Asked())
        self.assertEqual([Second()], self.handled)

    @async_test
    async def test_event_of_a_handler_is_handled_after_an_error(self) -> None:
        def post_and_fail(action: First) -> None:
            self.runner.connect(First, self.handled.append)
            self.runner.post(Asked())
            raise ValueError("unexpected")

        self.runner.connect(First, post_and_fail)
        with testtools.ExpectedException(ValueError, "unexpected"):
            self.runner.post(Asked())
        self.assertEqual([Second(), First(), Second()], self.handled)
