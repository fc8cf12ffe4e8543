"""Files of JSON with comments, read into `NamedTuple` types field by field."""

from pathlib import Path
from typing import TypeVar, get_args, get_origin, get_type_hints

import json5
import msgspec

from guavawalk.exception import SettingsError

__all__ = ["build_checked", "read_json_object"]

T = TypeVar("T")


def read_json_object(path: Path) -> dict:
    """Read a file whose document is an object.

    Raises
    ------
    SettingsError
        If it can't be read or is something else.
    """
    source = str(path)
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(source, "$", str(error)) from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(source, "$", f"not JSON with comments: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(source, "$", f"found {type(document).__name__}, allowed is an object")
    return document


def build_checked(source: str, path: str, document: object, kind: type[T]) -> T:
    """Build a `NamedTuple` from an object, with the types of its fields checked.

    Parameters
    ----------
    source : str
        File, for errors.
    path : str
        Path of the object in the document, for errors.

    Raises
    ------
    SettingsError
        For an unknown or missing field or a value of another type, with its path.
    """
    if not isinstance(document, dict):
        raise SettingsError(source, path, f"found {type(document).__name__}, allowed is an object")
    parts = get_type_hints(kind)
    fields = {}
    for name, value in document.items():
        if name not in parts:
            problem = f"unknown field; allowed are {', '.join(parts)}"
            raise SettingsError(source, f"{path}.{name}", problem)
        fields[name] = _convert(source, f"{path}.{name}", value, parts[name])
    for name in kind._fields:
        if name not in fields and name not in kind._field_defaults:
            raise SettingsError(source, f"{path}.{name}", "the field is missing")
    return kind(**fields)


def _convert(source: str, path: str, value: object, part: type) -> object:
    if hasattr(part, "_fields"):
        return build_checked(source, path, value, part)
    item = get_args(part)[0] if get_origin(part) is tuple else None
    if hasattr(item, "_fields") and isinstance(value, list):
        places = enumerate(value)
        return tuple(build_checked(source, f"{path}[{i}]", v, item) for i, v in places)
    try:
        return msgspec.convert(value, part)
    except msgspec.ValidationError as error:
        shown = type(value).__name__ if _is_secret(path) else f"{value!r:.80}"
        raise SettingsError(source, path, f"found {shown}; {error}") from error


def _is_secret(path: str) -> bool:
    name = path.rpartition(".")[2]
    return "secret" in name or "digest" in name
