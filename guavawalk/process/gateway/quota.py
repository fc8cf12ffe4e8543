"""Workspaces' quotas over all gateways, from what each tells the others.

A quota bounds what a workspace may have in each sliding window. Every gateway counts its own
admissions at once and the others' as they tell their running totals. While some are not heard, a
gateway admits only the share of those that are.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Mapping

from guavawalk.version.routes import Quota

__all__ = ["QuotaWindows", "create_quota_windows"]

# In the last half of a window a workspace gets this part of what its rate gives in that time, so
# that a window's worth isn't admitted at once just before the gateways are restarted.
HALF_WINDOW_PART = 1.3


class _Window:
    """Amounts admitted in the last window, by this gateway and by others."""

    def __init__(self) -> None:
        self.amounts: deque[tuple[float, float]] = deque()
        self.total = 0.0
        self.per_s = 0.0

    def obey(self, quota: Quota) -> None:
        """Start anew under a lower limit: what was admitted under the one before was allowed."""
        if quota.per_s < self.per_s:
            self.amounts.clear()
            self.total = 0.0
        self.per_s = quota.per_s

    def add(self, amount: float, now_s: float) -> None:
        self.amounts.append((now_s, amount))
        self.total += amount

    def expire(self, horizon_s: float) -> None:
        amounts = self.amounts
        while amounts and amounts[0][0] <= horizon_s:
            self.total -= amounts.popleft()[1]

    def remove(self, amount: float, at_s: float) -> None:
        """Remove an amount from what was added at a moment or, for the rest, before it."""
        for index in range(len(self.amounts) - 1, -1, -1):
            added_s, added = self.amounts[index]
            if added_s > at_s:
                continue
            removed = min(added, amount)
            self.amounts[index] = (added_s, added - removed)
            self.total -= removed
            amount -= removed
            if amount <= 0.0:
                return

    def lately(self, since_s: float) -> float:
        """Return what was added since a moment."""
        total = 0.0
        for at_s, amount in reversed(self.amounts):
            if at_s <= since_s:
                break
            total += amount
        return total

    def free_at_s(self, excess: float, window_s: float, now_s: float) -> float:
        """Return when so much will have left the window."""
        for at_s, amount in self.amounts:
            excess -= amount
            if excess <= 0.0:
                return at_s + window_s
        return now_s + window_s


class QuotaWindows:
    """The windows of all workspaces.

    Attributes
    ----------
    admitted : dict of str to float
        Running total of what this gateway admitted and was not given back, by workspace.
    change_number : int
        Grows with each change of a total.
    """

    def __init__(self, window_s: float, unknown_before_s: float) -> None:
        self._blind_from_s = unknown_before_s
        self.admitted: dict[str, float] = {}
        self._changes: OrderedDict[str, int] = OrderedDict()
        self.change_number = 0
        self._window_s = window_s
        self._windows: dict[str, _Window] = {}
        self._peer_totals: dict[str, dict[str, float]] = {}

    def try_admit(
        self, workspace: str, quota: Quota, amount: float, live_share: float, now_s: float
    ) -> float:
        """Take an amount; return 0, or the seconds until it could be taken.

        Parameters
        ----------
        live_share : float
            Part of all gateways that are heard now, this one included.
        """
        window = self._windows.setdefault(workspace, _Window())
        window.expire(now_s - self._window_s)
        window.obey(quota)
        if quota.per_s:
            limit = (quota.per_s * self._counted_s(now_s) + quota.burst) * live_share
            excess = window.total + amount - limit
            if excess > 0.0 and window.total > 0.0:
                return max(window.free_at_s(excess, self._window_s, now_s) - now_s, 0.001)
            half_s = self._window_s / 2
            half_limit = (quota.per_s * half_s * HALF_WINDOW_PART + quota.burst) * live_share
            lately = window.lately(now_s - half_s)
            if lately and lately + amount > half_limit:
                return min((lately + amount - half_limit) / quota.per_s, half_s)
        window.add(amount, now_s)
        self._record_admitted(workspace, amount)
        return 0.0

    def refund(self, workspace: str, amount: float, admitted_at_s: float) -> None:
        """Give back an amount that was taken at a moment for a call that no target has run."""
        window = self._windows.get(workspace)
        if window is not None:
            window.remove(amount, admitted_at_s)
        self._record_admitted(workspace, -amount)

    def admitted_since(self, change_number: int) -> dict[str, float]:
        """Return the totals that have changed since a mark; all of them since mark 0."""
        totals = {}
        for workspace, changed in reversed(self._changes.items()):
            if changed <= change_number:
                break
            totals[workspace] = float(round(self.admitted[workspace]))
        return totals

    def _record_admitted(self, workspace: str, amount: float) -> None:
        self.admitted[workspace] = max(self.admitted.get(workspace, 0.0) + amount, 0.0)
        self.change_number += 1
        self._changes[workspace] = self.change_number
        self._changes.move_to_end(workspace)

    def _counted_s(self, now_s: float) -> float:
        age_s = now_s - self._blind_from_s
        return min(age_s, self._window_s)

    def merge(
        self, gateway: str, totals: Mapping[str, float], now_s: float, age_s: float = math.inf
    ) -> None:
        """Take another gateway's running totals.

        Parameters
        ----------
        gateway : str
            Names one incarnation of it.
        age_s : float
            How long it has run. What an old one admitted before it was first heard may have left
            the window; what a young one admitted has not.
        """
        is_first = gateway not in self._peer_totals
        known = self._peer_totals.setdefault(gateway, {})
        for workspace, total in totals.items():
            is_old = is_first and age_s >= self._window_s
            new = total - known.get(workspace, total if is_old else 0.0)
            known[workspace] = total
            window = self._windows.setdefault(workspace, _Window())
            if new > 0.0:
                window.add(new, now_s)
            elif new < 0.0:
                window.remove(-new, now_s)

    def forget_gateway(self, gateway: str) -> None:
        """Forget a gateway that is gone."""
        self._peer_totals.pop(gateway, None)


def create_quota_windows(window_s: float, unknown_before_s: float = -math.inf) -> QuotaWindows:
    """Create windows without admissions.

    Parameters
    ----------
    window_s : float
        Length of the sliding window over which quotas count.
    unknown_before_s : float, optional
        When this process started, where another one before it may have admitted what this one
        has not heard of: until a window has passed only the time since then counts.
    """
    return QuotaWindows(window_s, unknown_before_s)
