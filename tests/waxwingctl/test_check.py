"""Tests of the offline checks on the examples and on edited copies."""

import tempfile
from pathlib import Path

import testtools

from tests.waxwingctl.helpers import CtlResult, run_ctl
from waxwingarch.const import EXIT_OK, EXIT_SETTINGS, EXIT_USAGE

EXAMPLES = Path(__file__).parents[2] / "examples"
FILE_COUNTS = {"hanoi": (8, 5), "almaty": (9, 5)}


def example_files(deployment: str) -> list[str]:
    return [str(p) for p in sorted((EXAMPLES / deployment).glob("*/*.ini"))]


class Examples(testtools.TestCase):
    def test_all_are_valid(self) -> None:
        for deployment, (hosts, contracts) in FILE_COUNTS.items():
            files = example_files(deployment)
            self.assertEqual(hosts + contracts, len(files))
            servers = EXAMPLES / deployment / "platform-hosts.json"
            result = run_ctl(
                "check",
                *files,
                "--deployment",
                deployment,
                "--servers",
                str(servers),
            )
            self.assertEqual(EXIT_OK, result.code, result.err)

    def test_mixed_deployments_are_refused(self) -> None:
        almaty = example_files("almaty")
        result = run_ctl("check", *example_files("hanoi"), *almaty)
        self.assertEqual(EXIT_SETTINGS, result.code)
        for path in almaty:
            self.assertIn(path, result.err)
        refusals = result.err.count("deployment: is almaty; want hanoi")
        self.assertEqual(len(almaty), refusals)


class BrokenFiles(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.contracts = sorted((EXAMPLES / "hanoi/contracts").glob("*.ini"))
        self.hosts = sorted((EXAMPLES / "hanoi/hosts").glob("*.ini"))

    def check_edited_copy(
        self, path: Path, old: str, new: str, *others: str
    ) -> CtlResult:
        text = path.read_text()
        self.assertIn(old, text)
        copy = self.folder / "copy.ini"
        copy.write_text(text.replace(old, new))
        return run_ctl("check", str(copy), *others)

    def assert_refused(self, result: CtlResult, *parts: str) -> None:
        self.assertEqual(EXIT_SETTINGS, result.code, result.out)
        self.assertNotIn("Traceback", result.err)
        for part in parts:
            self.assertIn(part, result.err)

    def test_invalid_contracts(self) -> None:
        path = self.contracts[0]
        cases = [
            ("share = 0.35", "share = 1.2", "[limits] share", "less than or"),
            ("share = 0.35", "share = a", "[limits] share", "'a'"),
            ("rate = 60", "rte = 60", "[limits] rte", "known here: rate"),
            ("rate = 60", "", "[limits] rate", "is missing"),
            ("path = /v1/", "path = v1", "[route text] path", "'v1'"),
            ("[route text]", "[rout text]", "[rout text]", "route NAME"),
            ("first_token_ms = 1500", "first_token_ms = 5",
             "[latency] first_token_ms", "want 20 or more"),
            ("whole_answer_ms = 120000", "whole_answer_ms = 1000",
             "[latency]", "first_token_ms below whole_answer_ms"),
            ("[latency]", "latency", "not valid INI", "copy.ini"),
            ("[latency]", "[limits]", "not valid INI", "already exists"),
            ("[contract]", "[contracts]", "neither [host] nor [contract]",
             "begin"),
        ]  # fmt: skip
        for old, new, *parts in cases:
            self.assert_refused(self.check_edited_copy(path, old, new), *parts)

    def test_invalid_settings(self) -> None:
        path = self.hosts[0]
        cases = [
            ("http = 10.1.1.10:8080", "http = :80", "[listen] http",
             "IP:PORT"),
            ("host_id = hanoi-entry-1", "host_id = a b", "[host] host_id",
             "pattern"),
            ("peer_tcp = ", "peer_tpc = ", "[listen] peer_tpc", "known here"),
            ("[security]", "[host]", "not valid INI", "already exists"),
        ]  # fmt: skip
        for old, new, *parts in cases:
            self.assert_refused(self.check_edited_copy(path, old, new), *parts)

    def test_secrets_are_not_shown(self) -> None:
        path = self.hosts[0]
        result = self.check_edited_copy(
            path, "operator_key = ", "oprator_key = "
        )
        self.assert_refused(result, "oprator_key", "operator_key: is missing")
        self.assertNotIn("example-operator", result.err)
        self.assertNotIn("f0f0", result.err)
        result = self.check_edited_copy(path, "key = f0f0", "key = my-secret")
        self.assert_refused(result, "cluster_key: want hexadecimal digits")
        self.assertNotIn("my-secret", result.err)

    def test_conflicting_contracts(self) -> None:
        first = self.contracts[0]
        others = [str(path) for path in self.contracts[1:]]
        excess_share = self.check_edited_copy(
            first, "share = 0.35", "share = 0.5", *others
        )
        self.assert_refused(
            excess_share, "[limits] share: is 0.5", "add up to 1.1"
        )
        duplicate_account = self.check_edited_copy(
            first, "account", "account", str(first)
        )
        self.assert_refused(
            duplicate_account, "[contract] account", "has a contract in"
        )
        account = f"account = {first.stem}"
        same_key = self.check_edited_copy(
            first, account, "account = someone", str(first)
        )
        self.assert_refused(same_key, "[contract] key: is the key in")

    def test_unknown_service(self) -> None:
        servers = str(EXAMPLES / "hanoi/platform-hosts.json")
        result = self.check_edited_copy(
            self.contracts[0],
            "service = drive-ledger",
            "service = drive-legder",
            "--servers",
            servers,
        )
        self.assert_refused(
            result,
            "[route /ledger/] service: drive-legder",
            "known services: drive-ledger, waxwing-pool",
        )

    def test_conflicting_hosts(self) -> None:
        first, others = self.hosts[0], [str(p) for p in self.hosts[1:]]
        duplicate_host_id = self.check_edited_copy(
            first, "entry-1", "entry-2", *others
        )
        self.assert_refused(
            duplicate_host_id, "[host] host_id: hanoi-entry-2 is in"
        )
        duplicate_address = self.check_edited_copy(
            first, "10.1.1.10:", "10.1.2.11:", *others
        )
        self.assert_refused(
            duplicate_address, "[listen] peer_udp", "is used by"
        )
        other_cluster_key = self.check_edited_copy(
            first, "f0f0", "0f0f", *others
        )
        self.assert_refused(
            other_cluster_key, "[security] cluster_key: differs from"
        )

    def test_expected_deployment_differs(self) -> None:
        result = run_ctl("check", str(self.hosts[0]), "--deployment", "almaty")
        self.assert_refused(result, "[host] deployment: is hanoi; want almaty")

    def test_unreadable_and_empty_files(self) -> None:
        binary = self.folder / "binary.ini"
        binary.write_bytes(b"\xff\xfe[host]")
        empty = self.folder / "empty.ini"
        empty.write_text("")
        for path in (binary, empty, self.folder, self.folder / "missing.ini"):
            self.assert_refused(run_ctl("check", str(path)), path.name)
        bad_list = run_ctl(
            "check", str(self.contracts[0]), "--servers", str(empty)
        )
        self.assert_refused(bad_list, "no hosts list")
        self.assertEqual(EXIT_USAGE, run_ctl("check").code)
