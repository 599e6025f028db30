"""Tests of the look-up of routes and keys, and of configuration versions."""

import testtools

from tests.core.front.builders import config, route
from waxwingarch.core.routing.config import RoutingConfig
from waxwingarch.core.routing.table import RoutingTable


class RouteLookups(testtools.TestCase):
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

    def test_longest_matching_prefix_wins(self) -> None:
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

    def test_root_prefix_matches_every_path(self) -> None:
        found = self.table().find_route("o.example", "/a/b/c")
        self.assertEqual("other", found.name if found else None)


class Versions(testtools.TestCase):
    def test_an_older_configuration_is_not_applied(self) -> None:
        table = RoutingTable()
        self.assertTrue(table.apply(0.0, config(5, keys=("new",))))
        self.assertFalse(table.apply(1.0, config(4, keys=("old",))))
        self.assertFalse(table.apply(1.0, config(5, keys=("old",))))
        self.assertIsNone(table.account_for_key("old"))
        self.assertIsNotNone(table.account_for_key("new"))

    def test_a_removed_key_is_unknown(self) -> None:
        table = RoutingTable()
        table.apply(0.0, config(1, keys=("a", "b")))
        table.apply(1.0, config(2, keys=("b",)))
        self.assertIsNone(table.account_for_key("a"))
