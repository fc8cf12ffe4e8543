"""What a sidecar knows of its engine's models, and the fencing numbers of its orders."""

from guavawalk.codes import ResultCode
from guavawalk.connection.target import EngineState
from guavawalk.exception import RequestError
from guavawalk.process.orders.reconcile import Step
from guavawalk.request.types import Offer

__all__ = ["OrderTracker", "create_order_tracker"]

RELOAD_RETRY_MS = 5_000

Fence = tuple[int, int]


class OrderTracker:
    """The engine's state as it was read last, and the last fencing number known.

    Attributes
    ----------
    state : EngineState or None
        None until it has been read; then nothing is refused for it.
    refused : frozenset of Step
        Steps that the engine refused since it last took one.
    """

    def __init__(self) -> None:
        self.state: EngineState | None = None
        self.refused: frozenset[Step] = frozenset()
        self._fence: Fence = (0, 0)

    def record_state(self, state: EngineState) -> bool:
        """Keep what was read; return whether another issuer has given orders since the last."""
        first = self.state is None
        self.state = state
        overtaken = state.fence > self._fence
        self._fence = max(self._fence, state.fence)
        return overtaken and not first

    def next_fence(self, version: int) -> Fence | None:
        """Return the number for the next order; None if an order of a newer version was given."""
        last_version, sequence = self._fence
        if version < last_version:
            return None
        self._fence = (version, sequence + 1 if version == last_version else 1)
        return self._fence

    def check_loaded(self, offer: Offer) -> None:
        """Refuse an offer for a model or adapter that the engine doesn't hold.

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
    """Create the acceptance of a process that has not met its engine."""
    return OrderTracker()
