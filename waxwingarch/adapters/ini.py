"""Parsing of INI text into validated models, with detailed errors."""

from configparser import ConfigParser
from configparser import Error as IniError
from pathlib import Path
from typing import Annotated, Any, Final, TypeVar

from pydantic import AfterValidator, BaseModel, Field, ValidationError

from waxwingarch.exceptions import SettingsError

PYDANTIC_PREFIX: Final = "Value error, "
# Values of keys whose name contains this word are not shown in errors.
SECRET_KEY_PART: Final = "key"
# Repeated sections such as [route NAME] are one field of the model: its
# plural name, mapped here to the name in the file.
SECTION_OF_PLURAL: Final = {"routes": "route"}

Model = TypeVar("Model", bound=BaseModel)


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("want IP:PORT, as in 10.0.0.1:8080")
    return value


def _check_addresses(value: str) -> str:
    for part in value.split():
        _check_address(part)
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Addresses = Annotated[str, AfterValidator(_check_addresses)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]


def parse_ini(text: str, source: str) -> dict[str, dict[str, str]]:
    """Return the keys of each section by name; raises `SettingsError`.

    `source` names the file in error messages.
    """
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except IniError as exc:
        reason = str(exc).replace("\n", " ")
        raise SettingsError(f"{source}: not valid INI: {reason}") from exc
    return {name: dict(parser[name]) for name in parser.sections()}


def validate(model: type[Model], data: object, source: str) -> Model:
    """Validate parsed sections; raises `SettingsError`.

    The message has one line per error: file, section, key, the fault and
    what is allowed.
    """
    try:
        return model.model_validate(data)
    except ValidationError as exc:
        lines = [
            f"{source}: {_place(error['loc'])}: {_describe(model, error)}"
            for error in exc.errors()
        ]
        raise SettingsError("\n".join(lines)) from exc


def _place(loc: tuple[int | str, ...]) -> str:
    """Return an error location as "[section] key"."""
    section, *rest = [str(part) for part in loc] or ["file"]
    if section in SECTION_OF_PLURAL and rest:
        section = f"{SECTION_OF_PLURAL[section]} {rest.pop(0)}"
    key = ".".join(rest)
    return f"[{section}] {key}".rstrip()


def _describe(model: type[BaseModel], error: Any) -> str:
    """Return the fault and what is allowed instead."""
    loc, kind = error["loc"], error["type"]
    if kind == "missing":
        return "is missing; it is required"
    if kind == "extra_forbidden":
        known = ", ".join(_allowed_names(model, loc[:-1]))
        return f"is unknown; known here: {known}"
    fault = str(error["msg"]).removeprefix(PYDANTIC_PREFIX)
    shown = _redact(loc, error["input"])
    return f"{fault} (got {shown})" if shown else fault


def _allowed_names(
    model: type[BaseModel], loc: tuple[int | str, ...]
) -> tuple[str, ...]:
    """Return the section names, or the keys of the section at `loc`."""
    if not loc:
        names = tuple(model.model_fields)
        return tuple(
            f"{SECTION_OF_PLURAL[n]} NAME" if n in SECTION_OF_PLURAL else n
            for n in names
        )
    inner = model.model_fields[str(loc[0])].annotation
    if not isinstance(inner, type):
        inner = inner.__args__[-1] if inner else None
    return tuple(getattr(inner, "model_fields", ()))


def _redact(loc: tuple[int | str, ...], value: object) -> str:
    """Return a value for an error message, for a secret only its length."""
    if not isinstance(value, str):
        return ""
    if any(SECRET_KEY_PART in str(part) for part in loc):
        return f"{len(value)} characters"
    return repr(value)


def read_text(path: Path) -> str:
    """Read a settings file as UTF-8; raises `SettingsError`."""
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as exc:
        raise SettingsError(
            f"{path}: is not UTF-8 text ({exc.reason}); save it as UTF-8"
        ) from exc
    except OSError as exc:
        raise SettingsError(
            f"{path}: cannot be read ({exc.strerror}); name a settings file"
        ) from exc
