"""Creates placement policies by the names used in settings and commands."""

from collections.abc import Callable

from guavawalk.request.expected_cost import create_expected_cost
from guavawalk.request.placement import (
    Placement,
    create_least_reported_load,
    create_random_of_two,
    create_round_robin,
)

__all__ = ["DEFAULT_PLACEMENT", "PLACEMENTS", "create_placement"]

PLACEMENTS: dict[str, Callable[[int | None], Placement]] = {
    "round_robin": lambda seed: create_round_robin(),
    "least_reported_load": lambda seed: create_least_reported_load(),
    "random_of_two": create_random_of_two,
    "expected_cost": create_expected_cost,
}
DEFAULT_PLACEMENT = "expected_cost"


def create_placement(name: str, seed: int | None = None) -> Placement:
    """Create a policy by its name.

    Parameters
    ----------
    name : str
        Key of `PLACEMENTS`.
    seed : int, optional
        Makes the random choices of a policy repeatable; None for choices that differ in each run.

    Raises
    ------
    KeyError
        If there is no policy of this name.

    Examples
    --------
    >>> type(create_placement("round_robin")).__name__
    'RoundRobin'
    """
    return PLACEMENTS[name](seed)
