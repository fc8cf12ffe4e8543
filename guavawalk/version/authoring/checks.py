"""Checks of the single values that operators pass to a draft.

Each check raises `ConfigurationError` with the path of the field, what was found and what is
allowed.
"""

import ipaddress
import math
import re
from collections.abc import Iterable, Mapping
from typing import TypeVar

from guavawalk.exception import ConfigurationError
from guavawalk.version.documents import digest_bytes

__all__ = [
    "check_address",
    "check_at_least",
    "check_count",
    "check_fraction",
    "check_known",
    "check_name",
    "check_strings",
    "digest_keys",
    "names_of",
]

T = TypeVar("T")

MAX_NAME_CHARS = 64
MAX_PORT = 65_535
# Largest integer up to which a double-precision number, as in JSON readers, is exact.
MAX_COUNT = 2**53
DIGEST_PATTERN = re.compile("[0-9a-f]{64}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")


def check_name(kind: str, name: str, used: Mapping[str, object]) -> str:
    """Check that a name is well formed and not used yet; return the path of its item.

    Raises
    ------
    ConfigurationError
        If the name is used, too long, or has a character that is not safe in metrics and URLs.
    """
    if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name) or len(name) > MAX_NAME_CHARS:
        problem = f"found {name!r:.80}, allowed are up to {MAX_NAME_CHARS} of A-Z a-z 0-9 _ -"
        raise ConfigurationError(f"{kind}.name", problem)
    field_path = f"{kind}.{name}"
    if name in used:
        raise ConfigurationError(field_path, "the name is used twice")
    return field_path


def check_at_least(field_path: str, value: float, lowest: float, exclusive: bool = False) -> None:
    """Check that a number is finite and at least `lowest`, or above it if `exclusive`."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    allowed = f"more than {lowest}" if exclusive else f"{lowest} or more"
    if not is_number or not math.isfinite(value) or value < lowest:
        raise ConfigurationError(field_path, f"found {value!r:.80}, allowed is {allowed}")
    if exclusive and value == lowest:
        raise ConfigurationError(field_path, f"found {value!r}, allowed is {allowed}")


def check_count(field_path: str, value: int, lowest: int) -> None:
    """Check that a value is an integer from `lowest` to `MAX_COUNT`."""
    if not isinstance(value, int) or isinstance(value, bool) or not lowest <= value <= MAX_COUNT:
        problem = f"found {value!r:.80}, allowed is an integer of {lowest} or more"
        raise ConfigurationError(field_path, problem)


def check_strings(field_path: str, items: Iterable[str]) -> tuple[str, ...]:
    """Return strings as a tuple, after a check that each is a string that is not empty.

    A single string in place of an iterable of strings is refused.
    """
    strings = () if isinstance(items, str) else tuple(items)
    if isinstance(items, str) or not all(isinstance(item, str) and item for item in strings):
        raise ConfigurationError(
            field_path, f"found {items!r:.80}, allowed is a list of strings that are not empty"
        )
    return strings


def check_fraction(field_path: str, value: float) -> None:
    """Check that a number is in the range from 0 to 1."""
    check_at_least(field_path, value, 0)
    if value > 1:
        raise ConfigurationError(field_path, f"found {value!r}, allowed is 0 to 1")


def check_address(field_path: str, address: str) -> None:
    """Check that an address is `IP:port`, with a numeric IP and a port of 1 to 65535."""
    host, _, port = str(address).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_valid = port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ConfigurationError(field_path, f"found {address!r:.80}, allowed is IP:port")


def check_known(
    field_path: str, items: Iterable[T], known: Mapping[str, T], field: str = "name"
) -> None:
    """Check that each item is equal to the one that the draft has under its name."""
    for item in items:
        name = getattr(item, field, item)
        if not isinstance(name, str) or known.get(name) != item:
            raise ConfigurationError(field_path, f"found {name!r:.80}, which is not defined")


def names_of(items: Iterable[T], field: str = "name") -> tuple[str, ...]:
    """Return the names of items; an item without the field gives its `str` as the name."""
    return tuple(getattr(item, field, str(item)) for item in items)


def digest_keys(field_path: str, keys: Iterable[str], digests: Iterable[str]) -> tuple[str, ...]:
    """Return the digests of keys, followed by those given as digests.

    Error messages contain neither keys nor digests.
    """
    all_digests = [
        _digest_key(f"{field_path}.keys", key) for key in _reject_string(f"{field_path}.keys", keys)
    ]
    for digest in _reject_string(f"{field_path}.key_digests", digests):
        if not isinstance(digest, str) or not DIGEST_PATTERN.fullmatch(digest):
            problem = f"found {len(str(digest))} characters, allowed are 64 hex digits"
            raise ConfigurationError(f"{field_path}.key_digests", problem)
        all_digests.append(digest)
    return tuple(all_digests)


def _reject_string(field_path: str, items: Iterable[str]) -> Iterable[str]:
    if isinstance(items, str):
        raise ConfigurationError(field_path, "found a single string, allowed is a list of strings")
    return items


def _digest_key(field_path: str, key: str) -> str:
    if not isinstance(key, str) or not key.strip() or key != key.strip():
        raise ConfigurationError(
            field_path,
            "found a bad key, allowed is a string without leading or trailing spaces, not empty",
        )
    return digest_bytes(key.encode())
