"""Limits of each workspace, as one entry keeps them without a shared counter."""

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

BURST_S = 2.0
MIN_REQUEST_BURST = 1.0
MIN_TOKEN_BURST = 1_000.0
MAX_WORKSPACES = 32_768
LONG_RETRY_MS = 1_000
MIN_RETRY_MS = 10
MAX_RETRY_MS = 60_000


class Limiter(Protocol):
    """Admission by workspace."""

    def admit(self, work: Work) -> None:
        """Count a request in; `RequestError` with a `LIMIT_*` code if it is over a limit."""
        ...

    def release(self, work: Work) -> None:
        """Count an admitted request out."""
        ...


class EntryCount(Protocol):
    """How many entries share the limits."""

    def __call__(self) -> int:
        """Return the number of live entries, at least 1."""
        ...


class NoLimiter:
    """No limits."""

    def admit(self, work: Work) -> None:
        """Admit it."""

    def release(self, work: Work) -> None:
        """Do nothing."""


class Share(NamedTuple):
    """What of a workspace's limits falls to one entry."""

    requests_per_s: float
    request_burst: float
    prompt_tokens_per_s: float
    token_burst: float
    long_requests: int


class WorkspaceUse:
    """What one workspace has used at this entry."""

    __slots__ = ("long_running", "requests", "tokens")

    def __init__(self, share: Share, now_s: float) -> None:
        self.requests = create_token_bucket(share.request_burst, now_s)
        self.tokens = create_token_bucket(share.token_burst, now_s)
        self.long_running = 0

    def is_idle(self, share: Share) -> bool:
        """Say whether forgetting it would change nothing."""
        full = self.requests.tokens >= share.request_burst
        return full and self.tokens.tokens >= share.token_burst and not self.long_running


class ShareLimiter:
    """Token buckets that hold this entry's share of each workspace's limits.

    Notes
    -----
    Buckets are kept by the workspace's name, so a new version changes their rates and not what
    is in them. When the table is full, the workspace used longest ago is forgotten unless it has
    long requests running.
    """

    def __init__(self, clock: Clock, entries: EntryCount, max_workspaces: int) -> None:
        self._clock = clock
        self._entries = entries
        self._max_workspaces = max_workspaces
        self._uses: OrderedDict[str, WorkspaceUse] = OrderedDict()

    def __len__(self) -> int:
        """Count the workspaces held."""
        return len(self._uses)

    def admit(self, work: Work) -> None:
        """Take from all buckets, or from none."""
        limits = work.workspace.limits
        if limits == WorkspaceLimits():
            return
        now_s = self._clock.now_s()
        share = entry_share(limits, max(1, self._entries()))
        use = self._use(work.workspace.name, share, now_s)
        _refuse_over(use.requests, 1.0, share.requests_per_s, share.request_burst, _REQUESTS)
        tokens_rate, tokens_burst = share.prompt_tokens_per_s, share.token_burst
        _refuse_over(use.tokens, work.prompt_tokens, tokens_rate, tokens_burst, _TOKENS)
        if limits.long_requests and is_long(work) and use.long_running >= share.long_requests:
            raise RequestError(ResultCode.LIMIT_LONG, retry_after_ms=LONG_RETRY_MS)
        if limits.requests_per_s:
            use.requests.spend(1.0)
        if limits.prompt_tokens_per_s:
            use.tokens.spend(work.prompt_tokens)
        use.long_running += is_long(work)

    def release(self, work: Work) -> None:
        """Count a long request out."""
        use = self._uses.get(work.workspace.name)
        if use is not None and is_long(work) and use.long_running:
            use.long_running -= 1

    def _use(self, name: str, share: Share, now_s: float) -> WorkspaceUse:
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = WorkspaceUse(share, now_s)
            self._forget_oldest()
        self._uses.move_to_end(name)
        use.requests.fill(share.requests_per_s, share.request_burst, now_s)
        use.tokens.fill(share.prompt_tokens_per_s, share.token_burst, now_s)
        return use

    def _forget_oldest(self) -> None:
        excess = len(self._uses) - self._max_workspaces
        if excess <= 0:
            return
        for name, use in list(self._uses.items())[: excess + 1]:
            if not use.long_running and excess:
                del self._uses[name]
                excess -= 1


_REQUESTS = ResultCode.LIMIT_REQUESTS
_TOKENS = ResultCode.LIMIT_TOKENS


def entry_share(limits: WorkspaceLimits, entries: int) -> Share:
    """Return what falls to one of so many entries.

    Examples
    --------
    >>> entry_share(WorkspaceLimits(requests_per_s=30.0, long_requests=4), 3)
    Share(requests_per_s=10.0, request_burst=20.0, prompt_tokens_per_s=0.0, token_burst=1000.0, \
long_requests=2)
    """
    requests_per_s = limits.requests_per_s / entries
    tokens_per_s = limits.prompt_tokens_per_s / entries
    return Share(
        requests_per_s=requests_per_s,
        request_burst=max(MIN_REQUEST_BURST, BURST_S * requests_per_s),
        prompt_tokens_per_s=tokens_per_s,
        token_burst=max(MIN_TOKEN_BURST, BURST_S * tokens_per_s),
        long_requests=-(-limits.long_requests // entries),
    )


def _refuse_over(
    bucket: TokenBucket, amount: float, rate: float, bound: float, code: ResultCode
) -> None:
    if not rate:
        return
    wait_s = bucket.wait_s(amount, rate, bound)
    if wait_s > 0:
        retry_ms = min(max(int(wait_s * 1000) + 1, MIN_RETRY_MS), MAX_RETRY_MS)
        raise RequestError(code, retry_after_ms=retry_ms)


def create_no_limiter() -> Limiter:
    """Create a limiter that admits everything."""
    return NoLimiter()


def create_fixed_entry_count(entries: int) -> Callable[[], int]:
    """Create a count that never changes."""
    return lambda: entries


def create_share_limiter(
    clock: Clock, entries: EntryCount, max_workspaces: int = MAX_WORKSPACES
) -> Limiter:
    """Create a limiter without use so far."""
    return ShareLimiter(clock, entries, max_workspaces)
