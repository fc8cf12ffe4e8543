"""Authenticates the callers of the administration API and checks their roles."""

from collections.abc import Sequence
from typing import NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.admin_settings import ADMIN_ROLES, AdminKeySettings
from guavawalk.version.documents import digest_bytes

__all__ = ["AdminCaller", "find_caller", "require_all_workspaces", "require_role"]


class AdminCaller(NamedTuple):
    """An operator, authenticated by an administration key.

    Attributes
    ----------
    name : str
        Name of the key, for the audit log.
    role : str
        One of `ADMIN_ROLES`.
    workspaces : frozenset of str or None
        Workspaces that the key is limited to; None for all.
    """

    name: str
    role: str
    workspaces: frozenset[str] | None

    def may_see(self, workspace: str) -> bool:
        """Return whether the key gives access to a workspace."""
        return self.workspaces is None or workspace in self.workspaces


def find_caller(keys: Sequence[AdminKeySettings], authorization: str) -> AdminCaller:
    """Return the operator whose key is in an `Authorization` header.

    Raises
    ------
    RequestError
        `UNAUTHENTICATED` if the header holds no bearer token, or one that is not in `keys`.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise RequestError(ResultCode.UNAUTHENTICATED, "send Authorization: Bearer KEY")
    digest = digest_bytes(key.strip().encode())
    for key_settings in keys:
        if key_settings.key_digest == digest:
            scope = frozenset(key_settings.workspaces) if key_settings.workspaces else None
            return AdminCaller(key_settings.name, key_settings.role, scope)
    raise RequestError(ResultCode.UNAUTHENTICATED)


def require_role(caller: AdminCaller, role: str) -> None:
    """Raise `RequestError` with `NOT_ALLOWED` if a caller lacks the permissions of a role."""
    if ADMIN_ROLES.index(caller.role) < ADMIN_ROLES.index(role):
        raise RequestError(ResultCode.NOT_ALLOWED, f"the key's role is {caller.role}, not {role}")


def require_all_workspaces(caller: AdminCaller) -> None:
    """Raise `RequestError` with `NOT_ALLOWED` if a caller is limited to some workspaces."""
    if caller.workspaces is not None:
        raise RequestError(ResultCode.NOT_ALLOWED, "the key is limited to some workspaces")
