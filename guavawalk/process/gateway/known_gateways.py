"""Keeps the gateways that may send calls, those that are silent or stopping included."""

import math
from typing import Protocol

__all__ = ["GatewaySource", "KnownGateways", "create_known_gateways"]

# Time for which a gateway that is no longer known still counts, in seconds: it may still run. It
# exceeds the longest time for which a stopping gateway goes on with its calls.
GATEWAY_RETENTION_S = 30.0
# Time for which the set of gateways is used before it is computed again, in seconds.
GATEWAYS_FOR_S = 0.1


class GatewaySource(Protocol):
    """Names the gateways that may send calls."""

    def sharing_addresses(self) -> set[str]:
        """Return the addresses of all known gateways, this one and silent ones included."""
        ...


class KnownGateways:
    """The gateways that may send calls; one that is no longer known counts for some time.

    Attributes
    ----------
    addresses : frozenset of str
        As of the last `refresh`; the same object until they change.
    """

    def __init__(self, source: GatewaySource) -> None:
        self._source = source
        self._known_s: dict[str, float] = {}
        self._refreshed_s = -math.inf
        self.addresses: frozenset[str] = frozenset()

    def refresh(self, now_s: float) -> None:
        """Determine the gateways, unless that was done a moment ago."""
        if now_s - self._refreshed_s < GATEWAYS_FOR_S:
            return
        self._refreshed_s = now_s
        self._known_s.update(dict.fromkeys(self._source.sharing_addresses(), now_s))
        oldest_s = now_s - GATEWAY_RETENTION_S
        self._known_s = {key: at_s for key, at_s in self._known_s.items() if at_s >= oldest_s}
        if self.addresses != self._known_s.keys():
            self.addresses = frozenset(self._known_s)

    def extend(self, pause_s: float) -> None:
        """Do not count a pause of this process in the age of what it knows."""
        self._known_s = {key: at_s + pause_s for key, at_s in self._known_s.items()}


def create_known_gateways(source: GatewaySource) -> KnownGateways:
    """Create a set without gateways, to be refreshed from a source."""
    return KnownGateways(source)
