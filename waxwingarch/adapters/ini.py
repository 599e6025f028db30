"""Reading INI text into validated models, with errors that help."""

from configparser import ConfigParser
from configparser import Error as IniError
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from waxwingarch.exceptions import SettingsError

Model = TypeVar("Model", bound=BaseModel)


def parse_ini(text: str, source: str) -> dict[str, dict[str, str]]:
    """Return sections by name; raises `SettingsError`.

    `source` names the file in messages.
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

    The message gives file, section, key, what was wrong and what is
    allowed, one line a mistake.
    """
    try:
        return model.model_validate(data)
    except ValidationError as exc:
        lines = [
            f"{source}: {_place(error['loc'])}: {error['msg']}"
            f" (got {error['input']!r})"
            for error in exc.errors()
        ]
        raise SettingsError("\n".join(lines)) from exc


def _place(loc: tuple[int | str, ...]) -> str:
    section, *rest = [str(part) for part in loc] or ["file"]
    key = ".".join(rest)
    return f"[{section}] {key}".rstrip()
