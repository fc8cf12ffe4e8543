"""Lazy exports of a package: a module is imported on the first access to one of its names.

A process then imports only the modules that it runs, which shortens its start.
"""

from collections.abc import Callable, Mapping, Sequence
from importlib import import_module
from typing import Any

__all__ = ["attach_exports"]


def attach_exports(
    package: str, exports: Mapping[str, Sequence[str]]
) -> tuple[Callable[[str], Any], Callable[[], list[str]], list[str]]:
    """Return a package's `__getattr__`, `__dir__` and `__all__`.

    Parameters
    ----------
    package : str
        Full name of the package.
    exports : mapping
        Public names of each of its modules, by the module's name within the package.

    Returns
    -------
    get_attribute : callable
        Returns an exported name or a listed module; raises AttributeError for others.
    list_names : callable
        Returns the exported names and the listed modules, sorted.
    public_names : list of str
        The exported names, sorted.

    Examples
    --------
    >>> get_attribute, list_names, public_names = attach_exports(
    ...     "json", {"decoder": ["JSONDecoder"]}
    ... )
    >>> get_attribute("JSONDecoder").__name__
    'JSONDecoder'
    >>> public_names
    ['JSONDecoder']
    """
    module_of = {name: module for module, names in exports.items() for name in names}

    def get_attribute(name: str) -> Any:
        if name in module_of:
            return getattr(import_module(f"{package}.{module_of[name]}"), name)
        if name in exports:
            return import_module(f"{package}.{name}")
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    def list_names() -> list[str]:
        return sorted([*module_of, *exports])

    return get_attribute, list_names, sorted(module_of)
