"""Tests of the settings sync and its deltas, on one host."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.core.clusters import make_member
from waxwingarch.core.base import Action, HostId
from waxwingarch.core.cluster.configsync import (
    PEER_WAIT_S,
    ApplySettings,
    ConfigSync,
    PollRevision,
    PullFailed,
    PullSettings,
    ReadSettings,
    Ready,
    RevisionRead,
    RevisionUnavailable,
    SettingsPulled,
    SettingsRead,
)
from waxwingarch.core.settings.settings import (
    Document,
    SettingsDelta,
    SettingsHistory,
    SettingsSnapshot,
    apply_delta,
    make_snapshot,
)

NEAR = make_member("h4", region="r0")
SAME_REGION = make_member("h1", region="r0")
FAR = make_member("h2", region="r1")
PEERS = [FAR, SAME_REGION, NEAR]


def snapshot(revision: int, **texts: str) -> SettingsSnapshot:
    return make_snapshot(
        revision, [Document(name=n, text=t) for n, t in texts.items()]
    )


def make_sync() -> ConfigSync:
    return ConfigSync(make_member("h0"), random.Random(1))


def kinds(actions: list[Action]) -> list[type[Action]]:
    return [type(action) for action in actions]


class TestConfigSync(testtools.TestCase):
    def test_first_polls_the_table_and_is_not_ready(self) -> None:
        sync = make_sync()
        self.assertEqual([PollRevision], kinds(sync.tick(0.0, False, [])))
        self.assertFalse(sync.ready)

    def test_ready_once_the_tables_revision_is_in_force(self) -> None:
        sync = make_sync()
        sync.tick(0.0, False, [])
        sync.on_revision_read(0.1, RevisionRead(revision=5))
        self.assertEqual([ReadSettings], kinds(sync.tick(0.2, False, [])))
        stale = sync.on_settings_read(
            0.3, SettingsRead(snapshot=snapshot(4, a="x"))
        )
        self.assertEqual([ApplySettings], kinds(stale))
        fresh = sync.on_settings_read(
            0.4, SettingsRead(snapshot=snapshot(5, a="y"))
        )
        self.assertEqual([ApplySettings], kinds(fresh))
        # Until then, peers may still report a later revision.
        self.assertEqual([], kinds(sync.tick(PEER_WAIT_S - 0.1, False, [])))
        self.assertIn(Ready, kinds(sync.tick(PEER_WAIT_S, False, [])))

    def test_a_stale_first_read_does_not_make_it_ready(self) -> None:
        sync = make_sync()
        sync.tick(0.0, False, [])
        sync.on_revision_read(0.1, RevisionRead(revision=4))
        sync.on_settings_read(0.2, SettingsRead(snapshot=snapshot(4, a="x")))
        sync.record_peer_revision(0.3, NEAR.host_id, 5)
        self.assertNotIn(Ready, kinds(sync.tick(0.4, False, PEERS)))
        fresh = sync.on_settings_read(
            0.5, SettingsRead(snapshot=snapshot(5, a="y"))
        )
        self.assertEqual([ApplySettings, Ready], kinds(fresh))

    def test_stale_reads_never_revert_settings(self) -> None:
        sync = make_sync()
        sync.on_settings_read(0.0, SettingsRead(snapshot=snapshot(5, a="y")))
        sync.on_revision_read(0.1, RevisionRead(revision=3))
        late = sync.on_settings_read(
            0.2, SettingsRead(snapshot=snapshot(4, a="x"))
        )
        self.assertNotIn(ApplySettings, kinds(late))
        self.assertEqual(5, sync.applied_revision)
        self.assertEqual(5, sync.highest_known)

    def test_pulls_from_the_nearest_peer_that_has_it(self) -> None:
        sync = make_sync()
        sync.record_peer_revision(0.0, FAR.host_id, 5)
        sync.record_peer_revision(0.0, SAME_REGION.host_id, 5)
        sync.record_peer_revision(0.0, NEAR.host_id, 4)
        (pull,) = [
            a
            for a in sync.tick(0.0, False, PEERS)
            if isinstance(a, PullSettings)
        ]
        self.assertEqual(SAME_REGION.host_id, pull.peer)
        sync.on_pull_failed(0.1, PullFailed(peer=pull.peer))
        (again,) = [
            a
            for a in sync.tick(1.0, False, PEERS)
            if isinstance(a, PullSettings)
        ]
        self.assertEqual(FAR.host_id, again.peer)

    def test_a_silent_peer_is_skipped(self) -> None:
        sync = make_sync()
        sync.record_peer_revision(0.0, NEAR.host_id, 5)
        sync.record_peer_revision(0.0, FAR.host_id, 5)
        sync.tick(0.0, False, PEERS)
        sync.tick(1.1, False, PEERS)
        pulls = [
            a
            for a in sync.tick(2.0, False, PEERS)
            if isinstance(a, PullSettings)
        ]
        self.assertEqual([FAR.host_id], [p.peer for p in pulls])

    def test_table_is_read_when_no_peer_has_it(self) -> None:
        sync = make_sync()
        sync.record_revision(0.0, 5)
        self.assertNotIn(ReadSettings, kinds(sync.tick(0.9, False, PEERS)))
        self.assertIn(ReadSettings, kinds(sync.tick(2.1, False, PEERS)))

    def test_with_table_down_and_no_peer_it_is_never_ready(self) -> None:
        sync = make_sync()
        for n in range(100):
            sync.tick(n / 2, False, [])
            sync.on_revision_unavailable(n / 2, RevisionUnavailable())
        self.assertFalse(sync.ready)

    def test_only_table_pollers_go_on_polling(self) -> None:
        sync = make_sync()
        sync.tick(0.0, False, [])
        sync.on_revision_read(0.1, RevisionRead(revision=0))
        self.assertNotIn(PollRevision, kinds(sync.tick(5.0, False, [])))
        self.assertIn(PollRevision, kinds(sync.tick(6.0, True, [])))

    def test_a_delta_that_does_not_fit_is_followed_by_a_full_pull(
        self,
    ) -> None:
        sync = make_sync()
        sync.on_settings_read(0.0, SettingsRead(snapshot=snapshot(2, a="x")))
        sync.record_peer_revision(0.0, NEAR.host_id, 3)
        sync.tick(0.0, False, PEERS)
        wrong = SettingsDelta(
            base_revision=2, revision=3, digest="?", changed=(), removed=()
        )
        sync.on_settings_pulled(
            0.1, SettingsPulled(peer=HostId("h4"), delta=wrong)
        )
        pulls = [
            a
            for a in sync.tick(0.2, False, PEERS)
            if isinstance(a, PullSettings)
        ]
        self.assertEqual([0], [p.have_revision for p in pulls])


class TestSettingsHistory(testtools.TestCase):
    def test_an_older_snapshot_is_ignored(self) -> None:
        history = SettingsHistory()
        history.advance(snapshot(2, a="2"))
        history.advance(snapshot(1, a="1"))
        self.assertEqual(snapshot(2, a="2"), history.snapshot)

    def test_a_delta_carries_only_what_changed(self) -> None:
        history = SettingsHistory()
        history.advance(snapshot(1, a="1", b="1", c="1"))
        history.advance(snapshot(2, a="2", b="1"))
        delta = history.delta_since(1)
        self.assertEqual(["a"], [d.name for d in delta.changed])
        self.assertEqual(("c",), delta.removed)
        self.assertEqual(0, history.delta_since(0).base_revision)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.dictionaries(st.sampled_from("abcd"), st.sampled_from("xy")),
            min_size=2,
            max_size=6,
        ),
        st.data(),
    )
    def test_a_delta_is_exact_or_rejected(
        self, steps: list[dict[str, str]], data: st.DataObject
    ) -> None:
        snapshots = [snapshot(n + 1, **s) for n, s in enumerate(steps)]
        holder = SettingsHistory()
        for shot in snapshots:
            if data.draw(st.booleans()):
                holder.advance(shot)
        base = data.draw(st.sampled_from(snapshots))
        delta = holder.delta_since(base.revision)
        result = apply_delta(base, delta)
        if result is not None:
            self.assertEqual(holder.snapshot, result)
        full = apply_delta(base, holder.delta_since(0))
        self.assertEqual(holder.snapshot, full)
