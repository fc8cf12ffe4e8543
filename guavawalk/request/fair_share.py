"""Weighted fair queueing of workspaces: how far each is ahead of its share of scarce capacity.

A workspace has a virtual start, which advances by cost over weight when one of its requests is
served. The virtual time advances by cost over the total weight of the waiting workspaces, as it
would for a workspace that receives exactly its share.
"""

__all__ = ["MAX_IDLE_SHARES", "FairShares", "create_fair_shares"]

# Bound on the workspaces without waiting requests whose virtual start is kept.
MAX_IDLE_SHARES = 4_096


class FairShares:
    """Virtual starts of the workspaces that wait for one resource.

    Parameters
    ----------
    max_idle : int
        Bound on the workspaces without waiting requests whose virtual start is kept, so that one
        that is ahead of its share cannot reset its lead by emptying its queue.

    Attributes
    ----------
    virtual_time : float
        Cost received for each unit of weight by a workspace that receives exactly its share.

    Notes
    -----
    A workspace that did not wait gets no credit for that time: it begins at the virtual time. When
    nothing waits, all starts are forgotten. Every operation takes constant time.
    """

    def __init__(self, max_idle: int) -> None:
        self._max_idle = max_idle
        self.virtual_time = 0.0
        self._starts: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._total_weight: float = 0
        self._idle_starts: dict[str, float] = {}

    def start(self, workspace: str) -> float:
        """Return the virtual time at which a workspace's share covers its next request."""
        known = self._starts.get(workspace)
        if known is not None:
            return known
        return max(self.virtual_time, self._idle_starts.get(workspace, 0.0))

    def begin_waiting(self, workspace: str, weight: float = 1) -> None:
        """Add a workspace that waits, or set the weight of one that does; it must be above 0."""
        if workspace not in self._starts:
            self._starts[workspace] = self.start(workspace)
            self._idle_starts.pop(workspace, None)
        self._total_weight += weight - self._weights.get(workspace, 0)
        self._weights[workspace] = weight

    def charge(self, workspace: str, cost: float) -> None:
        """Advance a waiting workspace by the cost of a request that is served."""
        self._starts[workspace] += cost / self._weights[workspace]
        self.virtual_time += cost / self._total_weight

    def advance(self, virtual_time: float) -> None:
        """Advance the virtual time, since no workspace within its share waits."""
        self.virtual_time = max(self.virtual_time, virtual_time)

    def end_waiting(self, workspace: str) -> None:
        """Remove a workspace that has no more waiting requests."""
        if len(self._starts) == 1:
            self._idle_starts.clear()
            self.virtual_time = 0.0
        elif self._starts[workspace] > self.virtual_time:
            self._keep_idle_start(workspace)
        del self._starts[workspace]
        self._total_weight -= self._weights.pop(workspace)

    def _keep_idle_start(self, workspace: str) -> None:
        if len(self._idle_starts) >= self._max_idle:
            del self._idle_starts[next(iter(self._idle_starts))]
        self._idle_starts[workspace] = self._starts[workspace]


def create_fair_shares(max_idle: int = MAX_IDLE_SHARES) -> FairShares:
    """Create shares of which none is in use."""
    return FairShares(max_idle)
