"""Why a request would go where it goes, in words for operators."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from guavawalk.request.placement import Placement, capable_targets
from guavawalk.request.target_view import StaticViews, TargetView
from guavawalk.request.types import Work
from guavawalk.version.types import Configuration, Target

__all__ = ["Explanation", "explain_placement"]


class Explanation(NamedTuple):
    """One target and what a request would find there.

    Attributes
    ----------
    order : int
        1 for the target that is asked first; 0 for one that may not serve the request.
    reason : str
        What speaks for or against it.
    is_relevant : bool
        Whether it holds the model, or serves the service, at all.
    """

    order: int
    target: str
    reason: str
    is_relevant: bool = True


def explain_placement(
    work: Work,
    local_data_centre: str,
    placement: Placement,
    views: Mapping[str, TargetView] | None = None,
) -> list[Explanation]:
    """Say which targets may serve a request, in what order and why, then which may not.

    Parameters
    ----------
    work : Work
        The request.
    local_data_centre : str
        Data centre of the entry.
    placement : Placement
        The policy.
    views : mapping of str to TargetView, optional
        What is believed of each target; all idle and reachable without it.
    """
    configuration = work.configuration
    capable = capable_targets(work, configuration)
    known = {target.name: (views or {}).get(target.name, TargetView()) for target in capable}
    ranked = placement.rank(work, local_data_centre, capable, StaticViews(known))
    explained = [
        Explanation(
            order, found.target.name, _merit(work, local_data_centre, found.target, found.cost_ms)
        )
        for order, found in enumerate(ranked, start=1)
    ]
    named = {found.target for found in explained}
    others = (target for target in configuration.targets.values() if target.name not in named)
    explained += [
        Explanation(0, t.name, _objection(work, t, t in capable), _concerned(work, t))
        for t in others
    ]
    return explained


def _concerned(work: Work, target: Target) -> bool:
    if work.service_path:
        return target.service == work.service_path
    return work.model in {model.partition("@")[0] for model in target.desired.models}


def _merit(work: Work, local_data_centre: str, target: Target, cost_ms: float) -> str:
    configuration = work.configuration
    parts = [_distance(configuration, local_data_centre, target.data_centre)]
    generation = configuration.generations.get(target.generation)
    if generation is not None:
        prefill_ms = work.prompt_tokens * 1000 / generation.prefill_tokens_per_s
        decode_ms = work.expected_output_tokens * 1000 / generation.decode_tokens_per_s
        parts.append(f"{generation.name}: prefill {prefill_ms:.0f} ms, answer {decode_ms:.0f} ms")
    parts.append(f"cost {cost_ms:.0f} ms" if math.isfinite(cost_ms) else "cost not finite")
    return "; ".join(parts)


def _distance(configuration: Configuration, local_data_centre: str, there: str) -> str:
    if local_data_centre == there:
        return f"in {there}, the entry's data centre"
    if not local_data_centre:
        return f"in {there}"
    crossing = configuration.crossings.get((local_data_centre, there))
    if crossing is None:
        return f"in {there}, no crossing from {local_data_centre} is configured"
    return (
        f"in {there}, {crossing.delay_ms:g} ms from {local_data_centre} at price {crossing.price:g}"
    )


def _objection(work: Work, target: Target, capable: bool) -> str:
    if capable:
        return "may serve it, but the policy leaves it out now"
    wanted = work.model or work.service_path
    if not _concerned(work, target):
        return f"does not {'hold model' if work.model else 'serve'} {wanted!r}"
    if target.leaving:
        return "is leaving"
    if work.adapter and work.adapter not in target.desired.adapters:
        return f"does not hold adapter {work.adapter!r}"
    if work.model and target.desired.role == "prefill":
        return "only fills caches for others (role prefill)"
    allowed = work.workspace.data_centres
    if allowed and target.data_centre not in allowed:
        return f"{target.data_centre} is not among the workspace's data centres"
    return "may not serve it"
