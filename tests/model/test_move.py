"""Model checks of the version move."""

from typing import Any

from minicheck import check_safety
from testtools import TestCase

from model.move import move_protocol


def last_step(name: str, **left_out: bool) -> Any:
    """Return the last step of the counterexample, if there is one."""
    checked = check_safety(move_protocol(**left_out), max_states=20_000)
    found = checked["properties"][name]
    if found["holds"] is not False:
        return None
    return found["counterexample"][-1]["label"]


class MoveModelTest(TestCase):
    def test_all_invariants_hold(self) -> None:
        properties = check_safety(move_protocol())["properties"]
        self.assertEqual(3, len(properties))
        for name, found in properties.items():
            self.assertIs(True, found["holds"], name)

    def test_without_compare_and_set_an_end_is_undone(self) -> None:
        last = last_step("an end is final", compare=False)
        self.assertEqual("write 1 begin", last)

    def test_without_asking_hosts_a_stopped_version_is_done(self) -> None:
        last = last_step("never done after a stop mark", ask_hosts=False)
        self.assertEqual("write 0 held", last)

    def test_without_reopening_a_stopped_version_is_done(self) -> None:
        last = last_step("never done after a stop mark", reopen=False)
        self.assertEqual("write 0 held", last)

    def test_without_restarting_closed_a_done_version_is_stopped(
        self,
    ) -> None:
        last = last_step("never done after a stop mark", restart_closed=False)
        self.assertEqual("mark 1", last)
