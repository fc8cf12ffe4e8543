"""Enforces workspace limits at one entry, without a counter shared between entries."""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol

from guavawalk.codes import ResultCode
from guavawalk.exception import RequestError
from guavawalk.process.clock import Clock
from guavawalk.process.entry.bucket import TokenBucket, create_token_bucket
from guavawalk.request.expected_cost import is_long
from guavawalk.request.types import Work
from guavawalk.version.types import WorkspaceLimits

__all__ = [
    "EntryCount",
    "Limiter",
    "create_fixed_entry_count",
    "create_no_limiter",
    "create_share_limiter",
]

# A bucket holds what its rate earns in `BURST_S`, but at least `MIN_REQUEST_BURST` requests or
# `MIN_TOKEN_BURST` prompt tokens.
BURST_S = 2.0
MIN_REQUEST_BURST = 1.0
MIN_TOKEN_BURST = 1_000.0
MAX_WORKSPACES = 32_768
# Retry hint if too many long requests run, and bounds of the hint if a bucket holds too little,
# which is the time until it holds enough.
LONG_RETRY_MS = 1_000
MIN_RETRY_MS = 10
MAX_RETRY_MS = 60_000


class Limiter(Protocol):
    """Admission control by workspace."""

    def admit(self, work: Work) -> None:
        """Admit a request and charge it to its workspace.

        Raises
        ------
        RequestError
            With a `LIMIT_*` code and a retry hint if the workspace is over a limit.
        """
        ...

    def release(self, work: Work) -> None:
        """Record that an admitted request has ended."""
        ...


class EntryCount(Protocol):
    """Source of the number of entries that share the limits."""

    def __call__(self) -> int:
        """Return the number of live entries, at least 1."""
        ...


class NoLimiter:
    """A limiter that admits every request."""

    def admit(self, work: Work) -> None:
        """Admit the request."""

    def release(self, work: Work) -> None:
        """Do nothing."""


class EntryShare(NamedTuple):
    """One entry's share of a workspace's limits; a rate or `long_requests` of 0 means no limit.

    Attributes
    ----------
    request_burst, token_burst : float
        Capacities of the two buckets, in requests and in prompt tokens.
    long_requests : int
        Long requests that may run at the same time.
    """

    requests_per_s: float
    request_burst: float
    prompt_tokens_per_s: float
    token_burst: float
    long_requests: int


class WorkspaceUsage:
    """Current usage of one workspace at this entry."""

    __slots__ = ("long_running", "requests", "tokens")

    def __init__(self, share: EntryShare, now_s: float) -> None:
        self.requests = create_token_bucket(share.request_burst, now_s)
        self.tokens = create_token_bucket(share.token_burst, now_s)
        self.long_running = 0

    def is_idle(self, share: EntryShare) -> bool:
        """Return whether the usage is that of a workspace that has sent no requests."""
        full = self.requests.tokens >= share.request_burst
        return full and self.tokens.tokens >= share.token_burst and not self.long_running


class ShareLimiter:
    """Limiter that enforces this entry's share of each workspace's limits with token buckets.

    Notes
    -----
    Buckets are keyed by the name of the workspace, so a new version of the configuration changes
    their rates but not their balances. When the table is full, the least recently used workspace
    without running long requests is evicted; if it sends another request, it starts with full
    buckets.
    """

    def __init__(self, clock: Clock, entries: EntryCount, max_workspaces: int) -> None:
        self._clock = clock
        self._entries = entries
        self._max_workspaces = max_workspaces
        self._usages: OrderedDict[str, WorkspaceUsage] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of workspaces in the table."""
        return len(self._usages)

    def admit(self, work: Work) -> None:
        """Charge a request to all limits of its workspace, or to none if one is exceeded."""
        limits = work.workspace.limits
        if limits == WorkspaceLimits():
            return
        now_s = self._clock.now_s()
        share = entry_share(limits, max(1, self._entries()))
        usage = self._refilled_usage(work.workspace.name, share, now_s)
        _refuse_if_over(usage.requests, 1.0, share.requests_per_s, share.request_burst, _REQUESTS)
        tokens_rate, tokens_burst = share.prompt_tokens_per_s, share.token_burst
        _refuse_if_over(usage.tokens, work.prompt_tokens, tokens_rate, tokens_burst, _TOKENS)
        if limits.long_requests and is_long(work) and usage.long_running >= share.long_requests:
            raise RequestError(ResultCode.LIMIT_LONG, retry_after_ms=LONG_RETRY_MS)
        if limits.requests_per_s:
            usage.requests.spend(1.0)
        if limits.prompt_tokens_per_s:
            usage.tokens.spend(work.prompt_tokens)
        usage.long_running += is_long(work)

    def release(self, work: Work) -> None:
        """Record that an admitted request has ended, so that another long one may run."""
        usage = self._usages.get(work.workspace.name)
        if usage is not None and is_long(work) and usage.long_running:
            usage.long_running -= 1

    def _refilled_usage(self, name: str, share: EntryShare, now_s: float) -> WorkspaceUsage:
        usage = self._usages.get(name)
        if usage is None:
            usage = self._usages[name] = WorkspaceUsage(share, now_s)
            self._evict_oldest()
        self._usages.move_to_end(name)
        usage.requests.refill(share.requests_per_s, share.request_burst, now_s)
        usage.tokens.refill(share.prompt_tokens_per_s, share.token_burst, now_s)
        return usage

    def _evict_oldest(self) -> None:
        excess = len(self._usages) - self._max_workspaces
        if excess <= 0:
            return
        for name, usage in list(self._usages.items())[: excess + 1]:
            if not usage.long_running and excess:
                del self._usages[name]
                excess -= 1


_REQUESTS = ResultCode.LIMIT_REQUESTS
_TOKENS = ResultCode.LIMIT_TOKENS


def entry_share(limits: WorkspaceLimits, entries: int) -> EntryShare:
    """Return one entry's share of the limits of a workspace.

    Notes
    -----
    The number of long requests is rounded up, so that every entry may run at least one. All
    entries together may therefore run up to `entries - 1` more than the limit.

    Examples
    --------
    >>> entry_share(WorkspaceLimits(requests_per_s=30.0, long_requests=4), 3)
    EntryShare(requests_per_s=10.0, request_burst=20.0, prompt_tokens_per_s=0.0, \
token_burst=1000.0, long_requests=2)
    """
    requests_per_s = limits.requests_per_s / entries
    tokens_per_s = limits.prompt_tokens_per_s / entries
    return EntryShare(
        requests_per_s=requests_per_s,
        request_burst=max(MIN_REQUEST_BURST, BURST_S * requests_per_s),
        prompt_tokens_per_s=tokens_per_s,
        token_burst=max(MIN_TOKEN_BURST, BURST_S * tokens_per_s),
        long_requests=-(-limits.long_requests // entries),
    )


def _refuse_if_over(
    bucket: TokenBucket, amount: float, rate_per_s: float, capacity: float, code: ResultCode
) -> None:
    if not rate_per_s:
        return
    wait_s = bucket.wait_s(amount, rate_per_s, capacity)
    if wait_s > 0:
        retry_ms = min(max(int(wait_s * 1000) + 1, MIN_RETRY_MS), MAX_RETRY_MS)
        raise RequestError(code, retry_after_ms=retry_ms)


def create_no_limiter() -> Limiter:
    """Create a limiter that admits every request."""
    return NoLimiter()


def create_fixed_entry_count(entries: int) -> Callable[[], int]:
    """Create a source that always returns `entries`."""
    return lambda: entries


def create_share_limiter(
    clock: Clock, entries: EntryCount, max_workspaces: int = MAX_WORKSPACES
) -> Limiter:
    """Create a limiter whose buckets are full.

    Parameters
    ----------
    entries : EntryCount
        Called for each request; counts below 1 are raised to 1.
    max_workspaces : int, optional
        Bound on the table; exceeded only while workspaces have long requests running.
    """
    return ShareLimiter(clock, entries, max_workspaces)
