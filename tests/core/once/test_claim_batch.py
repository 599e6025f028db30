"""Tests of the group commit of claim rows."""

from random import Random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingarch.core.once.claim_batch import (
    BatchedWrite,
    BatchFailure,
    ClaimBatcher,
    WriteResult,
)
from waxwingarch.core.settings.rows import (
    MAX_TRANSACTION_WRITES,
    Committed,
    Condition,
    Conflict,
    Row,
    Write,
)


def _write(
    name: str, key: str, *, version: int = 0, send_by: float = 0.0
) -> BatchedWrite:
    return BatchedWrite(
        write_id=name,
        condition=Condition(table="claims", key=key, version=version),
        write=Write(table="claims", key=key, value=name),
        send_by=send_by,
        give_up_at=5.0,
    )


class _Table:
    """Applies transactions and stores the writer of each version."""

    def __init__(self) -> None:
        self.rows: dict[str, list[str]] = {}

    def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Committed | Conflict:
        conflicting = [
            c for c in conditions if c.version != len(self.rows.get(c.key, []))
        ]
        if conflicting:
            return Conflict(rows=tuple(self._row(c.key) for c in conflicting))
        for write in writes:
            self.rows.setdefault(write.key, []).append(write.value)
        return Committed(versions=tuple(len(self.rows[w.key]) for w in writes))

    def _row(self, key: str) -> Row:
        values = self.rows.get(key, [])
        value = values[-1] if values else None
        return Row(table="claims", key=key, value=value, version=len(values))


class GroupCommit(testtools.TestCase):
    def test_writes_during_a_transaction_share_the_next_one(self) -> None:
        batcher = ClaimBatcher()
        batcher.add(_write("a", "1"))
        first = batcher.next_batch(0.0)
        batcher.add(_write("b", "2"))
        batcher.add(_write("c", "3"))
        self.assertIsNone(batcher.next_batch(0.0))
        assert first is not None
        batcher.handle_result(Committed(versions=(1,)))
        second = batcher.next_batch(0.0)
        assert second is not None
        self.assertEqual(2, len(second.writes))

    def test_records_wait_for_a_claim_up_to_a_deadline(self) -> None:
        batcher = ClaimBatcher()
        batcher.add(_write("record", "1", send_by=1.0))
        self.assertIsNone(batcher.next_batch(0.5))
        batcher.add(_write("claim", "2", send_by=0.6))
        batch = batcher.next_batch(0.6)
        assert batch is not None
        self.assertEqual(2, len(batch.writes))

    def test_write_queued_past_its_limit_fails(self) -> None:
        batcher = ClaimBatcher()
        batcher.add(_write("a", "1"))
        expected = WriteResult(write_id="a", failure=BatchFailure.UNAVAILABLE)
        self.assertEqual([expected], batcher.expire(5.0))
        self.assertIsNone(batcher.next_batch(5.0))

    def test_lost_reply_fails_each_write_of_the_batch(self) -> None:
        batcher = ClaimBatcher()
        for name in "ab":
            batcher.add(_write(name, name))
        batcher.next_batch(0.0)
        results = batcher.handle_result(BatchFailure.REPLY_LOST)
        self.assertEqual(["a", "b"], [r.write_id for r in results])
        self.assertEqual([], batcher.handle_result(BatchFailure.REPLY_LOST))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, 10_000), st.integers(1, 300))
    def test_each_write_gets_one_correct_result(
        self, seed: int, n: int
    ) -> None:
        random = Random(seed)
        table, batcher = _Table(), ClaimBatcher()
        keys = [str(random.randrange(max(1, n // 3))) for _ in range(n)]
        results: dict[str, WriteResult] = {}
        for index, key in enumerate(keys):
            batcher.add(_write(str(index), key))
        while batch := batcher.next_batch(0.0):
            self.assertTrue(len(batch.writes) <= MAX_TRANSACTION_WRITES)
            result = table.transact(batch.conditions(), batch.row_writes())
            for item in batcher.handle_result(result):
                self.assertNotIn(item.write_id, results)
                results[item.write_id] = item
        self.assertEqual(n, len(results))
        for index, key in enumerate(keys):
            is_first_version = results[str(index)].version == 1
            self.assertEqual(is_first_version, table.rows[key] == [str(index)])
