"""Choosing the order in which targets are asked to run a request."""

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
    finish_s : float
        Expected time until the answer is whole; 0 where the policy does not know.
    """

    target: Target
    cost_ms: float
    finish_s: float = 0.0


class TargetViews(Protocol):
    """What is believed of each target, for one request.

    Attributes
    ----------
    cached : mapping of str to int
        Length of the prefix believed cached, for the targets that have one, longest first.
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
            What is believed of each, by name.
        """
        ...


def capable_targets(work: Work, configuration: Configuration) -> Sequence[Target]:
    """Return the targets whose configuration and the workspace's rules let them serve a request.

    Notes
    -----
    Targets that the configuration marks as leaving are left out. Without an adapter or rules the
    version's own tuple is returned.
    """
    targets = group_of(work, configuration).targets
    if work.adapter:
        targets = [target for target in targets if work.adapter in target.desired.adapters]
    allowed = work.workspace.data_centres
    if allowed:
        targets = [target for target in targets if target.data_centre in allowed]
    return targets


def group_of(work: Work, configuration: Configuration) -> TargetGroup:
    """Return the version's group of targets for a request's model or service."""
    if work.model:
        return configuration.groups_of_model.get(work.model, EMPTY_GROUP)
    return configuration.groups_of_service.get(work.service_path, EMPTY_GROUP)


class RoundRobin:
    """Take the targets in turn; a baseline."""

    def __init__(self) -> None:
        self._turns = count()

    def rank(self, work, local_data_centre, targets, views):
        """Order targets, the next one in turn first."""
        usable = _usable(targets, views)
        if not usable:
            return []
        start = next(self._turns) % len(usable)
        return [Candidate(target, 0.0) for target in usable[start:] + usable[:start]]


class LeastReportedLoad:
    """Take the target that reported the least load; a baseline."""

    def rank(self, work, local_data_centre, targets, views):
        """Order targets by reported queue and running attempts."""
        ranked = [Candidate(t, reported_load(views[t.name].load)) for t in _usable(targets, views)]
        return sorted(ranked, key=lambda candidate: candidate.cost_ms)


class RandomOfTwo:
    """Take the less loaded of two random targets; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def rank(self, work, local_data_centre, targets, views):
        """Order targets at random, the better of the first two first."""
        usable = _usable(targets, views)
        self._rng.shuffle(usable)
        head = sorted(usable[:2], key=lambda target: reported_load(views[target.name].load))
        return [Candidate(target, 0.0) for target in head + usable[2:]]


def reported_load(load: LoadReport) -> int:
    """Return the attempts running and waiting in a report."""
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
    """Create the random of two baseline."""
    return RandomOfTwo(random.Random(seed))
