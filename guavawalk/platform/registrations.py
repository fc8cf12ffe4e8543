"""Decodes the targets' entries in the platform's store into registrations."""

import ipaddress
from typing import Any

import msgspec.json

from guavawalk.exception import RegistrationInvalid
from guavawalk.version.registrations import Registration

__all__ = ["REGISTRATION_PREFIX", "decode_registration"]

REGISTRATION_PREFIX = "servers/"
# Whether a target drains, by the state in its entry.
DRAINING_BY_STATE = {"ready": False, "draining": True}
# Largest capacity, warm-up time in milliseconds and start in Unix milliseconds of an entry that can
# be a target's own; other gateways and the metrics get them too.
MAX_SLOTS = 1_000_000
MAX_WARMUP_MS = 86_400_000
MAX_STARTED_AT_MS = 2**53
# Longest key that the store takes, and longest name, in characters.
MAX_NAME_LENGTH = 200


def decode_registration(key: str, content: bytes) -> Registration:
    """Decode a target's entry.

    A warm-up time or a start time that is absent is decoded as 0.

    Parameters
    ----------
    key : str
        Key of the entry in the store: `REGISTRATION_PREFIX` and the target's id.
    content : bytes
        JSON object.

    Raises
    ------
    RegistrationInvalid
        If the content is not a JSON object, a required field is missing, a field has a wrong type
        or value, or the state is unknown. No other error is raised, whatever the entry holds.
    """
    try:
        row = msgspec.json.decode(content)
        return Registration(
            target_id=_target_id(key),
            service=_text(row, "service"),
            address=_address(row),
            data_centre=_text(row, "zone"),
            slots=_integer(row, "capacity", MAX_SLOTS),
            draining=DRAINING_BY_STATE[_text(row, "state")],
            warmup_left_s=(
                _integer(row, "warmupLeftMs", MAX_WARMUP_MS) / 1000
                if "warmupLeftMs" in row
                else 0.0
            ),
            started_at_ms=_integer(row, "born", MAX_STARTED_AT_MS) if "born" in row else 0,
        )
    except Exception as error:
        # Others write here too: no kind of error may end the task that reads the entries.
        raise RegistrationInvalid(key, f"{type(error).__name__}: {error}") from error


def _target_id(key: str) -> str:
    # It is sent to the target in a header.
    target_id = key.removeprefix(REGISTRATION_PREFIX)
    if not target_id.isascii() or not target_id.isprintable() or " " in target_id:
        raise ValueError("the key has characters other than visible ASCII")
    if not 0 < len(target_id) <= MAX_NAME_LENGTH:
        raise ValueError(f"the id has {len(target_id)} characters")
    return target_id


def _text(row: dict[str, Any], name: str) -> str:
    value = row[name]
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise TypeError(f"{name}: found {value!r:.40}, allowed is a non-empty string")
    if not value.isprintable():
        raise ValueError(f"{name}: found {value!r:.40}, allowed are printable characters")
    return value


def _integer(row: dict[str, Any], name: str, maximum: int) -> int:
    value = row[name]
    if type(value) is not int or not 0 <= value <= maximum:
        raise TypeError(f"{name}: found {value!r:.40}, allowed is an integer from 0 to {maximum}")
    return value


def _address(row: dict[str, Any]) -> str:
    address = _text(row, "address")
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"address: found {address!r:.40}, allowed is IP:port")
    return address
