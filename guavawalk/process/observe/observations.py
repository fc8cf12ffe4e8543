"""Bundles the histograms and the refusals that a process keeps for operators."""

from typing import NamedTuple

from guavawalk.process.observe.histograms import Histograms, create_histograms
from guavawalk.process.observe.refusals import Refusals, create_refusals

__all__ = ["Observations", "create_observations"]


class Observations(NamedTuple):
    """Histograms and recent refusals of one process."""

    histograms: Histograms
    refusals: Refusals


def create_observations() -> Observations:
    """Create empty observations."""
    return Observations(create_histograms(), create_refusals())
