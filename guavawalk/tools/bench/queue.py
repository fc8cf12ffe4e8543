"""`guavawalk bench queue`: time of the operations of a sidecar's queue."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from guavawalk.process.sidecar.queue import Queue, create_tier_queue
from guavawalk.request.attempt import Attempt, create_attempt
from guavawalk.request.types import Offer

__all__ = ["SIZES", "QueueFigures", "measure_queue", "queue_table"]

# Numbers of waiting attempts.
SIZES = (100, 1_000, 10_000)
# Calls of each operation that are measured, at most.
OPERATIONS = 2_000
WORKSPACES = 500
TIERS = 4
US_PER_S = 1_000_000
# Large enough that the bound on queued tokens never applies.
UNBOUNDED_TOKENS = 10**12


class QueueFigures(NamedTuple):
    """Mean time of each operation while `waiting` attempts are queued.

    Attributes
    ----------
    shed_us : float
        Time of a push to a full queue, which sheds an attempt.
    """

    waiting: int
    push_us: float
    pop_us: float
    remove_us: float
    shed_us: float
    totals_us: float


def _create_queue(capacity: int) -> Queue:
    return create_tier_queue(capacity, UNBOUNDED_TOKENS)


def measure_queue(
    waiting: int, seed: int = 1, create: Callable[[int], Queue] = _create_queue
) -> QueueFigures:
    """Measure a queue of about `waiting` attempts; `create` makes one of a given capacity."""
    rng = random.Random(seed)
    queue = create(waiting + OPERATIONS)
    queued = [_attempt(rng, index) for index in range(waiting)]
    for attempt in queued:
        queue.push(attempt)
    assert len(queue) == waiting
    totals_us = _mean_us([queue.totals] * OPERATIONS)
    new_attempts = [_attempt(rng, waiting + index) for index in range(OPERATIONS)]
    push_us = _mean_us([_bind(queue.push, attempt) for attempt in new_attempts])
    remove_us = _mean_us([_bind(queue.remove, attempt) for attempt in new_attempts])
    pop_us = _mean_us([queue.pop] * min(OPERATIONS, waiting // 2))
    return QueueFigures(
        waiting, push_us, pop_us, remove_us, _shed_us(waiting, rng, create), totals_us
    )


def queue_table(figures: list[QueueFigures]) -> str:
    """Return the figures as a Markdown table."""
    lines = [
        "| waiting | push µs | pop µs | remove µs | push that sheds µs | totals µs |",
        "|---|---|---|---|---|---|",
    ]
    for row in figures:
        cells = " | ".join(f"{value:.1f}" for value in row[1:])
        lines.append(f"| {row.waiting:,} | {cells} |")
    return "\n".join(lines)


def _shed_us(waiting: int, rng: random.Random, create: Callable[[int], Queue]) -> float:
    queue = create(waiting)
    for index in range(waiting):
        queue.push(_attempt(rng, index))
    new_attempts = [_attempt(rng, waiting + index) for index in range(OPERATIONS)]
    return _mean_us([_bind(queue.push, attempt) for attempt in new_attempts])


def _attempt(rng: random.Random, index: int) -> Attempt:
    workspace = int(rng.paretovariate(1.0)) % WORKSPACES
    offer = Offer(
        attempt_id=f"attempt-{index}",
        workspace=f"workspace-{workspace}",
        tier_rank=rng.randrange(TIERS),
        prompt_tokens=rng.choice((50, 200, 5_000)),
        expected_output_tokens=rng.choice((16, 64, 1_600)),
        deadline_ms=rng.randrange(1_000, 120_000),
        workspace_weight=rng.choice((0.5, 1.0, 4.0)),
    )
    return create_attempt(offer, index / 1_000, 1_000)


def _bind(function: Callable, argument: Attempt) -> Callable[[], object]:
    return lambda: function(argument)


def _mean_us(calls: list[Callable[[], object]]) -> float:
    started_s = time.perf_counter()
    for call in calls:
        call()
    return (time.perf_counter() - started_s) * US_PER_S / len(calls)
