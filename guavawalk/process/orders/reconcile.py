"""Finds the next order that reconciles an engine, and when its target may fetch weights."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from guavawalk.connection.target import EngineState
from guavawalk.version.types import Configuration, DesiredState

__all__ = ["Step", "next_step", "targets_sharing_weights", "weight_load_wait_s"]

# Kinds of steps for which the engine fetches weights.
LOAD_KINDS = ("load_model", "load_adapter")


class Step(NamedTuple):
    """One change that brings an engine closer to its desired state.

    Attributes
    ----------
    kind : str
        `load_model`, `load_adapter`, `unload_adapter`, `unload_model` or `set_role`.
    name : str
        Model, adapter or role.
    """

    kind: str
    name: str

    @property
    def uses_weight_store(self) -> bool:
        """Whether the engine fetches weights from the weight store for this step."""
        return self.kind in LOAD_KINDS


def next_step(desired: DesiredState, state: EngineState, refused: frozenset[Step]) -> Step | None:
    """Return the next change, or None if the engine is in its desired state.

    Parameters
    ----------
    refused : frozenset of Step
        Steps whose orders have failed since the engine last accepted one. They come last, since
        other steps may make room for them.

    Examples
    --------
    >>> state = EngineState(("quill@1",), (), "mixed")
    >>> next_step(DesiredState(("quill@2",)), state, frozenset())
    Step(kind='load_model', name='quill@2')
    """
    steps = [
        *_each("load_model", desired.models, state.models),
        *_each("load_adapter", desired.adapters, state.adapters),
        *_each("unload_adapter", state.adapters, desired.adapters),
        *_each("unload_model", state.models, desired.models),
    ]
    if desired.role != state.role:
        steps.insert(0, Step("set_role", desired.role))
    steps.sort(key=lambda step: step in refused)
    return steps[0] if steps else None


def _each(kind: str, wanted: Iterable[str], present: Iterable[str]) -> list[Step]:
    return [Step(kind, name) for name in wanted if name not in present]


def targets_sharing_weights(name: str, configuration: Configuration) -> list[str]:
    """Return the targets that should hold a model or adapter, and so fetch the same weights."""
    return [
        target.name
        for target in configuration.targets.values()
        if name in target.desired.models or name in target.desired.adapters
    ]


def weight_load_wait_s(target: str, sharers: Sequence[str], wall_s: float, slot_s: float) -> float:
    """Return how long a target waits for its slot at the weight store; 0.0 to start now.

    Parameters
    ----------
    target : str
        Name of the target; one that is not among the sharers does not wait.
    sharers : sequence of str
        Targets that fetch the same weights. Each has one slot in turn, by the wall clock; the order
        follows from a hash of the names, so that all targets agree on it.
    wall_s, slot_s : float
        Time on the wall clock since 1970, and length of one slot.

    Notes
    -----
    A load starts only in the first half of a slot, so that the loads of two targets start at least
    half a slot apart while their wall clocks agree.

    Examples
    --------
    >>> sorted(weight_load_wait_s(name, ["a", "b", "c"], 0.0, 10.0) for name in "abc")
    [0.0, 10.0, 20.0]
    """
    ranked = sorted(sharers, key=lambda name: (xxh3_64_intdigest(name.encode()), name))
    if target not in ranked:
        return 0.0
    into_slot_s = (wall_s - ranked.index(target) * slot_s) % (len(ranked) * slot_s)
    return 0.0 if into_slot_s < slot_s / 2 else len(ranked) * slot_s - into_slot_s
