"""Tests that the documentation covers commands, codes and refusals."""

import argparse
import re
from pathlib import Path

import testtools

from waxwingarch import const
from waxwingarch.adapters.caller_api import REFUSAL_STATUS
from waxwingarch.core.refusal import RefusalReason
from waxwingctl.parser import build_parser

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#:]+)(#[^)]*)?\)")


def command_names(
    parser: argparse.ArgumentParser, prefix: str = ""
) -> list[str]:
    """Return all command names; nested ones as "group action"."""
    names: list[str] = []
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, subparser in action.choices.items():
                nested = command_names(subparser, f"{prefix}{name} ")
                names += nested or [f"{prefix}{name}"]
    return names


class DocumentationPages(testtools.TestCase):
    def test_every_refusal_reason_is_documented(self) -> None:
        text = (DOCS / "operators/errors.md").read_text()
        for reason in RefusalReason:
            row = f"| `{reason.value}` | {REFUSAL_STATUS[reason]} |"
            self.assertIn(row, text)

    def test_every_exit_code_is_documented(self) -> None:
        text = (DOCS / "operators/errors.md").read_text()
        codes = [
            code for name, code in vars(const).items() if name[:5] == "EXIT_"
        ]
        self.assertEqual(len(codes), len(set(codes)))
        for code in codes:
            self.assertIn(f"\n| {code} | ", text)

    def test_every_command_is_documented(self) -> None:
        text = (DOCS / "operators/command-line.md").read_text()
        commands = command_names(build_parser())
        self.assertIn("move take-back", commands)
        for command in commands:
            self.assertIn(f"`{command}", text)

    def test_relative_links_resolve(self) -> None:
        pages = [ROOT / "README.md", *ROOT.glob("examples/*.md")]
        pages += DOCS.rglob("*.md")
        for page in pages:
            for target, _ in LINK.findall(page.read_text()):
                self.assertTrue((page.parent / target).exists(), target)
