"""Explains to operators in which order a request would be offered to targets, and why."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from guavawalk.request.placement import Placement, capable_targets
from guavawalk.request.target_view import StaticViews, TargetView
from guavawalk.request.types import Work
from guavawalk.version.types import Configuration, Target

__all__ = ["Explanation", "explain_placement"]


class Explanation(NamedTuple):
    """Position of one target in the order for a request, with the reason.

    Attributes
    ----------
    order : int
        1 for the target that is offered the request first; 0 for one that is not offered it.
    target : str
        Name of the target.
    reason : str
        Data centre, speed and cost of a target in the order; for another, why it is left out.
    is_relevant : bool
        Whether the target is configured for the request's model or service.
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
    """Return the targets in the order in which a request is offered, then those left out, and why.

    Parameters
    ----------
    work : Work
        The request.
    local_data_centre : str
        Data centre of the entry.
    placement : Placement
        The policy.
    views : mapping of str to TargetView, optional
        State of each target by name; a target without one counts as idle and reachable.
    """
    configuration = work.configuration
    capable = capable_targets(work, configuration)
    views_by_name = {
        target.name: (views or {}).get(target.name, TargetView()) for target in capable
    }
    ranked = placement.rank(work, local_data_centre, capable, StaticViews(views_by_name))
    explained = [
        Explanation(
            order,
            candidate.target.name,
            _reason_for(work, local_data_centre, candidate.target, candidate.cost_ms),
        )
        for order, candidate in enumerate(ranked, start=1)
    ]
    ranked_names = {row.target for row in explained}
    others = (
        target for target in configuration.targets.values() if target.name not in ranked_names
    )
    explained += [
        Explanation(
            0,
            target.name,
            _reason_against(work, target, target in capable),
            _is_relevant(work, target),
        )
        for target in others
    ]
    return explained


def _is_relevant(work: Work, target: Target) -> bool:
    if work.service_path:
        return target.service == work.service_path
    return work.model in {model.partition("@")[0] for model in target.desired.models}


def _reason_for(work: Work, local_data_centre: str, target: Target, cost_ms: float) -> str:
    configuration = work.configuration
    reasons = [_distance(configuration, local_data_centre, target.data_centre)]
    generation = configuration.generations.get(target.generation)
    if generation is not None:
        prefill_ms = work.prompt_tokens * 1000 / generation.prefill_tokens_per_s
        decode_ms = work.expected_output_tokens * 1000 / generation.decode_tokens_per_s
        reasons.append(f"{generation.name}: prefill {prefill_ms:.0f} ms, answer {decode_ms:.0f} ms")
    reasons.append(f"cost {cost_ms:.0f} ms" if math.isfinite(cost_ms) else "cost not finite")
    return "; ".join(reasons)


def _distance(configuration: Configuration, local_data_centre: str, data_centre: str) -> str:
    if local_data_centre == data_centre:
        return f"in {data_centre}, the entry's data centre"
    if not local_data_centre:
        return f"in {data_centre}"
    crossing = configuration.crossings.get((local_data_centre, data_centre))
    if crossing is None:
        return f"in {data_centre}, no crossing from {local_data_centre} is configured"
    return (
        f"in {data_centre}, {crossing.delay_ms:g} ms from {local_data_centre} "
        f"at price {crossing.price:g}"
    )


def _reason_against(work: Work, target: Target, capable: bool) -> str:
    if capable:
        return "may serve it, but the policy leaves it out now"
    requested = work.model or work.service_path
    if not _is_relevant(work, target):
        return f"does not {'hold model' if work.model else 'serve'} {requested!r}"
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
