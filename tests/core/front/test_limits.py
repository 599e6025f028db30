"""Tests of limits that all hosts keep together."""

from dataclasses import replace

import testtools

from waxwingarch.core.base import AccountId, HostId, ServiceId
from waxwingarch.core.limits.resend_budget import ResendBudget
from waxwingarch.core.limits.shared_rate import SharedRates
from waxwingarch.core.limits.window import WindowSum
from waxwingarch.core.routing.config import RoutedAccount

WINDOW_S = 8.0
RATE = 1000.0
WHOLE = RATE * WINDOW_S + RATE
# What the deployments tolerate over the whole of a window.
TOLERATED = WHOLE * 1.1 + 2000
ACCOUNT = RoutedAccount(
    account=AccountId("a"),
    keys=(),
    priority=None,
    counts_tokens=True,
    default_tokens=1,
    rate=RATE,
    burst=RATE,
)


class Window(testtools.TestCase):
    def test_forgets_after_the_window(self) -> None:
        window = WindowSum(8.0)
        window.add(0.0, 5)
        window.add(4.0, 3)
        self.assertEqual(8, window.total(7.9))
        self.assertEqual(3, window.total(8.3))
        self.assertEqual(0, window.total(20.0))


class Hosts:
    """Hosts that flood one account and report to each other."""

    def __init__(self, count: int) -> None:
        self.names = [HostId(f"h{n}") for n in range(count)]
        self.rates = {name: self.new() for name in self.names}
        self.admitted: list[tuple[float, float]] = []

    def new(self) -> SharedRates:
        rates = SharedRates(WINDOW_S)
        rates.set_host_count(len(self.names))
        return rates

    def report(self, now: float) -> None:
        used = {
            name: rates.own_usage(now, [ACCOUNT])
            for name, rates in self.rates.items()
        }
        for name, rates in self.rates.items():
            for other in self.names:
                if other != name:
                    rates.record_report(now, other, used[other])

    def flood(self, begin: float, end: float, each: float) -> None:
        """Ask for `each` tokens on each host every 50 ms."""
        step = 0
        while (now := begin + step * 0.05) < end:
            if step % 4 == 0:
                self.report(now)
            for rates in self.rates.values():
                if rates.admit(now, ACCOUNT, each) is None:
                    self.admitted.append((now, each))
            step += 1

    def restart(self, now: float) -> None:
        for name in self.names:
            self.rates[name] = self.new()
            self.rates[name].record_restart(now)

    def most(self) -> float:
        """Return the most that any window admitted."""
        return max(
            sum(c for at, c in self.admitted if begin <= at < begin + WINDOW_S)
            for begin, _ in self.admitted
        )


class SharedRate(testtools.TestCase):
    def test_flood_on_all_hosts_keeps_to_the_limit(self) -> None:
        hosts = Hosts(8)
        hosts.flood(0.0, 20.0, 50)
        self.assertLess(hosts.most(), TOLERATED)
        self.assertGreater(hosts.most(), WHOLE * 0.8)

    def test_flood_while_all_hosts_restart(self) -> None:
        # Each host counted its own part as used, and took the parts of
        # the others as free (QUOTA).
        hosts = Hosts(8)
        hosts.flood(0.0, 4.0, 50)
        hosts.restart(4.5)
        hosts.flood(4.5, 16.0, 50)
        self.assertLess(hosts.most(), TOLERATED)

    def test_calm_account_is_served_after_all_hosts_restart(self) -> None:
        # Half of the rate was free after a restart, whoever asked.
        hosts = Hosts(8)
        each = RATE * 0.55 * 0.05 / 8
        hosts.flood(0.0, 8.0, each)
        [name, *_] = hosts.names
        busy = hosts.rates[name].busy_accounts(8.0, [ACCOUNT])
        self.assertEqual((), busy)
        hosts.restart(8.5)
        for rates in hosts.rates.values():
            rates.set_busy_before_restart(busy)
        before = len(hosts.admitted)
        hosts.flood(8.5, 14.5, each)
        self.assertEqual(6 * 20 * 8, len(hosts.admitted) - before)
        self.assertLess(hosts.most(), WHOLE)

    def test_flood_is_known_as_busy_after_all_hosts_restart(self) -> None:
        hosts = Hosts(8)
        hosts.flood(0.0, 4.0, 50)
        [name, *_] = hosts.names
        busy = hosts.rates[name].busy_accounts(4.0, [ACCOUNT])
        self.assertEqual((ACCOUNT.account,), busy)
        hosts.restart(4.5)
        for rates in hosts.rates.values():
            rates.set_busy_before_restart(busy)
        hosts.flood(4.5, 16.0, 50)
        self.assertLess(hosts.most(), TOLERATED)

    def test_lowered_limit_counts_what_was_used_in_proportion(self) -> None:
        # All that was used under the higher limit counted in full, so
        # that nothing was admitted for a whole window.
        lower = replace(ACCOUNT, rate=RATE / 4, burst=RATE / 4)
        hosts = Hosts(8)
        for rates in hosts.rates.values():
            rates.apply_config(0.0, 1, [ACCOUNT])
        hosts.flood(0.0, 8.0, RATE * 0.5 * 0.05 / 8)
        for rates in hosts.rates.values():
            rates.apply_config(8.0, 2, [lower])
        hosts.report(8.0)
        [name, *_] = hosts.names
        self.assertIsNone(hosts.rates[name].admit(8.1, lower, 100))
        admitted = 100.0
        while hosts.rates[name].admit(8.2, lower, 100) is None:
            admitted += 100
        self.assertLess(admitted, WHOLE / 4)

    def test_report_under_the_higher_limit_is_scaled_too(self) -> None:
        lower = replace(ACCOUNT, rate=RATE / 4, burst=RATE / 4)
        hosts = Hosts(2)
        [one, two] = hosts.rates.values()
        for rates in (one, two):
            rates.apply_config(0.0, 1, [ACCOUNT])
        self.assertIsNone(two.admit(0.1, ACCOUNT, WHOLE * 0.4))
        one.apply_config(0.2, 2, [lower])
        one.record_report(0.2, HostId("h1"), two.own_usage(0.2, [ACCOUNT]), 1)
        self.assertIsNone(one.admit(0.2, lower, WHOLE / 4 * 0.5))

    def test_later_configurations_keep_what_a_lowered_limit_scales(
        self,
    ) -> None:
        half = replace(ACCOUNT, rate=RATE / 2, burst=RATE / 2)
        lower = replace(ACCOUNT, rate=RATE / 4, burst=RATE / 4)
        for later in ([half, half], [half, lower], [half, lower, lower]):
            hosts = Hosts(2)
            [one, two] = hosts.rates.values()
            for rates in (one, two):
                rates.apply_config(0.0, 1, [ACCOUNT])
            self.assertIsNone(two.admit(0.1, ACCOUNT, WHOLE * 0.4))
            for version, account in enumerate(later, 2):
                one.apply_config(0.2, version, [account])
            one.record_report(
                0.2, HostId("h1"), two.own_usage(0.2, [ACCOUNT]), 1
            )
            whole = WHOLE * later[-1].rate / RATE
            self.assertIsNone(one.admit(0.2, later[-1], whole * 0.5))
            self.assertIsNotNone(one.admit(0.3, later[-1], whole * 0.15))

    def test_host_that_hears_nobody_keeps_to_its_part(self) -> None:
        rates = Hosts(8).new()
        admitted = 0.0
        while rates.admit(1.0, ACCOUNT, 10) is None:
            admitted += 10
        self.assertLessEqual(admitted, WHOLE / 8)
        self.assertGreater(admitted, WHOLE / 8 - 20)

    def test_refusal_tells_what_the_limit_is_made_up_of(self) -> None:
        hosts = Hosts(4)
        [one, *_] = hosts.rates.values()
        one.admit(0.0, ACCOUNT, 100)
        one.record_report(0.0, HostId("h1"), {ACCOUNT.account: 300.0})
        text = one.explain(0.1, ACCOUNT)
        self.assertIn("100 used here, 300 by other hosts", text)
        self.assertIn(f"{WHOLE / 2:.0f} kept for hosts not heard", text)
        self.assertIn(f"of {WHOLE:.0f} in 8 s", text)

    def test_no_limit_without_a_rate(self) -> None:
        free = RoutedAccount(
            account=AccountId("b"),
            keys=(),
            priority=None,
            counts_tokens=True,
            default_tokens=1,
            rate=0.0,
            burst=0.0,
        )
        rates = SharedRates(WINDOW_S)
        self.assertIsNone(rates.admit(0.0, free, 1e9))


class Resends(testtools.TestCase):
    def test_bounded_by_requests_and_this_hosts_part(self) -> None:
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
