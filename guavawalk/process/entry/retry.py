"""Retry budgets: how often an entry may offer a request again, and after how long."""

import random
from collections import OrderedDict
from typing import Protocol

__all__ = ["RetryBudget", "create_attempt_cap", "create_retry_budget"]

MAX_ATTEMPTS = 4
RETRIES_PER_REQUEST = 0.1
MAX_WORKSPACE_RETRIES = 3.0
MAX_PROCESS_RETRIES = 20.0
MAX_WORKSPACES = 32_768
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class RetryBudget(Protocol):
    """Permission to offer again after `NOT_RUN`."""

    def record_request(self, workspace: str) -> None:
        """Count a request's first attempt."""
        ...

    def try_spend(self, workspace: str, attempts: int) -> bool:
        """Say whether a request with `attempts` made may make another."""
        ...

    def backoff_s(self, attempts: int) -> float:
        """Return how long to wait before the next attempt."""
        ...


class AttemptCap:
    """A bound on the attempts of each request."""

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts

    def record_request(self, workspace: str) -> None:
        """Do nothing."""

    def try_spend(self, workspace: str, attempts: int) -> bool:
        """Allow below the cap."""
        return attempts < self._max_attempts

    def backoff_s(self, attempts: int) -> float:
        """Wait nothing."""
        return 0.0


class SharedBudget:
    """Retries as a share of requests, for each workspace and for the whole process.

    Notes
    -----
    Each request earns `RETRIES_PER_REQUEST` of a retry, up to a reserve that an idle workspace and
    an idle process have. So offers are at most requests times one and the share, plus the reserves,
    whatever fails. A workspace that is forgotten starts again with nothing.
    """

    def __init__(self, rng: random.Random, max_workspaces: int) -> None:
        self._rng = rng
        self._max_workspaces = max_workspaces
        self._process = MAX_PROCESS_RETRIES
        self._workspaces: OrderedDict[str, float] = OrderedDict()
        self._forgot = False

    def __len__(self) -> int:
        """Count the workspaces held."""
        return len(self._workspaces)

    def record_request(self, workspace: str) -> None:
        """Earn a share of a retry."""
        self._process = min(MAX_PROCESS_RETRIES, self._process + RETRIES_PER_REQUEST)
        earned = min(MAX_WORKSPACE_RETRIES, self._left(workspace) + RETRIES_PER_REQUEST)
        self._workspaces[workspace] = earned
        self._workspaces.move_to_end(workspace)
        if len(self._workspaces) > self._max_workspaces:
            self._workspaces.popitem(last=False)
            self._forgot = True

    def try_spend(self, workspace: str, attempts: int) -> bool:
        """Take a retry from both budgets, or from neither."""
        left = self._left(workspace)
        if attempts >= MAX_ATTEMPTS or left < 1.0 or self._process < 1.0:
            return False
        self._workspaces[workspace] = left - 1.0
        self._process -= 1.0
        return True

    def backoff_s(self, attempts: int) -> float:
        """Return a random time, up to a bound that doubles with each attempt."""
        if not attempts:
            return 0.0
        bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
        return self._rng.uniform(0.0, bound_s)

    def _left(self, workspace: str) -> float:
        return self._workspaces.get(workspace, 0.0 if self._forgot else MAX_WORKSPACE_RETRIES)


def create_attempt_cap(max_attempts: int = MAX_ATTEMPTS) -> RetryBudget:
    """Create a budget that only caps the attempts of each request."""
    return AttemptCap(max_attempts)


def create_retry_budget(
    seed: int | None = None, max_workspaces: int = MAX_WORKSPACES
) -> RetryBudget:
    """Create a full budget; `seed` repeats its back-off."""
    return SharedBudget(random.Random(seed), max_workspaces)
