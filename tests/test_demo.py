"""Tests that the demos succeed, and that a failed step is reported."""

import importlib.util
import io
import os
import subprocess
import sys
from contextlib import redirect_stdout
from pathlib import Path
from types import ModuleType
from unittest import mock

import testtools

from standins.cluster import Cluster
from standins.deployment import Deployment

ROOT = Path(__file__).parents[1]
DEMO = ROOT / "script" / "demo.py"
FRONT_DEMO = ROOT / "script" / "demo_front.py"
DEMO_TIMEOUT_S = 60.0


def load_demo() -> ModuleType:
    spec = importlib.util.spec_from_file_location("demo", DEMO)
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    sys.modules["demo"] = module
    spec.loader.exec_module(module)
    return module


class DemoTest(testtools.TestCase):
    def run_demo(self, demo: Path) -> str:
        """Run a demo, require exit code 0 and return its output."""
        result = subprocess.run(
            [sys.executable, str(demo)],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=DEMO_TIMEOUT_S,
            check=False,
        )
        output = result.stdout + result.stderr
        self.assertEqual(0, result.returncode, output)
        return output

    def test_all_steps_succeed(self) -> None:
        output = self.run_demo(DEMO)
        self.assertIn("\nall came out right", output)
        self.assertNotIn("WRONG", output)

    def test_demo_on_the_emulated_platform(self) -> None:
        output = self.run_demo(FRONT_DEMO)
        self.assertIn("platform all came out right", output)

    def test_a_failed_step_ends_the_demo_with_an_error(self) -> None:
        module = load_demo()
        with Cluster() as cluster, redirect_stdout(io.StringIO()) as out:
            demo = module.Demo(
                cluster=cluster, deployment=Deployment(cluster=cluster)
            )
            failing_step = mock.Mock(
                side_effect=module.WrongError("not whole")
            )
            with mock.patch.object(module.Demo, "start", failing_step):
                self.assertFalse(demo.run())
            demo.print_table()
        self.assertEqual(1, len(demo.results))
        self.assertIn("WRONG: WrongError: not whole", out.getvalue())
        with (
            mock.patch.object(module.Demo, "run", return_value=False),
            mock.patch.object(module.Demo, "print_table"),
            redirect_stdout(io.StringIO()),
        ):
            self.assertEqual(1, module.main())
