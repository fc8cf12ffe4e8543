"""Tracks an engine's models as last read, and the fencing numbers of the orders sent to it."""

from guavawalk.codes import ResultCode
from guavawalk.connection.target import EngineState
from guavawalk.exception import RequestError
from guavawalk.process.orders.reconcile import Step
from guavawalk.request.types import Offer

__all__ = ["OrderTracker", "create_order_tracker"]

# Retry hint for an offer whose model or adapter is not loaded.
RELOAD_RETRY_MS = 5_000

# Version of the configuration, then a number that rises with each order of the version.
Fence = tuple[int, int]


class OrderTracker:
    """The last known state of the engine, and the highest fencing number known.

    Attributes
    ----------
    state : EngineState or None
        None until it has been read; `check_loaded` refuses nothing then.
    refused : frozenset of Step
        Steps whose orders have failed, by a refusal or without an answer, since the engine last
        accepted one.
    """

    def __init__(self) -> None:
        self.state: EngineState | None = None
        self.refused: frozenset[Step] = frozenset()
        self._fence: Fence = (0, 0)

    def record_state(self, state: EngineState) -> bool:
        """Record the state read from the engine; return whether another issuer has sent it orders.

        Notes
        -----
        True if the fence in the state is above all that are known here. The first state read gives
        False.
        """
        first = self.state is None
        self.state = state
        overtaken = state.fence > self._fence
        self._fence = max(self._fence, state.fence)
        return overtaken and not first

    def next_fence(self, version: int) -> Fence | None:
        """Return the fencing number of the next order.

        Returns
        -------
        tuple of int or None
            None if an order of a newer version is known; then this process must not send one.
        """
        last_version, sequence = self._fence
        if version < last_version:
            return None
        self._fence = (version, sequence + 1 if version == last_version else 1)
        return self._fence

    def check_loaded(self, offer: Offer) -> None:
        """Refuse an offer for a model or adapter that the engine has not loaded.

        Raises
        ------
        RequestError
            `MODEL_NOT_LOADED`.
        """
        if self.state is None or not offer.model:
            return
        names = {model.partition("@")[0] for model in self.state.models}
        if offer.model not in names:
            raise RequestError(ResultCode.MODEL_NOT_LOADED, offer.model, RELOAD_RETRY_MS)
        if offer.adapter and offer.adapter not in self.state.adapters:
            raise RequestError(ResultCode.MODEL_NOT_LOADED, offer.adapter, RELOAD_RETRY_MS)


def create_order_tracker() -> OrderTracker:
    """Create the tracker of an engine whose state has not been read."""
    return OrderTracker()
