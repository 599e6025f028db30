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
from waxwingctl.errors import RefusedError, UnknownNameError
from waxwingctl.files import read_text
from waxwingctl.wait import async_wait_in_force

CONTRACTS: Final = "/admin/contracts"
WAIT_LIMIT_S: Final = 15.0


def add_to(subparsers: Any, shared: argparse.ArgumentParser) -> None:
    """Add the command."""
    parser = subparsers.add_parser(
        "contract", help="the contracts of client accounts"
    )
    actions = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    apply = actions.add_parser(
        "apply", parents=[shared], help="put contracts in force, as one"
    )
    apply.add_argument("files", nargs="+", type=Path, metavar="FILE")
    _add_wait(apply)
    apply.set_defaults(run=async_apply)
    remove = actions.add_parser(
        "remove", parents=[shared], help="end the contract of an account"
    )
    remove.add_argument("account")
    _add_wait(remove)
    remove.set_defaults(run=async_remove)
    show = actions.add_parser(
        "show", parents=[shared], help="print the contract in force"
    )
    show.add_argument("account")
    show.set_defaults(run=async_show)
    diff = actions.add_parser(
        "diff", parents=[shared], help="compare a file with what is in force"
    )
    diff.add_argument("file", type=Path)
    diff.set_defaults(run=async_diff)
    listing = actions.add_parser(
        "list", parents=[shared], help="list the contracts in force"
    )
    listing.set_defaults(run=async_list)


def _add_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until all live hosts have it in force",
    )
    parser.add_argument(
        "--wait-s",
        type=float,
        default=WAIT_LIMIT_S,
        metavar="SECONDS",
        help="how long to wait (%(default)s)",
    )


async def async_apply(args: argparse.Namespace, context: Context) -> int:
    """Put contracts in force."""
    texts = {str(path): _normal_text(path) for path in args.files}
    in_force = await context.client.async_call("GET", CONTRACTS)
    digests = {c["account"]: c["digest"] for c in in_force["contracts"]}
    body = {
        "change_id": uuid.uuid4().hex,
        "contracts": [
            {
                "source": source,
                "text": text,
                "expected": digests.get(_account(text, source), ""),
            }
            for source, text in texts.items()
        ],
    }
    return await _async_write(args, context, body)


async def async_remove(args: argparse.Namespace, context: Context) -> int:
    """End a contract."""
    body = {"change_id": uuid.uuid4().hex, "removed": [args.account]}
    return await _async_write(args, context, body)


async def _async_write(
    args: argparse.Namespace, context: Context, body: Any
) -> int:
    result = await context.client.async_call("POST", CONTRACTS, body)
    for warning in result["warnings"]:
        context.output.progress(f"warning: {warning}")
    if args.wait:
        await async_wait_in_force(context, result["revision"], args.wait_s)
    context.output.result(result, _told(result, args.wait))
    return EXIT_OK


def _told(result: Any, waited: bool) -> str:
    state = "in force" if waited else "written"
    changed = [f"{account} changed" for account in result["changed"]]
    removed = [f"{account} removed" for account in result["removed"]]
    what = ", ".join(changed + removed)
    if not what:
        return f"no change: revision {result['revision']} has it already"
    return f"revision {result['revision']} {state}: {what}"


async def async_show(args: argparse.Namespace, context: Context) -> int:
    """Print a contract."""
    data = await _async_contract(args.account, context)
    context.output.result(data, data["text"].rstrip())
    return EXIT_OK


async def async_diff(args: argparse.Namespace, context: Context) -> int:
    """Compare a file with what is in force; 10 where they differ."""
    text = _normal_text(args.file)
    account = _account(text, str(args.file))
    present = ""
    try:
        present = (await _async_contract(account, context))["text"]
    except UnknownNameError:
        context.output.progress(f"{account} has no contract yet")
    lines = list(
        difflib.unified_diff(
            present.splitlines(),
            text.splitlines(),
            "in force",
            str(args.file),
            lineterm="",
        )
    )
    data = {"account": account, "differs": bool(lines), "diff": lines}
    context.output.result(data, "\n".join(lines) or "no difference")
    return EXIT_DIFFERS if lines else EXIT_OK


async def async_list(args: argparse.Namespace, context: Context) -> int:
    """List the contracts."""
    data = await context.client.async_call("GET", CONTRACTS)
    context.output.rows(
        data,
        ("ACCOUNT", "PRIORITY", "RATE", "SHARE", "FIRST TOKEN S", "ROUTES"),
        [
            (
                one["account"],
                one.get("priority"),
                one.get("rate"),
                one.get("share"),
                one.get("first_token_s"),
                one.get("routes", one.get("broken")),
            )
            for one in data["contracts"]
        ],
    )
    return EXIT_OK


async def _async_contract(account: str, context: Context) -> Any:
    path = f"{CONTRACTS}/{quote(account, safe='')}"
    return await context.client.async_call("GET", path)


def _normal_text(path: Path) -> str:
    """Return a contract's text as it is stored, without the plain key."""
    return hash_plain_key(read_text(path), str(path))


def _account(text: str, source: str) -> str:
    try:
        return str(parse_contract(text, source).account)
    except ValueError as exc:
        raise RefusedError(f"{source}: {exc}") from exc
