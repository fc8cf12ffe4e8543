"""Packages with lazy exports list exactly the names that their modules export."""

import importlib
import pkgutil
import subprocess
import sys

import pytest

PACKAGES = [
    "guavawalk.connection",
    "guavawalk.platform",
    "guavawalk.process.observe",
    "guavawalk.request",
    "guavawalk.version",
]


class TestExports:
    @pytest.mark.parametrize("name", PACKAGES)
    def test_exports_are_the_public_names_of_all_modules(self, name):
        package = importlib.import_module(name)
        found = {}
        for module in pkgutil.iter_modules(package.__path__):
            if not module.ispkg:
                loaded = importlib.import_module(f"{name}.{module.name}")
                found.update(dict.fromkeys(loaded.__all__, loaded))
        assert sorted(found) == package.__all__
        for public, loaded in found.items():
            assert getattr(package, public) is getattr(loaded, public)

    def test_unknown_name_raises_attribute_error(self):
        with pytest.raises(AttributeError):
            importlib.import_module("guavawalk.connection").nothing

    def test_a_gateway_loads_none_of_the_libraries_that_it_does_not_run(self):
        loaded = modules_after_import("guavawalk.process.gateway_daemon")
        assert not loaded & {"httpcore", "uvicorn", "starlette", "thrift", "cyclopts", "h11"}

    @pytest.mark.parametrize("role", ["entry", "gateway", "sidecar"])
    def test_no_daemon_imports_the_tools(self, role):
        loaded = modules_after_import(f"guavawalk.process.{role}_daemon")
        assert not {name for name in loaded if name.startswith("guavawalk.tools")}


def modules_after_import(name):
    """Return the modules that a new interpreter has loaded after an import."""
    code = f"import {name}, sys; print(*sys.modules)"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return set(found.stdout.split())
