"""`waxwingctl contract`: apply, show, compare, list and remove."""

import argparse
import difflib
import uuid
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from waxwingarch.adapters.contract_check import hash_plain_key
from waxwingarch.adapters.contract_ini import parse_contract
from waxwingarch.const import EXIT_DIFFERS, EXIT_OK
from waxwingctl.context import Context
from waxwingctl.errors import InvalidInputError, NotFoundError
from waxwingctl.files import read_text
from waxwingctl.wait import async_wait_until_applied

CONTRACTS: Final = "/admin/contracts"
WAIT_TIMEOUT_S: Final = 15.0


def add_command(
    subparsers: Any, common_options: argparse.ArgumentParser
) -> None:
    """Add the subcommand and its arguments to the parser."""
    parser = subparsers.add_parser(
        "contract", help="manage the contracts of client accounts"
    )
    actions = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    apply = actions.add_parser(
        "apply",
        parents=[common_options],
        help="put contracts in force in a single change",
    )
    apply.add_argument("files", nargs="+", type=Path, metavar="FILE")
    _add_wait_options(apply)
    apply.set_defaults(run=async_apply)
    remove = actions.add_parser(
        "remove",
        parents=[common_options],
        help="remove the contract of an account",
    )
    remove.add_argument("account")
    _add_wait_options(remove)
    remove.set_defaults(run=async_remove)
    show = actions.add_parser(
        "show", parents=[common_options], help="print the contract in force"
    )
    show.add_argument("account")
    show.set_defaults(run=async_show)
    diff = actions.add_parser(
        "diff",
        parents=[common_options],
        help="compare a file with the contract in force",
    )
    diff.add_argument("file", type=Path)
    diff.set_defaults(run=async_diff)
    listing = actions.add_parser(
        "list", parents=[common_options], help="list the contracts in force"
    )
    listing.set_defaults(run=async_list)


def _add_wait_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until all live hosts have applied the change",
    )
    parser.add_argument(
        "--wait-s",
        type=float,
        default=WAIT_TIMEOUT_S,
        metavar="SECONDS",
        help="how long to wait (%(default)s)",
    )


async def async_apply(args: argparse.Namespace, context: Context) -> int:
    """Put contracts in force in a single change.

    Each contract is sent with the digest of its predecessor, so that the
    daemon refuses to overwrite a change by another operator.
    """
    texts = {str(path): _read_normalized(path) for path in args.files}
    in_force = await context.client.async_call("GET", CONTRACTS)
    digests = {c["account"]: c["digest"] for c in in_force["contracts"]}
    body = {
        "change_id": uuid.uuid4().hex,
        "contracts": [
            {
                "source": source,
                "text": text,
                "expected": digests.get(_parse_account(text, source), ""),
            }
            for source, text in texts.items()
        ],
    }
    return await _async_post_change(args, context, body)


async def async_remove(args: argparse.Namespace, context: Context) -> int:
    """Remove the contract of an account."""
    body = {"change_id": uuid.uuid4().hex, "removed": [args.account]}
    return await _async_post_change(args, context, body)


async def _async_post_change(
    args: argparse.Namespace, context: Context, body: Any
) -> int:
    result = await context.client.async_call("POST", CONTRACTS, body)
    for warning in result["warnings"]:
        context.output.print_progress(f"warning: {warning}")
    if args.wait:
        await async_wait_until_applied(
            context, result["revision"], args.wait_s
        )
    context.output.print_result(result, _change_summary(result, args.wait))
    return EXIT_OK


def _change_summary(result: Any, is_applied: bool) -> str:
    state = "in force" if is_applied else "written"
    changed = [f"{account} changed" for account in result["changed"]]
    removed = [f"{account} removed" for account in result["removed"]]
    changes = ", ".join(changed + removed)
    if not changes:
        return f"no change: revision {result['revision']} has it already"
    return f"revision {result['revision']} {state}: {changes}"


async def async_show(args: argparse.Namespace, context: Context) -> int:
    """Print the contract in force of an account."""
    data = await _async_contract(args.account, context)
    context.output.print_result(data, data["text"].rstrip())
    return EXIT_OK


async def async_diff(args: argparse.Namespace, context: Context) -> int:
    """Compare a file with the contract in force.

    Returns `EXIT_DIFFERS` where they differ.
    """
    text = _read_normalized(args.file)
    account = _parse_account(text, str(args.file))
    text_in_force = ""
    try:
        text_in_force = (await _async_contract(account, context))["text"]
    except NotFoundError:
        context.output.print_progress(f"{account} has no contract yet")
    lines = list(
        difflib.unified_diff(
            text_in_force.splitlines(),
            text.splitlines(),
            "in force",
            str(args.file),
            lineterm="",
        )
    )
    data = {"account": account, "differs": bool(lines), "diff": lines}
    context.output.print_result(data, "\n".join(lines) or "no difference")
    return EXIT_DIFFERS if lines else EXIT_OK


async def async_list(args: argparse.Namespace, context: Context) -> int:
    """List the contracts in force."""
    data = await context.client.async_call("GET", CONTRACTS)
    context.output.print_table(
        data,
        ("ACCOUNT", "PRIORITY", "RATE", "SHARE", "FIRST TOKEN S", "ROUTES"),
        [
            (
                contract["account"],
                contract.get("priority"),
                contract.get("rate"),
                contract.get("share"),
                contract.get("first_token_s"),
                contract.get("routes", contract.get("broken")),
            )
            for contract in data["contracts"]
        ],
    )
    return EXIT_OK


async def _async_contract(account: str, context: Context) -> Any:
    path = f"{CONTRACTS}/{quote(account, safe='')}"
    return await context.client.async_call("GET", path)


def _read_normalized(path: Path) -> str:
    """Return a contract's text as stored, with the key as a digest."""
    return hash_plain_key(read_text(path), str(path))


def _parse_account(text: str, source: str) -> str:
    try:
        return str(parse_contract(text, source).account)
    except ValueError as exc:
        raise InvalidInputError(f"{source}: {exc}") from exc
