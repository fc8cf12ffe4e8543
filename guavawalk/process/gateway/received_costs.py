"""Cost that workspaces have received, weighted by age."""

from collections import OrderedDict
from heapq import nlargest

__all__ = ["MAX_REPORTED_RECEIVED", "ReceivedCosts", "create_received_costs"]

# Age at which a received cost counts half, in seconds.
RECEIVED_HALF_LIFE_S = 5.0
# Most workspaces whose received cost is kept, and most that are reported, the largest ones.
MAX_RECEIVED = 1_024
MAX_REPORTED_RECEIVED = 32
# Half-lives after which the costs are scaled anew, so that they stay within the range of floats.
MAX_HALF_LIVES = 100.0


class ReceivedCosts:
    """Cost that each workspace has received, weighted by age.

    Notes
    -----
    The costs are kept as of one moment, so that only a factor common to all depends on the time.
    """

    def __init__(self) -> None:
        self._scaled: OrderedDict[str, float] = OrderedDict()
        self._base_s = 0.0

    def record(self, workspace: str, cost: float, now_s: float) -> None:
        """Record that a call of a workspace got a slot."""
        if now_s - self._base_s > MAX_HALF_LIVES * RECEIVED_HALF_LIFE_S:
            factor = self.factor(now_s)
            for known in self._scaled:
                self._scaled[known] *= factor
            self._base_s = now_s
        growth = 2.0 ** ((now_s - self._base_s) / RECEIVED_HALF_LIFE_S)
        self._scaled[workspace] = self._scaled.get(workspace, 0.0) + cost * growth
        self._scaled.move_to_end(workspace)
        if len(self._scaled) > MAX_RECEIVED:
            self._scaled.popitem(last=False)

    def factor(self, now_s: float) -> float:
        """Return the factor from the costs that are kept to those weighted by age."""
        return 0.5 ** (max(now_s - self._base_s, 0.0) / RECEIVED_HALF_LIFE_S)

    def received(self, workspace: str, factor: float) -> float:
        """Return the weighted cost that a workspace has received, by the factor of a moment."""
        return self._scaled.get(workspace, 0.0) * factor

    def largest(self, now_s: float) -> dict[str, float]:
        """Return the largest ones, for a report, rounded to a tenth."""
        factor = self.factor(now_s)
        largest = nlargest(MAX_REPORTED_RECEIVED, self._scaled, key=self._scaled.__getitem__)
        costs = {workspace: round(self._scaled[workspace] * factor, 1) for workspace in largest}
        return {workspace: cost for workspace, cost in costs.items() if cost > 0.0}


def create_received_costs() -> ReceivedCosts:
    """Create costs of which none has been received."""
    return ReceivedCosts()
