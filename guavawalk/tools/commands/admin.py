"""`guavawalk admin`: a command-line client of the administration API."""

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

admin_app = App(
    name="admin", help="Inspect and control one process through its administration API."
)

AsJson = Annotated[
    bool, Parameter(name="--json", negative="", help="Print JSON instead of tables.")
]
KeyFile = Annotated[
    Path | None,
    Parameter(
        name="--key-file",
        help=f"File with the key; by default the key is read from {KEY_VARIABLE}.",
    ),
]


def read_key(key_file: Path | None) -> str:
    """Return the operator's key from a file or the environment.

    The command line can't hold it: other users of the machine can read the arguments of a process.

    Parameters
    ----------
    key_file : Path or None
        File with the key; None to read it from the variable `KEY_VARIABLE`.

    Raises
    ------
    AdminError
        If the file can't be read, or the key is missing, empty or has unprintable characters.
    """
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
    """Show the state of a process: its role, version, load and uptime."""
    return _print_answer(address, "/v1/state", as_json, key_file)


@admin_app.command
def configuration(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show the version of the configuration in force."""
    return _print_answer(address, "/v1/configuration", as_json, key_file)


@admin_app.command
def targets(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show the targets that a process knows, with their state."""
    return _print_answer(address, "/v1/targets", as_json, key_file)


@admin_app.command
def queues(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show the queued and running attempts of a sidecar."""
    return _print_answer(address, "/v1/queues", as_json, key_file)


@admin_app.command
def refusals(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show the most recent refusals."""
    return _print_answer(address, "/v1/refusals", as_json, key_file)


@admin_app.command
def histograms(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show latencies and waste by workspace and tier."""
    return _print_answer(address, "/v1/histograms", as_json, key_file)


@admin_app.command
def waste(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show wasted prompt tokens at the target of a sidecar, by cause and workspace."""
    return _print_answer(address, "/v1/waste", as_json, key_file)


@admin_app.command
def suspects(address: str, *, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Show requests and parts of prompts that were in flight when targets ended."""
    return _print_answer(address, "/v1/suspects", as_json, key_file)


@admin_app.command
def clear_suspect(
    address: str,
    kind: str,
    key: str,
    *,
    reason: str,
    as_json: AsJson = False,
    key_file: KeyFile = None,
) -> int:
    """Let a suspect, a request or part with its key, run again; a gateway tells all others."""
    document = {"kind": kind, "key": key, "reason": reason}
    return _print_answer(address, "/v1/clear-suspect", as_json, key_file, document)


@admin_app.command
def openapi(address: str, *, key_file: KeyFile = None) -> int:
    """Print the OpenAPI description."""
    return _print_answer(address, "/openapi.json", True, key_file)


@admin_app.command
def drain(address: str, *, reason: str, as_json: AsJson = False, key_file: KeyFile = None) -> int:
    """Drain a sidecar's target: it accepts no new work, and running attempts continue."""
    return _print_answer(address, "/v1/drain", as_json, key_file, {"reason": reason})


@admin_app.command
def stop_admitting(
    address: str, *, reason: str, as_json: AsJson = False, key_file: KeyFile = None
) -> int:
    """Stop an entry from admitting requests; requests in progress continue."""
    return _print_answer(address, "/v1/stop-admitting", as_json, key_file, {"reason": reason})


@admin_app.command
def log_level(
    address: str, level: str, *, as_json: AsJson = False, key_file: KeyFile = None
) -> int:
    """Set the log level of a process: DEBUG, INFO, WARNING or ERROR."""
    return _print_answer(address, "/v1/log-level", as_json, key_file, {"level": level})


@admin_app.command
def key_digest(*, key_file: KeyFile = None) -> int:
    """Print the digest of a key, to be put into settings."""
    print(digest_bytes(read_key(key_file).encode()))
    return 0


def _print_answer(
    address: str, path: str, as_json: bool, key_file: Path | None, document: Any = None
) -> int:
    answer = anyio.run(partial(_request, address, read_key(key_file), path, document))
    if as_json:
        print(json.dumps(answer, indent=2))
        return 0
    console = Console()
    for table in document_tables(answer):
        console.print(table)
    return 0


async def _request(address: str, key: str, path: str, document: Any) -> Any:
    async with httpcore.AsyncConnectionPool() as pool:
        client = create_admin_client(address, key, pool)
        if document is None:
            return await client.get(path)
        return await client.post(path, document)
