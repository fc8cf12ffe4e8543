"""The `guavawalk` command: its daemons, and the groups of other commands."""

import os
import sys
from functools import partial
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import App, Parameter
from rich.console import Console

from guavawalk.exception import GuavawalkError
from guavawalk.process.event_loop import run_tasks
from guavawalk.tools.commands import bench_relay  # noqa: F401
from guavawalk.tools.commands.admin import admin_app
from guavawalk.tools.commands.bench import bench_app
from guavawalk.tools.commands.config import config_app
from guavawalk.tools.commands.load import load_app
from guavawalk.tools.commands.standin import standin_app
from guavawalk.tools.commands.top import top
from guavawalk.tools.commands.trace import trace

__all__ = ["app", "main"]

ERROR_EXIT = 2
BROKEN_PIPE_EXIT = 1

app = App(
    name="guavawalk",
    help="A request scheduler for model engines of several generations and for plain services.",
)
settings_app = App(name="settings", help="Check settings files.")
app.command(settings_app)
app.command(bench_app)
app.command(config_app)
app.command(admin_app)
app.command(load_app)
app.command(standin_app)
app.command(top)
app.command(trace)

SettingsFile = Annotated[
    Path, Parameter(name="--settings", help="Settings file: JSON with comments.")
]


@app.command
def entry(settings: SettingsFile) -> int:
    """Run an entry."""
    from guavawalk.process.entry_daemon import run_entry
    from guavawalk.process.settings import EntrySettings, read_settings

    return run_tasks(partial(run_entry, read_settings(settings, EntrySettings)))


@app.command
def sidecar(settings: SettingsFile) -> int:
    """Run the sidecar of one target."""
    from guavawalk.process.settings import SidecarSettings, read_settings
    from guavawalk.process.sidecar_daemon import run_sidecar

    return run_tasks(partial(run_sidecar, read_settings(settings, SidecarSettings)))


@app.command
def gateway(settings: SettingsFile) -> int:
    """Run a gateway, which sends calls to targets directly, without sidecars."""
    from guavawalk.process.gateway_daemon import run_gateway

    return run_tasks(partial(run_gateway, settings))


@settings_app.command
def check(file: Path) -> int:
    """Check a settings file and report its first error."""
    from guavawalk.process.gateway.settings import read_gateway_settings
    from guavawalk.process.settings import EntrySettings, SidecarSettings, read_role, read_settings

    readers = {
        "entry": partial(read_settings, kind=EntrySettings),
        "sidecar": partial(read_settings, kind=SidecarSettings),
        "gateway": read_gateway_settings,
    }
    role = read_role(file)
    readers[role](file)
    print(f"{file}: fine for guavawalk {role}")
    return 0


@app.command
def demo() -> int:
    """Run a whole deployment on loopback, send it mixed requests, and print their outcomes."""
    from guavawalk.tools.demo import run_demo

    return run_tasks(partial(run_demo, Console()))


@app.command
def catalogue(kind: Literal["codes", "events", "metrics"]) -> int:
    """Print the table of docs/CODES.md, docs/EVENTS.md or docs/METRICS.md as Markdown."""
    from guavawalk.tools.commands.catalogue import codes_table, events_table, metrics_table

    print({"codes": codes_table, "events": events_table, "metrics": metrics_table}[kind](), end="")
    return 0


def main() -> None:
    """Run the command line; a `GuavawalkError` is printed as one line with exit status 2."""
    try:
        sys.exit(app())
    except GuavawalkError as error:
        print(f"guavawalk: {error}", file=sys.stderr)
        sys.exit(ERROR_EXIT)
    except BrokenPipeError:
        # The reader of the output has closed the pipe. Standard output is redirected to the null
        # device, so that the interpreter's flush at exit doesn't raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(BROKEN_PIPE_EXIT)
