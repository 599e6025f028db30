"""Tests of the lease protocol and of server orders under a lease."""

import testtools

from waxwingarch.core.base import Action, HostId, ServerId, VersionId
from waxwingarch.core.duties.lease import (
    LEASE_MARGIN_S,
    LEASE_TERM_S,
    LONGEST_ORDER_S,
    LeaseConflict,
    LeaseHeld,
    LeaseLost,
    LeaseMachine,
    LeaseRead,
    LeaseReplyLost,
    LeaseRow,
    LeaseTableDown,
    LeaseTimer,
    LeaseWritten,
    ReadLease,
    SetLeaseTimer,
    WriteLease,
)
from waxwingarch.core.servers.orders import (
    WATCH_S,
    DesiredConfigReached,
    OrderRefused,
    ReadServerConfig,
    SendOrder,
    ServerConfig,
    ServerConfigRead,
    ServerOrders,
)

USABLE_S = LEASE_TERM_S - LEASE_MARGIN_S
OTHERS_ROW = LeaseRow(holder=HostId("b"), incarnation=1, fencing=4)
OWN_ROW = LeaseRow(holder=HostId("a"), incarnation=1, fencing=1)


def _machine() -> LeaseMachine:
    machine = LeaseMachine("mover", HostId("a"), 1)
    machine.start(0.0)
    return machine


def _holder() -> LeaseMachine:
    machine = _machine()
    machine.handle(0.0, LeaseRead(row=None, version=0))
    machine.handle(1.0, LeaseWritten(version=1))
    return machine


def _types(actions: list[Action]) -> list[type[Action]]:
    return [type(action) for action in actions]


class LeaseHolder(testtools.TestCase):
    def test_lease_counts_from_when_the_write_was_sent(self) -> None:
        machine = _machine()
        actions = machine.handle(0.0, LeaseRead(row=None, version=0))
        write = WriteLease(duty="mover", row=OWN_ROW, expected_version=0)
        self.assertEqual([write], actions)
        self.assertFalse(machine.may_act(0.0))
        actions = machine.handle(5.0, LeaseWritten(version=1))
        self.assertEqual(
            LeaseHeld(duty="mover", fencing=1, deadline=USABLE_S), actions[0]
        )
        self.assertTrue(machine.may_act(USABLE_S - 0.1))
        self.assertFalse(machine.may_act(USABLE_S))

    def test_reports_expiry_once_and_renews(self) -> None:
        machine = _holder()
        actions = machine.handle(20.0, LeaseTimer())
        self.assertEqual([LeaseLost, WriteLease], _types(actions))
        self.assertFalse(machine.may_act(20.0))
        actions = machine.handle(20.5, LeaseWritten(version=2))
        self.assertEqual([LeaseHeld, SetLeaseTimer], _types(actions))
        self.assertTrue(machine.may_act(20.5))

    def test_lost_reply_is_read_back(self) -> None:
        machine = _holder()
        machine.handle(4.0, LeaseTimer())
        self.assertEqual(
            [ReadLease], _types(machine.handle(6.0, LeaseReplyLost()))
        )
        actions = machine.handle(7.0, LeaseRead(row=OWN_ROW, version=2))
        self.assertEqual([LeaseHeld, SetLeaseTimer], _types(actions))
        self.assertFalse(machine.may_act(4.0 + USABLE_S))

    def test_failed_renewal_does_not_extend_the_lease(self) -> None:
        machine = _holder()
        machine.handle(4.0, LeaseTimer())
        machine.handle(4.1, LeaseTableDown())
        self.assertTrue(machine.may_act(USABLE_S - 0.1))
        self.assertFalse(machine.may_act(USABLE_S))

    def test_conflict_with_another_holder_ends_the_lease(self) -> None:
        machine = _holder()
        machine.handle(4.0, LeaseTimer())
        actions = machine.handle(4.1, LeaseConflict(row=OTHERS_ROW, version=9))
        self.assertEqual([LeaseLost, SetLeaseTimer], _types(actions))
        self.assertFalse(machine.may_act(4.1))

    def test_resigning_releases_the_row(self) -> None:
        machine = _holder()
        actions = machine.resign(2.0)
        self.assertEqual([LeaseLost, WriteLease], _types(actions))
        self.assertFalse(machine.may_act(2.0))
        self.assertEqual([], machine.handle(2.1, LeaseWritten(version=2)))


class LeaseWatcher(testtools.TestCase):
    def test_waits_a_full_term_after_the_last_change(self) -> None:
        machine = _machine()
        actions = machine.handle(1.0, LeaseRead(row=OTHERS_ROW, version=5))
        self.assertEqual([SetLeaseTimer], _types(actions))
        machine.handle(5.0, LeaseTimer())
        machine.handle(6.0, LeaseRead(row=OTHERS_ROW, version=6))
        machine.handle(20.9, LeaseTimer())
        actions = machine.handle(20.9, LeaseRead(row=OTHERS_ROW, version=6))
        self.assertEqual([SetLeaseTimer(at=21.0)], actions)
        machine.handle(21.0, LeaseTimer())
        actions = machine.handle(21.0, LeaseRead(row=OTHERS_ROW, version=6))
        row = LeaseRow(holder=HostId("a"), incarnation=1, fencing=5)
        write = WriteLease(duty="mover", row=row, expected_version=6)
        self.assertEqual([write], actions)

    def test_waits_for_orders_of_the_previous_holder(self) -> None:
        machine = _machine()
        machine.handle(0.0, LeaseRead(row=OTHERS_ROW, version=5))
        machine.handle(15.0, LeaseTimer())
        machine.handle(15.0, LeaseRead(row=OTHERS_ROW, version=5))
        machine.handle(15.0, LeaseWritten(version=6))
        self.assertTrue(machine.may_act(16.0))
        self.assertFalse(machine.may_act(16.0, checks_fencing=False))
        for version, at in enumerate(range(19, 50, 4), start=7):
            machine.handle(float(at), LeaseTimer())
            machine.handle(float(at), LeaseWritten(version=version))
        after = 15.0 + LONGEST_ORDER_S
        self.assertTrue(machine.may_act(after, checks_fencing=False))

    def test_acquires_a_released_lease_at_once(self) -> None:
        machine = _machine()
        released = LeaseRow(holder=None, incarnation=1, fencing=4)
        machine.handle(0.0, LeaseRead(row=released, version=5))
        machine.handle(0.1, LeaseWritten(version=6))
        self.assertTrue(machine.may_act(0.2, checks_fencing=False))
        self.assertEqual(5, machine.fencing)

    def test_ignores_a_stale_read(self) -> None:
        machine = _holder()
        machine.handle(4.0, LeaseTimer())
        machine.handle(4.1, LeaseReplyLost())
        machine.handle(4.2, LeaseRead(row=None, version=0))
        self.assertTrue(machine.may_act(4.2))

    def test_row_survives_encoding(self) -> None:
        self.assertEqual(OTHERS_ROW, LeaseRow.from_json(OTHERS_ROW.to_json()))


class OrdersUnderLease(testtools.TestCase):
    want = ServerConfig(version=VersionId("v2"), role="decode")
    other = ServerConfig(version=VersionId("v1"), role="decode")

    def _orders(self) -> ServerOrders:
        return ServerOrders(
            server_id=ServerId("s"),
            incarnation=3,
            checks_fencing=True,
            desired=self.want,
        )

    def _handle_read(
        self, orders: ServerOrders, now: float, config: ServerConfig
    ) -> list[Action]:
        event = ServerConfigRead(
            server_id=ServerId("s"), incarnation=3, config=config
        )
        return orders.handle_config_read(now, event, _holder())

    def test_reads_back_and_repairs(self) -> None:
        orders = self._orders()
        self.assertEqual(
            [ReadServerConfig], _types(orders.tick(1.0, _holder()))
        )
        [order] = self._handle_read(orders, 1.0, self.other)
        assert isinstance(order, SendOrder)
        self.assertEqual((1, self.want), (order.fencing, order.desired))
        self.assertEqual(
            [DesiredConfigReached],
            _types(self._handle_read(orders, 2.0, self.want)),
        )
        [again] = self._handle_read(orders, 3.0, self.other)
        assert isinstance(again, SendOrder)
        self.assertNotEqual(order.order_id, again.order_id)

    def test_does_nothing_without_the_lease(self) -> None:
        orders = self._orders()
        self.assertEqual([], orders.tick(USABLE_S, _holder()))
        self.assertEqual([], self._handle_read(orders, USABLE_S, self.other))

    def test_stops_at_a_newer_fencing_number(self) -> None:
        orders = self._orders()
        orders.handle_order_refused(
            OrderRefused(server_id=ServerId("s"), current=2)
        )
        self.assertEqual([], self._handle_read(orders, 1.0, self.other))

    def test_stops_watching_after_the_keep_time(self) -> None:
        orders = self._orders()
        self._handle_read(orders, -WATCH_S, self.want)
        self.assertEqual([], orders.tick(1.0, _holder()))
