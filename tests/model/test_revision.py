"""Model check of writing accepted configurations."""

import testtools
from minicheck import check_safety

from model.revision import revision_spec
from waxwingarch.core.base import Action, Event
from waxwingarch.core.settings.revision import ChangeMachine, RevisionRead


class _AssumesLostReplyNotApplied(ChangeMachine):
    """Forgets that a change without a reply may be applied."""

    def _on_lost(self, _: Event) -> list[Action]:
        return self._give_up()


class _IgnoresTheChangeId(ChangeMachine):
    """Compares only the revision, not the change id."""

    def _on_read(self, event: RevisionRead) -> list[Action]:
        row = event.row
        if row.revision == 0:
            return self._commit(event)
        return super()._on_read(
            RevisionRead(row=type(row)(revision=1), version=event.version)
        )


class _Merges(ChangeMachine):
    """Commits on top of any revision that it reads."""

    def _on_read(self, event: RevisionRead) -> list[Action]:
        return self._commit(event)


class RevisionModel(testtools.TestCase):
    def _counterexample(
        self, machine: type[ChangeMachine], promise: str
    ) -> list[str]:
        found = check_safety(revision_spec(machine))["properties"][promise]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_applied_once_and_reported_correctly(self) -> None:
        result = check_safety(revision_spec())
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["reachable_states"] > 500)
        for name, found in result["properties"].items():
            self.assertTrue(found["holds"], name)

    def test_assuming_a_lost_reply_not_applied_reports_falsely(self) -> None:
        steps = self._counterexample(_AssumesLostReplyNotApplied, "told_truly")
        self.assertIn("0:lost", steps)

    def test_the_change_id_is_needed(self) -> None:
        steps = self._counterexample(_IgnoresTheChangeId, "told_truly")
        self.assertEqual(["0:lost", "0:read"], steps[-2:])

    def test_the_base_revision_is_needed(self) -> None:
        steps = self._counterexample(_Merges, "applied_once")
        self.assertEqual(["0:read", "0:commit"], steps[-2:])
