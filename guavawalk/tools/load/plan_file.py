"""Reads and checks load plans, which are JSON with comments."""

from pathlib import Path
from typing import NamedTuple

from guavawalk.exception import SettingsError
from guavawalk.process.json_file import build_checked, read_json_object
from guavawalk.request.policies import PLACEMENTS

__all__ = ["DEPLOYMENTS", "FAULT_KINDS", "Fault", "LoadPlan", "read_load_plan"]

DEPLOYMENTS = ("kestrel", "asante")
FAULT_KINDS = (
    "engine_slow",
    "engine_crash",
    "sidecar_kill",
    "entry_kill",
    "pause",
    "data_centre_lost",
    "partition",
    "platform_down",
    "platform_stale",
    "target_leaves",
    "rolling_replacement",
    "crashing_request",
)
DEFAULT_FACTOR = 1.0


class Fault(NamedTuple):
    """A fault of a plan.

    Attributes
    ----------
    at_s, for_s : float
        When it begins, from the start of the load, and its duration.
    where : str
        Name of a target, a data centre or a node (`entry-NAME`, `sidecar-NAME`), depending on the
        kind; empty for kinds that concern the whole deployment.
    factor : float
        For `engine_slow` the factor on the engine's durations, for `crashing_request` the number
        of sendings; other kinds ignore it.
    """

    kind: str
    at_s: float
    for_s: float = 5.0
    where: str = ""
    factor: float = DEFAULT_FACTOR


class LoadPlan(NamedTuple):
    """One experiment.

    Attributes
    ----------
    load : float
        Mean rate of model requests, in multiples of the deployment's capacity.
    duration_s : float
        Virtual time for which requests arrive.
    calls_per_s : float
        Mean rate of non-idempotent calls to plain services, each with a ticket; 0 for none.
    resent_share : float
        Part of those calls, from 0 to 1, that are sent again with the same ticket, through an entry
        drawn at random.
    """

    title: str
    deployment: str
    load: float
    duration_s: float
    seed: int = 1
    policies: tuple[str, ...] = ("expected_cost",)
    calls_per_s: float = 2.0
    resent_share: float = 0.3
    faults: tuple[Fault, ...] = ()


def read_load_plan(path: Path) -> LoadPlan:
    """Read and check a plan.

    Raises
    ------
    SettingsError
        If the file can't be read or a field is invalid; the message names the file, the path of
        the field, what was found and what is allowed.
    """
    source = str(path)
    plan = build_checked(source, "$", read_json_object(path), LoadPlan)
    _check_choice(source, "$.deployment", plan.deployment, DEPLOYMENTS)
    for index, policy in enumerate(plan.policies):
        _check_choice(source, f"$.policies[{index}]", policy, tuple(PLACEMENTS))
    for name in ("load", "duration_s"):
        _check_above(source, f"$.{name}", getattr(plan, name), 0.0)
    for index, fault in enumerate(plan.faults):
        place = f"$.faults[{index}]"
        _check_choice(source, f"{place}.kind", fault.kind, FAULT_KINDS)
        _check_above(source, f"{place}.for_s", fault.for_s, 0.0)
        if not 0 <= fault.at_s <= plan.duration_s:
            problem = f"found {fault.at_s}, allowed is 0 to duration_s ({plan.duration_s})"
            raise SettingsError(source, f"{place}.at_s", problem)
    return plan


def _check_choice(source: str, path: str, value: str, allowed: tuple[str, ...]) -> None:
    if value not in allowed:
        raise SettingsError(source, path, f"found {value!r}, allowed are {', '.join(allowed)}")


def _check_above(source: str, path: str, value: float, bound: float) -> None:
    if value <= bound:
        raise SettingsError(source, path, f"found {value}, allowed is above {bound:g}")
