"""Packages whose names are imported when they are first used.

A process then loads only the modules that it runs, which decides how soon it serves after a start.
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
        Name of the package.
    exports : mapping
        Public names of each of its modules.

    Examples
    --------
    >>> find, names, public = attach_exports("json", {"decoder": ["JSONDecoder"]})
    >>> find("JSONDecoder").__name__
    'JSONDecoder'
    >>> public
    ['JSONDecoder']
    """
    module_of = {name: module for module, names in exports.items() for name in names}

    def find(name: str) -> Any:
        if name in module_of:
            return getattr(import_module(f"{package}.{module_of[name]}"), name)
        if name in exports:
            return import_module(f"{package}.{name}")
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    def names() -> list[str]:
        return sorted([*module_of, *exports])

    return find, names, sorted(module_of)
