"""Looks up the tier, model or service that a request names, if its workspace may use it."""

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.version.types import Configuration, Model, Service, Tier, Workspace

__all__ = ["find_model", "find_service", "find_tier"]

# Characters of an unknown name that an error shows.
MAX_NAME_CHARS_SHOWN = 40


def find_tier(configuration: Configuration, workspace: Workspace, name: str) -> Tier:
    """Return a tier by name, or the workspace's default for an empty name.

    Raises
    ------
    RequestError
        `UNKNOWN_TIER` if it is not configured, `NOT_ALLOWED` if the workspace may not use it.
    """
    name = name or workspace.default_tier
    if name not in configuration.tiers:
        raise RequestError(ResultCode.UNKNOWN_TIER, _found_text(name))
    if name not in workspace.tiers:
        raise RequestError(ResultCode.NOT_ALLOWED, f"tier {name!r}")
    return configuration.tiers[name]


def find_model(configuration: Configuration, workspace: Workspace, name: object) -> Model:
    """Return a model by name.

    Parameters
    ----------
    name : object
        Value from the request's body, of any type.

    Raises
    ------
    RequestError
        `UNKNOWN_MODEL` if it is no string or not configured, `NOT_ALLOWED` if the workspace may
        not use it.
    """
    if not isinstance(name, str) or name not in configuration.models:
        raise RequestError(ResultCode.UNKNOWN_MODEL, _found_text(name))
    if name not in workspace.models:
        raise RequestError(ResultCode.NOT_ALLOWED, f"model {name!r}")
    return configuration.models[name]


def find_service(configuration: Configuration, workspace: Workspace, name: str) -> Service:
    """Return a plain service by the first segment of its path.

    Raises
    ------
    RequestError
        `UNKNOWN_SERVICE` if it is not configured, `NOT_ALLOWED` if the workspace may not use it.
    """
    if name not in configuration.services:
        raise RequestError(ResultCode.UNKNOWN_SERVICE, _found_text(name))
    if name not in workspace.services:
        raise RequestError(ResultCode.NOT_ALLOWED, f"service {name!r}")
    return configuration.services[name]


def _found_text(name: object) -> str:
    return f"found {str(name)[:MAX_NAME_CHARS_SHOWN]!r}"
