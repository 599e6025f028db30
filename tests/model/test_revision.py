"""Model check of writing accepted configurations."""

import testtools
from minicheck import check_safety

from model.revision import revision_spec
from waxwingarch.core.base import Action, Event
from waxwingarch.core.settings.revision import ChangeMachine, RevisionRead


class _TakesLostForNotApplied(ChangeMachine):
    """Forgets that a change without a reply may be applied."""

    def _on_lost(self, _: Event) -> list[Action]:
        return self._give_up()


class _IgnoresTheChangeId(ChangeMachine):
    """Judges by the revision alone."""

    def _on_read(self, event: RevisionRead) -> list[Action]:
        row = event.row
        if row.revision == 0:
            return self._commit(event)
        return super()._on_read(
            RevisionRead(row=type(row)(revision=1), version=event.version)
        )


class _Merges(ChangeMachine):
    """Commits on top of whatever revision it finds."""

    def _on_read(self, event: RevisionRead) -> list[Action]:
        return self._commit(event)


class RevisionModel(testtools.TestCase):
    def _counterexample(
        self, machine: type[ChangeMachine], promise: str
    ) -> list[str]:
        found = check_safety(revision_spec(machine))["properties"][promise]
        self.assertIs(False, found["holds"])
        return [step["label"] for step in found["counterexample"][1:]]

    def test_applied_once_and_told_truly(self) -> None:
        result = check_safety(revision_spec())
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["reachable_states"] > 500)
        for name, found in result["properties"].items():
            self.assertTrue(found["holds"], name)

    def test_a_lost_reply_is_not_a_no(self) -> None:
        steps = self._counterexample(_TakesLostForNotApplied, "told_truly")
        self.assertIn("0:lost", steps)

    def test_the_change_id_is_needed(self) -> None:
        steps = self._counterexample(_IgnoresTheChangeId, "told_truly")
        self.assertEqual(["0:lost", "0:read"], steps[-2:])

    def test_the_base_revision_is_needed(self) -> None:
        steps = self._counterexample(_Merges, "applied_once")
        self.assertEqual(["0:read", "0:commit"], steps[-2:])
