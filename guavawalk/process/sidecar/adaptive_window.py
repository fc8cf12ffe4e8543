"""A dispatch window that adapts to the token rate and the prefill load of the engine."""

from collections.abc import Callable

from guavawalk.process.clock import Clock
from guavawalk.process.sidecar.headroom import long_slots, reserved_slots
from guavawalk.process.sidecar.prefill import (
    PrefillTracker,
    create_prefill_tracker,
    uncached_tokens,
)
from guavawalk.process.sidecar.queue import MAX_RANKS, clamp_rank
from guavawalk.process.sidecar.window import DispatchWindow
from guavawalk.process.sidecar.window_controller import WindowController, create_window_controller
from guavawalk.request.attempt import Attempt
from guavawalk.version.types import Configuration
from guavawalk.version.window import WindowRules, window_rules

__all__ = ["AdaptiveWindow", "create_adaptive_window"]

# Prefill budget of tiers below the top one, as a share of the first-token target; that of the top
# tier is the whole target.
LOW_TIER_PREFILL_SHARE = 0.5
# A first token is late if it takes longer than the first-token target plus this many times its
# expected prefill time.
LATE_FIRST_TOKEN_FACTOR = 2.0
# Weight of a new sample in the moving averages of the first-token time and the decode rate.
SAMPLE_WEIGHT = 0.2


class AdaptiveWindow:
    """Adaptive dispatch window with a prefill budget, reserved slots and a limit on long attempts.

    Notes
    -----
    The engine computes prompts in order of arrival. A prompt is therefore dispatched only while
    the prompts under prefill, including its own, are expected to take no longer than the prefill
    budget: the target for a first token, or for lower tiers a share of it. While no other prompt is
    under prefill, one of any length is dispatched.

    Slots are reserved for more urgent tiers, and long attempts may hold only a share of the slots.
    """

    def __init__(
        self,
        max_size: int,
        clock: Clock,
        configuration: Callable[[], Configuration | None],
        target_name: str,
    ) -> None:
        self.first_token_ms = 0.0
        self.decode_tokens_per_s = 0.0
        self._max_size = max_size
        self._clock = clock
        self._configuration = configuration
        self._target_name = target_name
        self._applied_configuration: Configuration | None = None
        self._rules = WindowRules()
        self._size_controller: WindowController = create_window_controller(max_size)
        self._prefill: PrefillTracker = create_prefill_tracker()
        self._running_by_rank = [0] * MAX_RANKS
        self._running_long = 0

    @property
    def size(self) -> int:
        """Number of attempts that may run at once."""
        return self._size_controller.size

    @property
    def prefill_tokens_per_s(self) -> float:
        """Moving average of the rate at which the engine computes prompts; never 0.0."""
        return self._prefill.tokens_per_s

    def admits(self, attempt: Attempt, running: int) -> bool:
        """Return whether an unreserved slot is free and the prefill budget allows the prompt.

        Notes
        -----
        While nothing runs, every attempt is admitted.
        """
        self._apply_configuration()
        if running == 0:
            return True
        if not self._has_slot(attempt, running):
            self._size_controller.record_full()
            return False
        return self._has_prefill_room(attempt)

    def has_long_slot(self) -> bool:
        """Return whether long attempts hold fewer slots than their share."""
        return self._running_long < long_slots(self.size)

    def record_dispatch(self, attempt: Attempt) -> None:
        """Count a dispatched attempt, and add its prompt to those under prefill."""
        self._running_by_rank[clamp_rank(attempt.offer.tier_rank)] += 1
        self._running_long += attempt.is_long
        self._prefill.start(attempt)

    def record_end(self, attempt: Attempt) -> None:
        """Release the slot of an attempt, and remove its prompt from those under prefill."""
        self._running_by_rank[clamp_rank(attempt.offer.tier_rank)] -= 1
        self._running_long -= attempt.is_long
        self._prefill.discard(attempt)

    def observe_first_token(self, attempt: Attempt, elapsed_ms: float) -> None:
        """Update the prefill rate and the first-token time, and count late first tokens."""
        expected_ms = self._prefill.finish(attempt, elapsed_ms)
        allowed_ms = LATE_FIRST_TOKEN_FACTOR * expected_ms + self._rules.first_token_target_ms
        if elapsed_ms > allowed_ms:
            self._size_controller.record_late_first_token()
        self.first_token_ms = _update_average(self.first_token_ms, elapsed_ms)

    def observe_tokens(self, attempt: Attempt, tokens: int, elapsed_ms: float) -> bool:
        """Update the decode rate and the window size; return whether the window grew."""
        if elapsed_ms > 0:
            rate = tokens * 1000 / elapsed_ms
            self.decode_tokens_per_s = _update_average(self.decode_tokens_per_s, rate)
        target_ms = self._rules.gap_target_ms
        return self._size_controller.record_tokens(
            tokens, elapsed_ms, target_ms, self._clock.now_s()
        )

    def _has_slot(self, attempt: Attempt, running: int) -> bool:
        rank = clamp_rank(attempt.offer.tier_rank)
        shares = self._rules.reserved_shares
        return running + reserved_slots(rank, self.size, self._running_by_rank, shares) < self.size

    def _has_prefill_room(self, attempt: Attempt) -> bool:
        outstanding = self._prefill.outstanding_tokens
        if outstanding == 0:
            return True
        share = 1.0 if attempt.offer.tier_rank == 0 else LOW_TIER_PREFILL_SHARE
        expected_ms = self._prefill.expected_ms(outstanding + uncached_tokens(attempt))
        return expected_ms <= share * self._rules.first_token_target_ms

    def _apply_configuration(self) -> None:
        configuration = self._configuration()
        if configuration is self._applied_configuration:
            return
        self._applied_configuration = configuration
        self._rules = window_rules(configuration, self._target_name)
        self._size_controller.set_max_size(
            min(self._max_size, self._rules.batch_slots or self._max_size)
        )
        if self._rules.prefill_tokens_per_s > 0 and not len(self._prefill):
            self._prefill = create_prefill_tracker(self._rules.prefill_tokens_per_s)


def _update_average(average: float, sample: float) -> float:
    return average + SAMPLE_WEIGHT * (sample - average) if average else sample


def create_adaptive_window(
    max_size: int,
    clock: Clock,
    configuration: Callable[[], Configuration | None],
    target_name: str,
) -> DispatchWindow:
    """Create a dispatch window that adapts to its engine.

    Parameters
    ----------
    max_size : int
        Upper bound of the size. The batch slots of the target's generation bound it too, unless
        they are 0.
    clock : Clock
        Clock of the process, for the periods of the size control.
    configuration : callable
        Returns the active configuration, or None before the first one.
    target_name : str
        Name of the target in the configuration.
    """
    return AdaptiveWindow(max_size, clock, configuration, target_name)
