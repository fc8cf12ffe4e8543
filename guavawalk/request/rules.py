"""What a workspace may name in its requests."""

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.version.types import Configuration, Model, Service, Tier, Workspace

__all__ = ["find_model", "find_service", "find_tier"]

SHOWN_CHARS = 40


def find_tier(configuration: Configuration, workspace: Workspace, name: str) -> Tier:
    """Return a tier by name, the workspace's default for an empty one.

    Raises
    ------
    RequestError
        `UNKNOWN_TIER` or `NOT_ALLOWED`.
    """
    name = name or workspace.default_tier
    if name not in configuration.tiers:
        raise RequestError(ResultCode.UNKNOWN_TIER, _found(name))
    if name not in workspace.tiers:
        raise RequestError(ResultCode.NOT_ALLOWED, f"tier {name!r}")
    return configuration.tiers[name]


def find_model(configuration: Configuration, workspace: Workspace, name: object) -> Model:
    """Return a model by name; `RequestError` with `UNKNOWN_MODEL` or `NOT_ALLOWED`."""
    if not isinstance(name, str) or name not in configuration.models:
        raise RequestError(ResultCode.UNKNOWN_MODEL, _found(name))
    if name not in workspace.models:
        raise RequestError(ResultCode.NOT_ALLOWED, f"model {name!r}")
    return configuration.models[name]


def find_service(configuration: Configuration, workspace: Workspace, name: str) -> Service:
    """Return a plain service; `RequestError` with `UNKNOWN_SERVICE` or `NOT_ALLOWED`."""
    if name not in configuration.services:
        raise RequestError(ResultCode.UNKNOWN_SERVICE, _found(name))
    if name not in workspace.services:
        raise RequestError(ResultCode.NOT_ALLOWED, f"service {name!r}")
    return configuration.services[name]


def _found(name: object) -> str:
    return f"found {str(name)[:SHOWN_CHARS]!r}"
