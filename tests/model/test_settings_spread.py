"""Checks of the settings specification, and of broken variants."""

from typing import Any

import testtools

from model.settings_spread import check
from waxwingarch.core.cluster.configsync import Basis


def steps(result: dict[str, Any], name: str) -> list[str]:
    found = result["properties"][name]
    assert found["holds"] is False, f"{name} is not refuted"
    return [step["label"] for step in found["counterexample"][1:]]


def any_other(candidate: int, applied: int) -> bool:
    return candidate != applied


def without_basis(basis: Basis, applied: int, wanted: int, peers: int) -> bool:
    return applied >= peers


def with_any_basis(
    basis: Basis, applied: int, wanted: int, peers: int
) -> bool:
    return basis is not Basis.NONE


class TestSettingsSpreadModel(testtools.TestCase):
    def test_rules_of_the_core_hold(self) -> None:
        result = check()
        self.assertTrue(result["exhaustive"])
        for found in result["properties"].values():
            self.assertTrue(found["holds"])

    def test_applying_any_other_revision_reverts(self) -> None:
        self.assertEqual(
            ["edit", "read 0", "read 0"],
            steps(check(newer=any_other), "never_reverts"),
        )

    def test_serving_without_basis_or_wanted_revision(self) -> None:
        name = "serves_what_it_should_know"
        self.assertEqual(["serve 0"], steps(check(serves=without_basis), name))
        self.assertEqual(
            ["poll 0", "serve 0"], steps(check(serves=with_any_basis), name)
        )
