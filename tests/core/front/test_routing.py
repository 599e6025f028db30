"""Tests of routes, keys and versions of the configuration."""

import testtools

from tests.core.front.builders import config, route
from waxwingarch.core.routing.config import RoutingConfig
from waxwingarch.core.routing.table import RoutingTable


class LookUps(testtools.TestCase):
    def table(self) -> RoutingTable:
        table = RoutingTable()
        table.apply(
            0.0,
            RoutingConfig(
                version=3,
                routes=(
                    route("short", prefix="/a/"),
                    route("long", prefix="/a/b/"),
                    route("other", host="o.example", prefix="/"),
                ),
                services=(),
            ),
        )
        return table

    def test_longest_prefix_that_begins_the_path(self) -> None:
        table = self.table()
        for path, want in (
            ("/a/x", "short"),
            ("/a/b/x", "long"),
            ("/a/b/", "long"),
            ("/a/b", "short"),
            ("/a/bc/x", "short"),
        ):
            found = table.find_route("H.example", path)
            self.assertEqual(want, found.name if found else None, path)

    def test_no_route(self) -> None:
        table = self.table()
        self.assertIsNone(table.find_route("h.example", "/b/"))
        self.assertIsNone(table.find_route("h.example", "/a"))
        self.assertIsNone(table.find_route("nobody.example", "/a/"))

    def test_host_without_a_longer_prefix(self) -> None:
        found = self.table().find_route("o.example", "/a/b/c")
        self.assertEqual("other", found.name if found else None)


class Versions(testtools.TestCase):
    def test_an_older_configuration_never_comes_back(self) -> None:
        table = RoutingTable()
        self.assertTrue(table.apply(0.0, config(5, keys=("new",))))
        self.assertFalse(table.apply(1.0, config(4, keys=("old",))))
        self.assertFalse(table.apply(1.0, config(5, keys=("old",))))
        self.assertIsNone(table.account_for_key("old"))
        self.assertIsNotNone(table.account_for_key("new"))

    def test_a_key_that_was_taken_away(self) -> None:
        table = RoutingTable()
        table.apply(0.0, config(1, keys=("a", "b")))
        table.apply(1.0, config(2, keys=("b",)))
        self.assertIsNone(table.account_for_key("a"))
