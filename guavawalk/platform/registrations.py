"""Decodes the targets' entries in the platform's store into registrations."""

from typing import Any

import msgspec
import msgspec.json

from guavawalk.exception import RegistrationInvalid
from guavawalk.version.registrations import Registration

__all__ = ["REGISTRATION_PREFIX", "decode_registration"]

REGISTRATION_PREFIX = "servers/"
# Whether a target drains, by the state in its entry.
DRAINING_BY_STATE = {"ready": False, "draining": True}


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
        or value, or the state is unknown.
    """
    try:
        row = msgspec.json.decode(content)
        return Registration(
            target_id=key.removeprefix(REGISTRATION_PREFIX),
            service=_text(row, "service"),
            address=_address(row),
            data_centre=_text(row, "zone"),
            slots=_non_negative_int(row, "capacity"),
            draining=DRAINING_BY_STATE[_text(row, "state")],
            warmup_left_s=(
                _non_negative_int(row, "warmupLeftMs") / 1000 if "warmupLeftMs" in row else 0.0
            ),
            started_at_ms=_non_negative_int(row, "born") if "born" in row else 0,
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise RegistrationInvalid(key, f"{type(error).__name__}: {error}") from error


def _text(row: dict[str, Any], name: str) -> str:
    value = row[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name}: found {value!r:.40}, allowed is a non-empty string")
    return value


def _non_negative_int(row: dict[str, Any], name: str) -> int:
    value = row[name]
    if type(value) is not int or value < 0:
        raise TypeError(f"{name}: found {value!r:.40}, allowed is an integer from 0")
    return value


def _address(row: dict[str, Any]) -> str:
    address = _text(row, "address")
    host, _, port = address.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"address: found {address!r:.40}, allowed is host:port")
    return address
