"""Limits the retries of an entry by budgets and delays them with a random back-off."""

import random
from collections import OrderedDict
from typing import Protocol

__all__ = ["RetryBudget", "create_attempt_cap", "create_retry_budget"]

# Attempts of one request, the first included.
MAX_ATTEMPTS = 4
# Retries that each request adds to the budgets.
RETRIES_PER_REQUEST = 0.1
# Upper bounds on the unspent retries of one workspace and of the process.
MAX_WORKSPACE_RETRIES = 3.0
MAX_PROCESS_RETRIES = 20.0
MAX_WORKSPACES = 32_768
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class RetryBudget(Protocol):
    """Budget for further attempts after one with a `NOT_RUN` outcome."""

    def record_request(self, workspace: str) -> None:
        """Record the first attempt of a request."""
        ...

    def try_spend(self, workspace: str, attempts: int) -> bool:
        """Spend one retry if the budget allows it.

        Parameters
        ----------
        attempts : int
            Attempts that the request has made so far.

        Returns
        -------
        bool
            True if the request may make another attempt; False if nothing was spent.
        """
        ...

    def backoff_s(self, attempts: int) -> float:
        """Return the wait in seconds before the next attempt; 0 if `attempts` is 0."""
        ...


class AttemptCap:
    """A budget that only bounds the attempts of each request."""

    def __init__(self, max_attempts: int) -> None:
        self._max_attempts = max_attempts

    def record_request(self, workspace: str) -> None:
        """Do nothing."""

    def try_spend(self, workspace: str, attempts: int) -> bool:
        """Return whether fewer attempts than the cap have been made."""
        return attempts < self._max_attempts

    def backoff_s(self, attempts: int) -> float:
        """Return 0: retries are not delayed."""
        return 0.0


class SharedBudget:
    """Retries as a share of requests, for each workspace and for the whole process.

    Notes
    -----
    Each request earns `RETRIES_PER_REQUEST` retries for its workspace and for the process, up to
    `MAX_WORKSPACE_RETRIES` and `MAX_PROCESS_RETRIES`, with which both start. So whatever fails,
    the retries of a process are at most `RETRIES_PER_REQUEST` times its requests, plus
    `MAX_PROCESS_RETRIES`. Once a workspace has been evicted from the table, workspaces that are
    not in it start without retries, so that an eviction doesn't refill a budget.
    """

    def __init__(self, rng: random.Random, max_workspaces: int) -> None:
        self._rng = rng
        self._max_workspaces = max_workspaces
        self._process_retries = MAX_PROCESS_RETRIES
        self._workspace_retries: OrderedDict[str, float] = OrderedDict()
        self._has_evicted = False

    def __len__(self) -> int:
        """Return the number of workspaces in the table."""
        return len(self._workspace_retries)

    def record_request(self, workspace: str) -> None:
        """Earn `RETRIES_PER_REQUEST` retries for the workspace and for the process."""
        self._process_retries = min(
            MAX_PROCESS_RETRIES, self._process_retries + RETRIES_PER_REQUEST
        )
        earned = min(MAX_WORKSPACE_RETRIES, self._remaining(workspace) + RETRIES_PER_REQUEST)
        self._workspace_retries[workspace] = earned
        self._workspace_retries.move_to_end(workspace)
        if len(self._workspace_retries) > self._max_workspaces:
            self._workspace_retries.popitem(last=False)
            self._has_evicted = True

    def try_spend(self, workspace: str, attempts: int) -> bool:
        """Spend one retry of the workspace and of the process, or neither."""
        remaining = self._remaining(workspace)
        if attempts >= MAX_ATTEMPTS or remaining < 1.0 or self._process_retries < 1.0:
            return False
        self._workspace_retries[workspace] = remaining - 1.0
        self._process_retries -= 1.0
        return True

    def backoff_s(self, attempts: int) -> float:
        """Return a random wait in seconds; 0 if `attempts` is 0.

        Notes
        -----
        The wait is between 0 and a bound that doubles with each attempt up to `MAX_BACKOFF_S`.
        """
        if not attempts:
            return 0.0
        bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
        return self._rng.uniform(0.0, bound_s)

    def _remaining(self, workspace: str) -> float:
        return self._workspace_retries.get(
            workspace, 0.0 if self._has_evicted else MAX_WORKSPACE_RETRIES
        )


def create_attempt_cap(max_attempts: int = MAX_ATTEMPTS) -> RetryBudget:
    """Create a budget that only caps the attempts of each request."""
    return AttemptCap(max_attempts)


def create_retry_budget(
    seed: int | None = None, max_workspaces: int = MAX_WORKSPACES
) -> RetryBudget:
    """Create a budget that starts with as many unspent retries as it may hold.

    Parameters
    ----------
    seed : int, optional
        Makes the back-off reproducible; None seeds it from the operating system.
    max_workspaces : int, optional
        Bound on the table; the least recently used workspace is evicted first.
    """
    return SharedBudget(random.Random(seed), max_workspaces)
