"""Enforces workspaces' quotas over all gateways, without asking them for each call.

A quota limits the amount that a workspace is admitted in each sliding window. Every gateway counts
its own admissions at once, and those of the others when their reports arrive with running totals.
While reports of some gateways are missing, a gateway admits only the share of those that are live.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Mapping

from guavawalk.version.routes import Quota

__all__ = ["QuotaWindows", "RunningTotals", "create_quota_windows"]

# In half a window a workspace is admitted at most this multiple of what its rate gives in that
# time, plus its burst. Otherwise a whole window's amount could be admitted at once just before the
# gateways restart and lose count.
HALF_WINDOW_FACTOR = 1.3


class _Window:
    """Amounts of one workspace admitted in the last window, by this gateway and the others."""

    def __init__(self) -> None:
        # Moment and amount of each admission, the oldest first.
        self.amounts: deque[tuple[float, float]] = deque()
        self.total = 0.0
        self.per_s = 0.0

    def apply_rate(self, quota: Quota) -> None:
        """Clear the window if the rate is lower now: what the old rate allowed does not count."""
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
        """Remove an amount from what was added up to a moment, the latest additions first."""
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

    def added_since(self, since_s: float) -> float:
        """Return what was added after a moment."""
        total = 0.0
        for at_s, amount in reversed(self.amounts):
            if at_s <= since_s:
                break
            total += amount
        return total

    def free_at_s(self, excess: float, window_s: float, now_s: float) -> float:
        """Return when the oldest amounts that sum up to an excess will have left the window.

        A whole window from now if all amounts sum up to less.
        """
        for at_s, amount in self.amounts:
            excess -= amount
            if excess <= 0.0:
                return at_s + window_s
        return now_s + window_s


class RunningTotals:
    """Running totals of admitted amounts by workspace, and which have changed since when.

    Attributes
    ----------
    totals : dict of str to float
        Running total by workspace.
    change_number : int
        Grows with each change of a total; 0 before any.
    """

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.change_number = 0
        self._changes: OrderedDict[str, int] = OrderedDict()

    def add(self, workspace: str, amount: float) -> None:
        """Add an amount, which may be negative, to a total; it stays at 0 or above."""
        self.totals[workspace] = max(self.totals.get(workspace, 0.0) + amount, 0.0)
        self.change_number += 1
        self._changes[workspace] = self.change_number
        self._changes.move_to_end(workspace)

    def changed_since(self, change_number: int) -> dict[str, float]:
        """Return the totals that changed after a change number, rounded to integers.

        After 0 all of them are returned.
        """
        changed_totals = {}
        for workspace, changed in reversed(self._changes.items()):
            if changed <= change_number:
                break
            changed_totals[workspace] = float(round(self.totals[workspace]))
        return changed_totals


class QuotaWindows:
    """Sliding windows of all workspaces. Amounts are calls or tokens, as the quota counts.

    Attributes
    ----------
    admitted : RunningTotals
        What this gateway admitted and did not refund.
    admitted_in_centre : RunningTotals
        The same of all gateways of the data centre whose reports arrive, this one included.
    """

    def __init__(self, window_s: float, unknown_before_s: float) -> None:
        self._unknown_before_s = unknown_before_s
        self.admitted = RunningTotals()
        self.admitted_in_centre = RunningTotals()
        self._window_s = window_s
        self._windows: dict[str, _Window] = {}
        self._peer_totals: dict[str, dict[str, float]] = {}

    def try_admit(
        self, workspace: str, quota: Quota, amount: float, live_share: float, now_s: float
    ) -> float:
        """Admit an amount, if the quota allows it now.

        Parameters
        ----------
        quota : Quota
            Rate and burst of the workspace; no limit if the rate is 0.
        live_share : float
            Share of all gateways whose reports arrive, from 0 to 1, this one included; only this
            share of the limit is used.

        Returns
        -------
        float
            0 if the amount was admitted, else the time in seconds after which to try again.

        Notes
        -----
        An amount above the whole limit is admitted if nothing else was in the window.
        """
        window = self._windows.setdefault(workspace, _Window())
        window.expire(now_s - self._window_s)
        window.apply_rate(quota)
        if quota.per_s:
            limit = (quota.per_s * self._counted_s(now_s) + quota.burst) * live_share
            excess = window.total + amount - limit
            if excess > 0.0 and window.total > 0.0:
                return max(window.free_at_s(excess, self._window_s, now_s) - now_s, 0.001)
            half_s = self._window_s / 2
            half_limit = (quota.per_s * half_s * HALF_WINDOW_FACTOR + quota.burst) * live_share
            half_total = window.added_since(now_s - half_s)
            if half_total and half_total + amount > half_limit:
                return min((half_total + amount - half_limit) / quota.per_s, half_s)
        window.add(amount, now_s)
        self._record_admitted(workspace, amount)
        return 0.0

    def refund(self, workspace: str, amount: float, admitted_at_s: float) -> None:
        """Remove an amount that was admitted at a moment for a call that no target has run."""
        window = self._windows.get(workspace)
        if window is not None:
            window.remove(amount, admitted_at_s)
        self._record_admitted(workspace, -amount)

    def _record_admitted(self, workspace: str, amount: float) -> None:
        self.admitted.add(workspace, amount)
        self.admitted_in_centre.add(workspace, amount)

    def _counted_s(self, now_s: float) -> float:
        """Return the length of the part of the window in which admissions are known, in seconds."""
        known_s = now_s - self._unknown_before_s
        return min(known_s, self._window_s)

    def merge_local(
        self, gateway: str, totals: Mapping[str, float], now_s: float, age_s: float = math.inf
    ) -> None:
        """Add the growth of the running totals of a gateway of the same data centre.

        The parameters are those of `merge`; the growth counts for the data centre's totals too.
        """
        for workspace, growth in self.merge(gateway, totals, now_s, age_s).items():
            self.admitted_in_centre.add(workspace, growth)

    def merge(
        self, gateway: str, totals: Mapping[str, float], now_s: float, age_s: float = math.inf
    ) -> dict[str, float]:
        """Add the growth of others' running totals to the windows.

        Parameters
        ----------
        gateway : str
            Identifies one incarnation of the gateway, or of the relay of a data centre.
        totals : mapping of str to float
            Running totals by workspace; those that have not changed may be absent.
        age_s : float, optional
            Time since the gateway started, in seconds; infinity if it is not known. The first
            totals are added only if it is shorter than a window: otherwise their amounts may have
            left the window.

        Returns
        -------
        dict of str to float
            The growth of each total that has changed.
        """
        growths = {}
        is_first = gateway not in self._peer_totals
        known_totals = self._peer_totals.setdefault(gateway, {})
        for workspace, total in totals.items():
            is_old = is_first and age_s >= self._window_s
            growth = total - known_totals.get(workspace, total if is_old else 0.0)
            known_totals[workspace] = total
            if not growth:
                continue
            growths[workspace] = growth
            window = self._windows.setdefault(workspace, _Window())
            if growth > 0.0:
                window.add(growth, now_s)
            else:
                window.remove(-growth, now_s)
        return growths

    def forget_gateway(self, gateway: str) -> None:
        """Forget the totals of a gateway incarnation that is gone."""
        self._peer_totals.pop(gateway, None)


def create_quota_windows(window_s: float, unknown_before_s: float = -math.inf) -> QuotaWindows:
    """Create windows without admissions.

    Parameters
    ----------
    window_s : float
        Length of the sliding window over which quotas count, in seconds.
    unknown_before_s : float, optional
        Moment before which admissions are unknown, on the process's monotonic clock: its start, or
        minus infinity if no process ran before it. The time before that moment counts as used up
        at the quota's rate, so until a window has passed the limit is smaller.
    """
    return QuotaWindows(window_s, unknown_before_s)
