"""Tests that the mutation runs name code and tests that exist."""

from pathlib import Path

import testtools

from script.red_front import FRONT_MUTATIONS
from script.red_runs import MUTATIONS

ROOT = Path(__file__).resolve().parent.parent


class MutationRuns(testtools.TestCase):
    # Guards against a promise whose guard is no longer shown to be tested, as
    # its code has moved.
    def test_each_names_one_place_and_a_test(self) -> None:
        for mutation in (*MUTATIONS, *FRONT_MUTATIONS):
            with self.subTest(mutation.promise, path=mutation.path):
                text = (ROOT / mutation.path).read_text()
                self.assertEqual(1, text.count(mutation.old), mutation.old)
                test = ROOT / mutation.test.partition("::")[0]
                self.assertTrue(test.exists(), mutation.test)
