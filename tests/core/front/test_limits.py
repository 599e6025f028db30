"""Tests of the limits that all hosts enforce jointly."""

from dataclasses import replace

import testtools

from tests.core.front.builders import config, front
from waxwingarch.core.base import AccountId, HostId, ServiceId
from waxwingarch.core.front_messages import ConfigRead, FrontTick
from waxwingarch.core.front_node import FrontNode
from waxwingarch.core.limits.resend_budget import ResendBudget
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.limits.window import WindowSum
from waxwingarch.core.peers.report import (
    HostsListed,
    ReportReceived,
    SendReport,
)
from waxwingarch.core.routing.config import RoutedAccount

WINDOW_S = 8.0
RATE = 1000.0
WINDOW_LIMIT = RATE * WINDOW_S + RATE
# The most that a deployment tolerates in one window: 10 % plus 2000 tokens
# above the limit.
TOLERATED_LIMIT = WINDOW_LIMIT * 1.1 + 2000
ACCOUNT = RoutedAccount(
    account=AccountId("a"),
    keys=(),
    priority=None,
    counts_tokens=True,
    default_tokens=1,
    rate=RATE,
    burst=RATE,
)


class WindowSumTest(testtools.TestCase):
    def test_amounts_expire_after_the_window(self) -> None:
        window = WindowSum(8.0)
        window.add(0.0, 5)
        window.add(4.0, 3)
        self.assertEqual(8, window.total(7.9))
        self.assertEqual(3, window.total(8.3))
        self.assertEqual(0, window.total(20.0))


class HostGroup:
    """Hosts that use the limit of one account and exchange reports."""

    def __init__(self, count: int) -> None:
        self.names = [HostId(f"h{n}") for n in range(count)]
        self.rates = {name: self.new_rates() for name in self.names}
        self.admitted: list[tuple[float, float]] = []

    def new_rates(self) -> SharedRates:
        rates = SharedRates(WINDOW_S)
        rates.set_host_count(len(self.names))
        return rates

    def exchange_reports(self, now: float) -> None:
        used = {
            name: rates.own_usage(now, [ACCOUNT])
            for name, rates in self.rates.items()
        }
        for name, rates in self.rates.items():
            for other in self.names:
                if other != name:
                    rates.record_report(now, other, used[other])

    def send_load(self, begin: float, end: float, each: float) -> None:
        """Request `each` tokens on each host every 50 ms."""
        step = 0
        while (now := begin + step * 0.05) < end:
            if step % 4 == 0:
                self.exchange_reports(now)
            for rates in self.rates.values():
                if rates.admit(now, ACCOUNT, each) is None:
                    self.admitted.append((now, each))
            step += 1

    def restart_all(self, now: float) -> None:
        for name in self.names:
            self.rates[name] = self.new_rates()
            self.rates[name].record_restart(now)

    def max_window_usage(self) -> float:
        """Return the largest amount admitted in any window."""
        return max(
            sum(c for at, c in self.admitted if begin <= at < begin + WINDOW_S)
            for begin, _ in self.admitted
        )


class SharedRate(testtools.TestCase):
    def test_overload_on_all_hosts_stays_within_the_limit(self) -> None:
        hosts = HostGroup(8)
        hosts.send_load(0.0, 20.0, 50)
        self.assertLess(hosts.max_window_usage(), TOLERATED_LIMIT)
        self.assertGreater(hosts.max_window_usage(), WINDOW_LIMIT * 0.8)

    def test_overload_while_all_hosts_restart(self) -> None:
        # Guards promise QUOTA: after a joint restart, each host counted its
        # own share as used but the shares of the others as free.
        hosts = HostGroup(8)
        hosts.send_load(0.0, 4.0, 50)
        hosts.restart_all(4.5)
        hosts.send_load(4.5, 16.0, 50)
        self.assertLess(hosts.max_window_usage(), TOLERATED_LIMIT)

    def test_account_below_its_limit_is_served_after_all_hosts_restart(
        self,
    ) -> None:
        # After a restart, every account got only half of its rate, even
        # one that had used little of it.
        hosts = HostGroup(8)
        each = RATE * 0.55 * 0.05 / 8
        hosts.send_load(0.0, 8.0, each)
        [name, *_] = hosts.names
        busy = hosts.rates[name].busy_accounts(8.0, [ACCOUNT])
        self.assertEqual((), busy)
        hosts.restart_all(8.5)
        for rates in hosts.rates.values():
            rates.set_busy_before_restart(busy)
        before = len(hosts.admitted)
        hosts.send_load(8.5, 14.5, each)
        self.assertEqual(6 * 20 * 8, len(hosts.admitted) - before)
        self.assertLess(hosts.max_window_usage(), WINDOW_LIMIT)

    def test_busy_account_is_limited_after_all_hosts_restart(self) -> None:
        hosts = HostGroup(8)
        hosts.send_load(0.0, 4.0, 50)
        [name, *_] = hosts.names
        busy = hosts.rates[name].busy_accounts(4.0, [ACCOUNT])
        self.assertEqual((ACCOUNT.account,), busy)
        hosts.restart_all(4.5)
        for rates in hosts.rates.values():
            rates.set_busy_before_restart(busy)
        hosts.send_load(4.5, 16.0, 50)
        self.assertLess(hosts.max_window_usage(), TOLERATED_LIMIT)

    def test_lowered_limit_scales_earlier_usage(self) -> None:
        # The usage under the higher limit counted in full against the
        # lower one, so that nothing was admitted for a whole window.
        lower = replace(ACCOUNT, rate=RATE / 4, burst=RATE / 4)
        hosts = HostGroup(8)
        for rates in hosts.rates.values():
            rates.apply_config(0.0, 1, [ACCOUNT])
        hosts.send_load(0.0, 8.0, RATE * 0.5 * 0.05 / 8)
        for rates in hosts.rates.values():
            rates.apply_config(8.0, 2, [lower])
        hosts.exchange_reports(8.0)
        [name, *_] = hosts.names
        self.assertIsNone(hosts.rates[name].admit(8.1, lower, 100))
        admitted = 100.0
        while hosts.rates[name].admit(8.2, lower, 100) is None:
            admitted += 100
        self.assertLess(admitted, WINDOW_LIMIT / 4)

    def test_lowered_limit_scales_a_report_of_an_older_configuration(
        self,
    ) -> None:
        lower = replace(ACCOUNT, rate=RATE / 4, burst=RATE / 4)
        hosts = HostGroup(2)
        [first, second] = hosts.rates.values()
        for rates in (first, second):
            rates.apply_config(0.0, 1, [ACCOUNT])
        self.assertIsNone(second.admit(0.1, ACCOUNT, WINDOW_LIMIT * 0.4))
        first.apply_config(0.2, 2, [lower])
        first.record_report(
            0.2, HostId("h1"), second.own_usage(0.2, [ACCOUNT]), 1
        )
        self.assertIsNone(first.admit(0.2, lower, WINDOW_LIMIT / 4 * 0.5))

    def test_later_configurations_keep_the_scaling_of_a_lowered_limit(
        self,
    ) -> None:
        half = replace(ACCOUNT, rate=RATE / 2, burst=RATE / 2)
        lower = replace(ACCOUNT, rate=RATE / 4, burst=RATE / 4)
        for later in ([half, half], [half, lower], [half, lower, lower]):
            hosts = HostGroup(2)
            [first, second] = hosts.rates.values()
            for rates in (first, second):
                rates.apply_config(0.0, 1, [ACCOUNT])
            self.assertIsNone(second.admit(0.1, ACCOUNT, WINDOW_LIMIT * 0.4))
            for version, account in enumerate(later, 2):
                first.apply_config(0.2, version, [account])
            first.record_report(
                0.2, HostId("h1"), second.own_usage(0.2, [ACCOUNT]), 1
            )
            window_limit = WINDOW_LIMIT * later[-1].rate / RATE
            self.assertIsNone(first.admit(0.2, later[-1], window_limit * 0.5))
            self.assertIsNotNone(
                first.admit(0.3, later[-1], window_limit * 0.15)
            )

    def test_host_without_reports_stays_within_its_share(self) -> None:
        rates = HostGroup(8).new_rates()
        admitted = 0.0
        while rates.admit(1.0, ACCOUNT, 10) is None:
            admitted += 10
        self.assertLessEqual(admitted, WINDOW_LIMIT / 8)
        self.assertGreater(admitted, WINDOW_LIMIT / 8 - 20)

    def test_explanation_lists_the_usage_of_a_limit(self) -> None:
        hosts = HostGroup(4)
        [first, *_] = hosts.rates.values()
        first.admit(0.0, ACCOUNT, 100)
        first.record_report(0.0, HostId("h1"), {ACCOUNT.account: 300.0})
        text = first.explain(0.1, ACCOUNT)
        self.assertIn("100 used here, 300 by other hosts", text)
        self.assertIn(f"{WINDOW_LIMIT / 2:.0f} kept for hosts not heard", text)
        self.assertIn(f"of {WINDOW_LIMIT:.0f} in 8 s", text)

    def test_account_without_a_rate_is_unlimited(self) -> None:
        unlimited = RoutedAccount(
            account=AccountId("b"),
            keys=(),
            priority=None,
            counts_tokens=True,
            default_tokens=1,
            rate=0.0,
            burst=0.0,
        )
        rates = SharedRates(WINDOW_S)
        self.assertIsNone(rates.admit(0.0, unlimited, 1e9))


class RestartedHosts(testtools.TestCase):
    def report(self, now: float, node: FrontNode) -> ReportReceived:
        tick = FrontTick(boot_now=now, unix_now=now)
        [report] = [
            action.report
            for action in node.handle(now, tick)
            if isinstance(action, SendReport)
        ]
        return ReportReceived(report=report)

    def start(self, host: str, incarnation: int) -> FrontNode:
        node = front(host=host, first_start=incarnation == 1)
        node.identity = replace(node.identity, incarnation=incarnation)
        node.handle(0.0, ConfigRead(cfg=config(rate=RATE)))
        return node

    # Guards against requests refused below their limit: two restarted hosts
    # that had heard of one other reported half of the limit each as used.
    def test_hosts_that_have_heard_of_one_other(self) -> None:
        node = self.start("a", 1)
        listed = HostsListed(addresses={HostId(h): h for h in "abcd"})
        node.handle(0.0, listed)
        for host in "bcd":
            other = self.start(host, 1)
            other.handle(0.0, listed)
            node.handle(0.1, self.report(0.1, other))
        heard = self.report(3.0, node)
        for host in "bc":
            restarted = self.start(host, 2)
            restarted.handle(3.0, FrontTick(boot_now=3.0, unix_now=3.0))
            restarted.handle(3.1, heard)
            node.handle(3.2, self.report(3.2, restarted))
        [account] = node.table.accounts.values()
        self.assertIsNone(node.rates.admit(3.3, account, RATE))


class Resends(testtools.TestCase):
    def test_resends_are_bounded_by_requests_and_the_share_of_the_host(
        self,
    ) -> None:
        budget = ResendBudget(ratio=0.2, extra=80, window_s=10.0)
        budget.set_host_count(8)
        service = ServiceId("s")
        for n in range(100):
            budget.record_request(n * 0.01, service)
        spent = sum(budget.try_resend(1.0, service) for _ in range(200))
        self.assertLessEqual(spent, 0.2 * 100 + 80 / 8)
        self.assertGreater(spent, 20)
        self.assertFalse(budget.try_resend(2.0, service))
        self.assertTrue(budget.try_resend(12.0, service))
