"""Placement policies: the order in which targets are offered a request."""

import random
from collections.abc import Mapping, Sequence
from itertools import count
from typing import NamedTuple, Protocol

from guavawalk.request.target_view import TargetView
from guavawalk.request.types import LoadReport, Work
from guavawalk.version.types import Configuration, Target, TargetGroup

__all__ = [
    "Candidate",
    "Placement",
    "TargetViews",
    "capable_targets",
    "create_least_reported_load",
    "create_random_of_two",
    "create_round_robin",
    "group_of",
]


EMPTY_GROUP = TargetGroup()


class Candidate(NamedTuple):
    """A target with its expected cost; lower is better.

    Attributes
    ----------
    cost_ms : float
        Expected cost in milliseconds; the baseline policies set the reported load instead, or 0.
    finish_s : float
        Expected time until the answer is complete; 0 where the policy does not estimate it.
    """

    target: Target
    cost_ms: float
    finish_s: float = 0.0


class TargetViews(Protocol):
    """State of each target as an entry knows it, for one request.

    Attributes
    ----------
    cached : mapping of str to int
        Length in tokens of the prompt prefix expected in a target's cache, longest first; targets
        without one are left out.
    """

    cached: Mapping[str, int]

    def __getitem__(self, name: str) -> TargetView:
        """Return the view of a target."""
        ...


class Placement(Protocol):
    """A policy that orders capable targets."""

    def rank(
        self, work: Work, local_data_centre: str, targets: Sequence[Target], views: TargetViews
    ) -> list[Candidate]:
        """Order targets, best first.

        Parameters
        ----------
        work : Work
            The request.
        local_data_centre : str
            Data centre of the entry.
        targets : sequence of Target
            Those that may serve the request.
        views : TargetViews
            State of each target, by name.

        Returns
        -------
        list of Candidate
            Usable targets; a policy may leave out some of them. Empty if none is usable.
        """
        ...


def capable_targets(work: Work, configuration: Configuration) -> Sequence[Target]:
    """Return the targets that hold what a request needs and that its workspace may use.

    Notes
    -----
    Targets that the configuration marks as leaving are left out. If the request needs no adapter
    and its workspace is not restricted to data centres, the version's tuple is not copied.
    """
    targets = group_of(work, configuration).targets
    if work.adapter:
        targets = [target for target in targets if work.adapter in target.desired.adapters]
    allowed = work.workspace.data_centres
    if allowed:
        targets = [target for target in targets if target.data_centre in allowed]
    return targets


def group_of(work: Work, configuration: Configuration) -> TargetGroup:
    """Return the targets that serve a request's model or service; an empty group if none does."""
    if work.model:
        return configuration.groups_of_model.get(work.model, EMPTY_GROUP)
    return configuration.groups_of_service.get(work.service_path, EMPTY_GROUP)


class RoundRobin:
    """Placement that rotates through the targets; a baseline."""

    def __init__(self) -> None:
        self._starts = count()

    def rank(self, work, local_data_centre, targets, views):
        """Order targets from the next one in the rotation on."""
        usable = _usable(targets, views)
        if not usable:
            return []
        start = next(self._starts) % len(usable)
        return [Candidate(target, 0.0) for target in usable[start:] + usable[:start]]


class LeastReportedLoad:
    """Placement that prefers the least reported load; a baseline."""

    def rank(self, work, local_data_centre, targets, views):
        """Order targets by the number of attempts reported as queued or running."""
        ranked = [Candidate(t, reported_load(views[t.name].load)) for t in _usable(targets, views)]
        return sorted(ranked, key=lambda candidate: candidate.cost_ms)


class RandomOfTwo:
    """Placement that prefers the less loaded of two random targets; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def rank(self, work, local_data_centre, targets, views):
        """Order targets at random, the less loaded of the first two first."""
        usable = _usable(targets, views)
        self._rng.shuffle(usable)
        head = sorted(usable[:2], key=lambda target: reported_load(views[target.name].load))
        return [Candidate(target, 0.0) for target in head + usable[2:]]


def reported_load(load: LoadReport) -> int:
    """Return the number of attempts running and queued by a report."""
    return load.running + sum(load.queued_by_rank)


def _usable(targets: Sequence[Target], views: TargetViews) -> list[Target]:
    return [target for target in targets if views[target.name].usable]


def create_round_robin() -> Placement:
    """Create the round robin baseline."""
    return RoundRobin()


def create_least_reported_load() -> Placement:
    """Create the least reported load baseline."""
    return LeastReportedLoad()


def create_random_of_two(seed: int | None = None) -> Placement:
    """Create the random of two baseline; a `seed` makes it repeatable, None does not."""
    return RandomOfTwo(random.Random(seed))
