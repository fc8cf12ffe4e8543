"""`guavawalk admin`: a client of the administration API."""

import json
import os
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import anyio
import httpcore
from cyclopts import App, Parameter
from rich.console import Console

from guavawalk.exception import AdminError
from guavawalk.process.admin.client import create_admin_client
from guavawalk.tools.commands.documents import document_tables
from guavawalk.version.documents import digest_bytes

__all__ = ["KEY_VARIABLE", "KeyFile", "admin_app", "read_key"]

KEY_VARIABLE = "GUAVAWALK_ADMIN_KEY"

admin_app = App(name="admin", help="See and steer one process by its administration API.")

AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]
KeyFile = Annotated[
    Path | None, Parameter(name="--key-file", help=f"File with the key; else {KEY_VARIABLE}.")
]


def read_key(key_file: Path | None) -> str:
    """Return the operator's key from a file or the environment, never from the command line."""
    if key_file is None:
        key = os.environ.get(KEY_VARIABLE, "")
    else:
        try:
            key = key_file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise AdminError(f"{key_file}: can't be read") from error
    key = key.strip()
    if not key or not key.isascii() or not key.isprintable():
        raise AdminError(f"no usable key: give --key-file or set {KEY_VARIABLE}")
    return key


@admin_app.command
def state(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show what a process is and does now."""
    return _show(address, "/v1/state", as_json, key_file)


@admin_app.command
def configuration(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show the version in force."""
    return _show(address, "/v1/configuration", as_json, key_file)


@admin_app.command
def targets(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show what a process knows of targets."""
    return _show(address, "/v1/targets", as_json, key_file)


@admin_app.command
def queues(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show what waits and runs at a sidecar."""
    return _show(address, "/v1/queues", as_json, key_file)


@admin_app.command
def refusals(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show the last refusals."""
    return _show(address, "/v1/refusals", as_json, key_file)


@admin_app.command
def histograms(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show times and waste by workspace and tier."""
    return _show(address, "/v1/histograms", as_json, key_file)


@admin_app.command
def waste(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show prompt work wasted behind a sidecar, by cause and workspace."""
    return _show(address, "/v1/waste", as_json, key_file)


@admin_app.command
def openapi(address: str, *, key_file: KeyFile = None) -> int:
    """Print the OpenAPI description."""
    return _show(address, "/openapi.json", True, key_file)


@admin_app.command
def drain(address: str, *, reason: str, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Let a sidecar's target leave: no new work, what runs goes on."""
    return _show(address, "/v1/drain", as_json, key_file, {"reason": reason})


@admin_app.command
def stop_admitting(
    address: str, *, reason: str, as_json: AsJson = False, key_file: KeyFile = None
) -> int:
    """Let an entry admit no more requests; those under way go on."""
    return _show(address, "/v1/stop-admitting", as_json, key_file, {"reason": reason})


@admin_app.command
def log_level(
    address: str, level: str, *, as_json: AsJson = False, key_file: KeyFile = None
) -> int:
    """Set the level of a process's log: DEBUG, INFO, WARNING or ERROR."""
    return _show(address, "/v1/log-level", as_json, key_file, {"level": level})


@admin_app.command
def key_digest(*, key_file: KeyFile = None) -> int:
    """Print the digest of a key, for the settings."""
    print(digest_bytes(read_key(key_file).encode()))
    return 0


def _show(
    address: str, path: str, as_json: bool, key_file: Path | None, document: Any = None
) -> int:
    answer = anyio.run(partial(_ask, address, read_key(key_file), path, document))
    if as_json:
        print(json.dumps(answer, indent=2))
        return 0
    console = Console()
    for table in document_tables(answer):
        console.print(table)
    return 0


async def _ask(address: str, key: str, path: str, document: Any) -> Any:
    async with httpcore.AsyncConnectionPool() as pool:
        client = create_admin_client(address, key, pool)
        if document is None:
            return await client.get(path)
        return await client.post(path, document)
