"""Settings of the administration API, which all kinds of processes share."""

import re
from typing import NamedTuple

from guavawalk.exception import SettingsError

__all__ = ["ADMIN_ROLES", "AdminKeySettings", "check_admin_keys"]

# Roles of administration keys; each includes the permissions of those before it.
ADMIN_ROLES = ("read", "operate")
DIGEST_PATTERN = re.compile("[0-9a-f]{64}")


class AdminKeySettings(NamedTuple):
    """A key of the administration API.

    Attributes
    ----------
    name : str
        Name of the holder, for the audit log.
    key_digest : str
        BLAKE2b-256 digest of the key, 64 lower-case hexadecimal digits.
    role : str
        `read` or `operate`.
    workspaces : tuple of str
        Workspaces that the key is limited to; empty for all.
    """

    name: str
    key_digest: str
    role: str = "read"
    workspaces: tuple[str, ...] = ()


def check_admin_keys(source: str, listen: str, keys: tuple[AdminKeySettings, ...]) -> None:
    """Check the keys of the administration API.

    Parameters
    ----------
    source : str
        Name of the settings file, for error messages.
    listen : str
        Address of the API; empty if it is off.

    Raises
    ------
    SettingsError
        If there is an address and no key, a digest is invalid or occurs twice, or a role is not
        known.
    """
    if listen and not keys:
        raise SettingsError(
            source, "$.admin_keys", "found no key; at least one is required with admin_listen"
        )
    digests = set()
    for index, key in enumerate(keys):
        path = f"$.admin_keys[{index}]"
        if not DIGEST_PATTERN.fullmatch(key.key_digest):
            problem = f"found {len(key.key_digest)} characters, allowed are 64 hex digits"
            raise SettingsError(source, f"{path}.key_digest", problem)
        if key.key_digest in digests:
            raise SettingsError(
                source, f"{path}.key_digest", "duplicate key; each digest is allowed once"
            )
        digests.add(key.key_digest)
        if key.role not in ADMIN_ROLES:
            problem = f"found {key.role!r:.80}, allowed is {' or '.join(ADMIN_ROLES)}"
            raise SettingsError(source, f"{path}.role", problem)
