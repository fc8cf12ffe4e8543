"""Reads files of JSON with comments into `NamedTuple` types and checks each field."""

from pathlib import Path
from typing import TypeVar, get_args, get_origin, get_type_hints

import json5
import msgspec

from guavawalk.exception import SettingsError

__all__ = ["build_checked", "read_json_object"]

T = TypeVar("T")


def read_json_object(path: Path) -> dict:
    """Read a file that holds one JSON object; JSON5 syntax is accepted.

    Raises
    ------
    SettingsError
        If the file can't be read, is not valid JSON5 or does not hold an object.
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
    """Build a `NamedTuple` from a JSON object and check the types of its fields.

    Parameters
    ----------
    source : str
        Name of the file, for error messages.
    path : str
        Path of the object in the document, for error messages; `$` is the document itself.
    document : object
        The decoded JSON value.
    kind : type
        The `NamedTuple` type; its nested `NamedTuple` fields are built in the same way.

    Raises
    ------
    SettingsError
        If a field is unknown, missing or of the wrong type; the error holds its path.
    """
    if not isinstance(document, dict):
        raise SettingsError(source, path, f"found {type(document).__name__}, allowed is an object")
    types = get_type_hints(kind)
    fields = {}
    for name, value in document.items():
        if name not in types:
            problem = f"unknown field; allowed are {', '.join(types)}"
            raise SettingsError(source, f"{path}.{name}", problem)
        fields[name] = _convert(source, f"{path}.{name}", value, types[name])
    for name in kind._fields:
        if name not in fields and name not in kind._field_defaults:
            raise SettingsError(source, f"{path}.{name}", "the field is missing")
    return kind(**fields)


def _convert(source: str, path: str, value: object, kind: type) -> object:
    if hasattr(kind, "_fields"):
        return build_checked(source, path, value, kind)
    item_type = get_args(kind)[0] if get_origin(kind) is tuple else None
    if hasattr(item_type, "_fields") and isinstance(value, list):
        items = enumerate(value)
        return tuple(build_checked(source, f"{path}[{i}]", v, item_type) for i, v in items)
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        shown = type(value).__name__ if _is_secret(path) else f"{value!r:.80}"
        raise SettingsError(source, path, f"found {shown}; {error}") from error


def _is_secret(path: str) -> bool:
    name = path.rpartition(".")[2]
    return "secret" in name or "digest" in name
