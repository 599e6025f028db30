"""Tests of requests that run at most once."""

from dataclasses import replace

import testtools

from waxwingarch.core.base import (
    AccountId,
    Action,
    Event,
    ExecutionStatus,
    HostId,
)
from waxwingarch.core.once.claim import (
    INLINE_ANSWER_MAX_BYTES,
    ClaimRow,
    ClaimState,
    StoredAnswer,
    claim_key,
    operation_id,
)
from waxwingarch.core.once.once import OnceMachine
from waxwingarch.core.once.once_messages import (
    Answer,
    AnswerNotStored,
    AnswerStored,
    ClaimConflict,
    ClaimRead,
    ClaimWritten,
    Dispatch,
    DispatchAnswered,
    DispatchLost,
    DispatchNotSent,
    OnceFinished,
    OnceRequest,
    OnceTimer,
    OutcomeNotSeen,
    OutcomeRan,
    QueryOutcome,
    ReadClaim,
    RefusalKind,
    RefuseRequest,
    SetOnceTimer,
    StoreAnswer,
    TableReplyLost,
    TableUnavailable,
    WriteClaim,
)
from waxwingarch.core.once.once_unkeyed import UnkeyedMachine

REQ = OnceRequest(
    key="acc/k",
    claim_id="mine",
    operation_id="op",
    body_digest="digest",
    owner=HostId("a"),
    incarnation=1,
    dispatch_deadline=2.0,
    answer_deadline=10.0,
    record_deadline=60.0,
    unix_offset=1000.0,
    expires_unix=9000.0,
    outcome_query=False,
)
FOREIGN_CLAIM = replace(REQ, claim_id="theirs", owner=HostId("b")).claim()
ANSWER = StoredAnswer(status=200, content_type="text/plain", body=b"\xff")


class _Owners:
    def __init__(self, departed: bool) -> None:
        self._departed = departed

    def has_departed(self, host: HostId, incarnation: int) -> bool:
        return self._departed


def _machine(
    req: OnceRequest = REQ, *events: Event, departed: bool = False
) -> OnceMachine:
    machine = OnceMachine(req, _Owners(departed))
    machine.start(0.0)
    for event in events:
        machine.handle(0.0, event)
    return machine


def _kinds(actions: list[Action]) -> list[type[Action]]:
    return [type(action) for action in actions]


def _written(actions: list[Action]) -> ClaimRow:
    return next(a.row for a in actions if isinstance(a, WriteClaim))


def _refusal(actions: list[Action]) -> tuple[RefusalKind, ExecutionStatus]:
    refusal = next(a for a in actions if isinstance(a, RefuseRequest))
    return refusal.kind, refusal.ran


NOT_RUN_DOWN = (RefusalKind.TABLE_DOWN, ExecutionStatus.NOT_RUN)
TOO_LATE = (RefusalKind.TOO_LATE, ExecutionStatus.NOT_RUN)
UNKNOWN = (RefusalKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN)


class OwnClaim(testtools.TestCase):
    def test_claims_dispatches_answers_and_records(self) -> None:
        machine = OnceMachine(REQ, _Owners(False))
        actions = machine.start(0.0)
        self.assertEqual([WriteClaim], _kinds(actions))
        self.assertFalse(machine.may_dispatch(0.0))
        actions = machine.handle(0.1, ClaimWritten(version=1))
        self.assertEqual([Dispatch], _kinds(actions))
        self.assertTrue(machine.may_dispatch(1.9))
        self.assertFalse(machine.may_dispatch(2.0))
        actions = machine.handle(1.0, DispatchAnswered(answer=ANSWER))
        self.assertEqual([Answer, WriteClaim], _kinds(actions))
        self.assertEqual(ANSWER, _written(actions).answer)
        self.assertFalse(machine.may_dispatch(1.0))
        actions = machine.handle(1.0, TableReplyLost())
        self.assertEqual([SetOnceTimer], _kinds(actions))
        self.assertEqual(
            [WriteClaim], _kinds(machine.handle(2.0, OnceTimer()))
        )
        actions = machine.handle(2.0, ClaimWritten(version=2))
        self.assertEqual([OnceFinished], _kinds(actions))

    def test_claim_confirmed_after_the_deadline_is_not_dispatched(
        self,
    ) -> None:
        machine = _machine()
        actions = machine.handle(2.0, ClaimWritten(version=1))
        self.assertEqual(
            (RefusalKind.TOO_LATE, ExecutionStatus.NOT_RUN), _refusal(actions)
        )
        self.assertIs(ClaimState.NOT_RUN, _written(actions).state)
        self.assertFalse(machine.may_dispatch(0.0))

    def test_refuses_at_once_when_the_table_is_down(self) -> None:
        actions = _machine().handle(0.1, TableUnavailable())
        self.assertEqual(NOT_RUN_DOWN, _refusal(actions))
        self.assertEqual([RefuseRequest, OnceFinished], _kinds(actions))

    def test_row_is_read_after_a_lost_claim_reply(self) -> None:
        machine = _machine()
        actions = machine.handle(0.1, TableReplyLost())
        self.assertEqual([ReadClaim], _kinds(actions))
        own_claim = ClaimRead(row=REQ.claim(), version=1)
        self.assertEqual([Dispatch], _kinds(machine.handle(0.2, own_claim)))

    def test_delayed_claim_write_is_replaced_by_a_tombstone(self) -> None:
        machine = _machine(REQ, TableReplyLost())
        actions = machine.handle(0.2, ClaimRead(row=None, version=0))
        self.assertEqual([WriteClaim], _kinds(actions))
        actions = machine.handle(0.3, TableUnavailable())
        self.assertEqual(NOT_RUN_DOWN, _refusal(actions))
        self.assertIs(ClaimState.NOT_RUN, _written(actions).state)
        conflict = ClaimConflict(row=REQ.claim(), version=1)
        actions = machine.handle(0.4, conflict)
        self.assertIs(ClaimState.NOT_RUN, _written(actions).state)

    def test_unsent_dispatch_is_retried_then_refused_as_not_run(self) -> None:
        machine = _machine(REQ, ClaimWritten(version=1))
        for _ in range(2):
            actions = machine.handle(0.5, DispatchNotSent())
            self.assertEqual([Dispatch], _kinds(actions))
        actions = machine.handle(0.5, DispatchNotSent())
        self.assertEqual(
            (RefusalKind.NO_SERVER, ExecutionStatus.NOT_RUN), _refusal(actions)
        )
        self.assertIs(ClaimState.NOT_RUN, _written(actions).state)

    def test_lost_dispatch_is_unknown_and_never_sent_again(self) -> None:
        machine = _machine(REQ, ClaimWritten(version=1))
        actions = machine.handle(0.5, DispatchLost())
        self.assertEqual(UNKNOWN, _refusal(actions))
        self.assertIs(ClaimState.UNKNOWN, _written(actions).state)

    def test_lost_dispatch_queries_the_outcome(self) -> None:
        req = replace(REQ, outcome_query=True)
        machine = _machine(req, ClaimWritten(version=1))
        actions = machine.handle(0.5, DispatchLost())
        self.assertEqual([QueryOutcome], _kinds(actions))
        actions = machine.handle(1.0, OutcomeNotSeen())
        self.assertEqual([SetOnceTimer], _kinds(actions))
        machine.handle(1.5, OnceTimer())
        actions = machine.handle(1.6, OutcomeRan(answer=ANSWER))
        self.assertEqual([Answer, WriteClaim], _kinds(actions))

    def test_large_answer_is_stored_before_the_row_refers_to_it(self) -> None:
        machine = _machine(REQ, ClaimWritten(version=1))
        body = b"x" * (INLINE_ANSWER_MAX_BYTES + 1)
        event = DispatchAnswered(answer=replace(ANSWER, body=body))
        actions = machine.handle(1.0, event)
        self.assertEqual([Answer, StoreAnswer], _kinds(actions))
        machine.handle(1.1, AnswerNotStored())
        actions = machine.handle(1.6, OnceTimer())
        self.assertEqual([StoreAnswer], _kinds(actions))
        row = _written(machine.handle(1.7, AnswerStored()))
        assert row.answer is not None
        self.assertEqual(
            (b"", "answers/op"), (row.answer.body, row.answer.ref)
        )


class ForeignRow(testtools.TestCase):
    def _conflict_with(
        self,
        row: ClaimRow,
        req: OnceRequest = REQ,
        *,
        now: float = 0.1,
        departed: bool = False,
    ) -> list[Action]:
        event = ClaimConflict(row=row, version=7)
        return _machine(req, departed=departed).handle(now, event)

    def test_recorded_answer_is_replayed(self) -> None:
        row = FOREIGN_CLAIM.with_state(ClaimState.DONE, ANSWER)
        replay = Answer(answer=ANSWER, replayed=True)
        self.assertEqual([replay, OnceFinished()], self._conflict_with(row))

    def test_claim_of_a_live_owner_is_refused_as_in_progress(self) -> None:
        actions = self._conflict_with(FOREIGN_CLAIM)
        self.assertEqual(
            (RefusalKind.IN_PROGRESS, ExecutionStatus.UNKNOWN),
            _refusal(actions),
        )

    def test_retry_before_the_outcome_is_recorded(self) -> None:
        """The owner answers in the step that begins to write the record."""
        owner = _machine(REQ, ClaimWritten(version=1))
        actions = owner.handle(0.5, DispatchLost())
        self.assertEqual([RefuseRequest, WriteClaim], _kinds(actions))
        self.assertEqual(
            (RefusalKind.IN_PROGRESS, ExecutionStatus.UNKNOWN),
            _refusal(self._conflict_with(FOREIGN_CLAIM)),
        )
        recorded = FOREIGN_CLAIM.with_state(_written(actions).state)
        self.assertEqual(UNKNOWN, _refusal(self._conflict_with(recorded)))

    def test_key_with_another_body_is_refused(self) -> None:
        for state in (ClaimState.CLAIMED, ClaimState.NOT_RUN):
            row = replace(FOREIGN_CLAIM, body_digest="other", state=state)
            self.assertEqual(
                (RefusalKind.KEY_REUSED, ExecutionStatus.NOT_RUN),
                _refusal(self._conflict_with(row)),
            )

    def test_tombstone_is_claimed_anew(self) -> None:
        actions = self._conflict_with(
            FOREIGN_CLAIM.with_state(ClaimState.NOT_RUN)
        )
        expected = WriteClaim(key="acc/k", row=REQ.claim(), expected_version=7)
        self.assertEqual([expected], actions)

    def test_claim_of_departed_or_overdue_owner_settles_as_unknown(
        self,
    ) -> None:
        for now, departed in ((0.1, True), (11.0, False)):
            actions = self._conflict_with(
                FOREIGN_CLAIM, now=now, departed=departed
            )
            self.assertEqual(UNKNOWN, _refusal(actions))
            self.assertIs(ClaimState.UNKNOWN, _written(actions).state)

    def test_operation_unseen_by_the_service_is_still_unknown(self) -> None:
        req = replace(REQ, outcome_query=True)
        machine = _machine(req, departed=True)
        actions = machine.handle(
            0.1, ClaimConflict(row=FOREIGN_CLAIM, version=7)
        )
        self.assertEqual([QueryOutcome], _kinds(actions))
        actions = machine.handle(0.2, OutcomeNotSeen())
        self.assertEqual(UNKNOWN, _refusal(actions))
        self.assertIs(ClaimState.UNKNOWN, _written(actions).state)

    def test_unknown_becomes_done_when_the_service_reports_it_ran(
        self,
    ) -> None:
        row = FOREIGN_CLAIM.with_state(ClaimState.UNKNOWN)
        self.assertEqual(UNKNOWN, _refusal(self._conflict_with(row)))
        machine = _machine(replace(REQ, outcome_query=True))
        machine.handle(0.1, ClaimConflict(row=row, version=7))
        actions = machine.handle(0.2, OutcomeRan(answer=ANSWER))
        self.assertIs(ClaimState.DONE, _written(actions).state)
        self.assertEqual("theirs", _written(actions).claim_id)


class ClaimRows(testtools.TestCase):
    def test_row_is_unchanged_by_its_json_form(self) -> None:
        row = FOREIGN_CLAIM.with_state(ClaimState.DONE, ANSWER)
        self.assertEqual(row, ClaimRow.from_json(row.to_json()))

    def test_keys_do_not_collide(self) -> None:
        account = AccountId("acc")
        unsafe_key = claim_key(account, "a/b ")
        self.assertEqual("acc/a.b", claim_key(account, "a.b"))
        self.assertTrue(unsafe_key.startswith("acc/~"))
        self.assertNotEqual(unsafe_key, claim_key(account, unsafe_key[4:]))
        self.assertNotEqual(
            operation_id(AccountId("ab"), "c"),
            operation_id(AccountId("a"), "bc"),
        )


class Unkeyed(testtools.TestCase):
    def _machine(self, outcome_query: bool = False) -> UnkeyedMachine:
        machine = UnkeyedMachine(
            operation_id="op",
            dispatch_deadline=2.0,
            answer_deadline=10.0,
            outcome_query=outcome_query,
        )
        self.assertEqual([Dispatch], _kinds(machine.start(0.0)))
        return machine

    def test_not_run_only_if_nothing_was_sent(self) -> None:
        actions = self._machine().handle(2.0, DispatchNotSent())
        self.assertEqual(
            (RefusalKind.TOO_LATE, ExecutionStatus.NOT_RUN), _refusal(actions)
        )
        machine = self._machine()
        self.assertEqual(
            UNKNOWN, _refusal(machine.handle(0.1, DispatchLost()))
        )
        self.assertFalse(machine.may_dispatch(0.1))
        self.assertEqual([], machine.handle(0.1, DispatchNotSent()))

    def test_lost_dispatch_queries_the_outcome(self) -> None:
        machine = self._machine(outcome_query=True)
        machine.handle(0.1, DispatchLost())
        machine.handle(0.2, OutcomeNotSeen())
        self.assertEqual(
            [QueryOutcome], _kinds(machine.handle(0.7, OnceTimer()))
        )
        actions = machine.handle(9.6, OutcomeNotSeen())
        self.assertEqual(UNKNOWN, _refusal(actions))
