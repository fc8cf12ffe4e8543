"""`guavawalk config`: renders, checks, compares and explains configurations written in Python."""

from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from rich.console import Console
from rich.table import Table

from guavawalk.exception import ConfigurationError
from guavawalk.request.explain import explain_placement
from guavawalk.request.policies import DEFAULT_PLACEMENT, PLACEMENTS, create_placement
from guavawalk.request.types import Work
from guavawalk.version.authoring import (
    advise,
    describe_changes,
    load_configuration,
    load_draft,
    render_draft,
    write_documents,
)
from guavawalk.version.types import Configuration

__all__ = ["config_app", "request_of"]

# Seed of policies that choose at random, so that an explanation can be repeated.
EXPLAIN_SEED = 0
# Most lines of advice that `check` prints.
MAX_ADVICE = 20

config_app = App(name="config", help="Render, check, compare and explain configurations.")

Version = Annotated[
    int, Parameter(help="Version number; must be above that of the version in force.")
]
OutDirectory = Annotated[Path, Parameter(help="Directory to which the documents are written.")]


@config_app.command
def render(file: Path, *, version: Version, out: OutDirectory) -> int:
    """Render an operator's Python file to documents, each in a file named by its key."""
    documents = render_draft(load_draft(file), version)
    new_shards = write_documents(documents, out)
    print(f"version {version}, digest {documents.stamp.digest}")
    print(f"{len(documents.shards)} shards, {new_shards} of them new in {out}; publish root last")
    return 0


@config_app.command
def check(file: Path) -> int:
    """Check an operator's file, or a directory of rendered documents."""
    found = load_configuration(file)
    counts = (
        f"{len(found.tiers)} tiers",
        f"{len(found.targets)} targets",
        f"{len(found.workspaces)} workspaces",
    )
    print(f"{file}: fine; {', '.join(counts)}")
    lines = list(advise(found))
    for line in lines[:MAX_ADVICE]:
        print(f"note: {line}")
    if len(lines) > MAX_ADVICE:
        print(f"note: and {len(lines) - MAX_ADVICE} more")
    return 0


@config_app.command
def diff(old: Path, new: Path) -> int:
    """Show what changes from the old configuration to the new one, and for whom."""
    changes = describe_changes(load_configuration(old), load_configuration(new))
    for change in changes:
        print(change)
    if not changes:
        print("nothing changes")
    return 0


@config_app.command
def explain(
    file: Path,
    *,
    workspace: str,
    tier: str = "",
    model: str = "",
    service: str = "",
    adapter: str = "",
    prompt_tokens: int = 100,
    output_tokens: int = 0,
    here: str = "",
    policy: str = DEFAULT_PLACEMENT,
    every_target: Annotated[bool, Parameter(negative="")] = False,
) -> int:
    """Explain which targets may serve a request, in which order and why.

    Parameters
    ----------
    here : str
        Data centre of the entry that receives the request; empty for none.
    policy : str
        Name of the placement policy.
    every_target : bool
        Also show the targets that don't hold the model or serve the service.
    """
    configuration = load_configuration(file)
    _check_defined("--policy", policy, PLACEMENTS)
    if here:
        _check_defined("--here", here, configuration.data_centres)
    work = request_of(configuration, workspace, tier, model, service)
    expected_tokens = output_tokens or work.expected_output_tokens
    work = work._replace(
        adapter=adapter, prompt_tokens=prompt_tokens, expected_output_tokens=expected_tokens
    )
    rows = explain_placement(work, here, create_placement(policy, EXPLAIN_SEED))
    shown = [row for row in rows if row.is_relevant or every_target]
    table = Table("order", "target", "why")
    for row in shown:
        table.add_row(str(row.order or "-"), row.target, row.reason)
    Console().print(table)
    print(f"{len(rows) - len(shown)} other targets do not serve {model or service} at all")
    print("all targets are assumed to be idle and reachable")
    return 0


def request_of(
    configuration: Configuration, workspace: str, tier: str, model: str, service: str
) -> Work:
    """Return the work of a request with these names.

    An empty `tier` stands for the workspace's default tier. The work has no deadline.

    Raises
    ------
    ConfigurationError
        If a name is not defined, the workspace may not use it, or not exactly one of `model` and
        `service` is given.
    """
    _check_defined("--workspace", workspace, configuration.workspaces)
    owner = configuration.workspaces[workspace]
    tier = tier or owner.default_tier
    _check_defined("--tier", tier, owner.tiers)
    if bool(model) == bool(service):
        raise ConfigurationError(
            "--model", "found none or both, allowed is exactly one of --model and --service"
        )
    if model:
        _check_defined("--model", model, owner.models)
    else:
        _check_defined("--service", service, owner.services)
    return Work(
        trace_id="",
        configuration=configuration,
        workspace=owner,
        tier=configuration.tiers[tier],
        deadline_s=float("inf"),
        model=model,
        service_path=service,
        expected_output_tokens=configuration.models[model].expected_output_tokens if model else 0,
    )


def _check_defined(place: str, name: str, allowed) -> None:
    if name not in allowed:
        listed = ", ".join(list(allowed)[:10]) or "none"
        raise ConfigurationError(place, f"found {name!r:.80}, allowed are {listed}")
