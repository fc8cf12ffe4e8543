"""Workspaces' quotas over all gateways, from what each tells the others.

Every gateway runs the same bucket: it takes its own admissions at once and the others' as they
tell their running totals. While some are not heard, it refills by the share of those heard.
"""

from collections.abc import Mapping

from guavawalk.version.routes import Quota

__all__ = ["QuotaBuckets", "create_quota_buckets"]


class _Bucket:
    def __init__(self, level: float, now_s: float) -> None:
        self.level = level
        self.at_s = now_s


class QuotaBuckets:
    """The buckets of all workspaces.

    Attributes
    ----------
    admitted : dict of str to float
        Running total of what this gateway admitted, by workspace.
    """

    def __init__(self) -> None:
        self.admitted: dict[str, float] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._told: dict[str, dict[str, float]] = {}

    def take(
        self, workspace: str, quota: Quota, amount: float, heard_share: float, now_s: float
    ) -> float:
        """Take an amount; return 0, or the seconds until it would be there.

        Parameters
        ----------
        heard_share : float
            Part of all gateways that are heard now, this one included.
        """
        if not quota.per_s:
            return 0.0
        bucket = self._filled(workspace, quota, heard_share, now_s)
        needed = min(amount, quota.burst)
        if bucket.level < needed:
            return (needed - bucket.level) / (quota.per_s * heard_share)
        bucket.level -= amount
        self.admitted[workspace] = self.admitted.get(workspace, 0.0) + amount
        return 0.0

    def merge(self, gateway: str, totals: Mapping[str, float]) -> None:
        """Take another gateway's running totals; `gateway` names one incarnation of it."""
        told = self._told.setdefault(gateway, {})
        for workspace, total in totals.items():
            # What it admitted before it was first heard is spent and refilled already.
            new = total - told.get(workspace, total)
            told[workspace] = total
            bucket = self._buckets.get(workspace)
            if bucket is not None and new > 0:
                bucket.level -= new

    def forget(self, gateway: str) -> None:
        """Forget a gateway that is gone."""
        self._told.pop(gateway, None)

    def _filled(self, workspace: str, quota: Quota, share: float, now_s: float) -> _Bucket:
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(quota.burst, now_s)
        gained = (now_s - bucket.at_s) * quota.per_s * share
        bucket.level = min(bucket.level + gained, quota.burst)
        bucket.at_s = now_s
        return bucket


def create_quota_buckets() -> QuotaBuckets:
    """Create full buckets."""
    return QuotaBuckets()
