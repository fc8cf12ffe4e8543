"""Groups a version's targets by the model or service that they serve."""

from collections.abc import Iterable, Mapping

from guavawalk.version.types import Generation, Target, TargetGroup

__all__ = ["create_target_group", "groups_of_targets"]


def create_target_group(
    targets: Iterable[Target], generations: Mapping[str, Generation]
) -> TargetGroup:
    """Create a group of targets; `TargetGroup` describes its fields.

    Examples
    --------
    >>> group = create_target_group([Target("a", "service", "victoria", "127.0.0.1:1")], {})
    >>> group.names, group.weights, group.index
    (('a',), (1.0,), {'a': 0})
    """
    members = tuple(targets)
    by_data_centre: dict[str, list[Target]] = {}
    for target in members:
        by_data_centre.setdefault(target.data_centre, []).append(target)
    return TargetGroup(
        targets=members,
        names=tuple(target.name for target in members),
        weights=tuple(_weight(target, generations) for target in members),
        index={target.name: position for position, target in enumerate(members)},
        by_data_centre={centre: tuple(local) for centre, local in by_data_centre.items()},
    )


def groups_of_targets(
    names_of: Mapping[str, Iterable[str]],
    targets: Mapping[str, Target],
    generations: Mapping[str, Generation],
) -> dict[str, TargetGroup]:
    """Group targets by model or service, without those that get no requests.

    These are targets that are leaving, and engines that only fill caches (role `prefill`).

    Parameters
    ----------
    names_of : mapping of str to iterable of str
        Names of the targets that hold each model or service.
    """
    return {
        key: create_target_group(_serving(names, targets), generations)
        for key, names in names_of.items()
    }


def _serving(names: Iterable[str], targets: Mapping[str, Target]) -> list[Target]:
    members = [targets[name] for name in names]
    return [target for target in members if not target.leaving and target.desired.role != "prefill"]


def _weight(target: Target, generations: Mapping[str, Generation]) -> float:
    generation = generations.get(target.generation)
    return generation.decode_tokens_per_s * generation.batch_slots if generation else 1.0
