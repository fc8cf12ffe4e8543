"""What an entry believes of each target that it uses."""

from guavawalk.process.clock import Clock
from guavawalk.request.placement import TargetView
from guavawalk.request.types import LoadReport, Work

__all__ = ["FleetView", "create_fleet_view"]

UNREACHABLE_FOR_S = 1.0
LEAVING_FOR_S = 30.0


class TargetBelief:
    """What is remembered of one target."""

    def __init__(self) -> None:
        self.load = LoadReport()
        self.reported_s = 0.0
        self.avoid_until_s = 0.0
        self.own_running = 0
        self.own_prompt_tokens = 0
        self.own_output_tokens = 0


class FleetView:
    """Beliefs about targets, corrected by every reply of a sidecar."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beliefs: dict[str, TargetBelief] = {}

    def of(self, name: str, work: Work) -> TargetView:
        """Return the view of a target for one request."""
        belief = self._beliefs.get(name)
        if belief is None:
            return TargetView(report_age_s=float("inf"))
        now_s = self._clock.now_s()
        return TargetView(
            load=belief.load,
            report_age_s=now_s - belief.reported_s,
            own_running=belief.own_running,
            own_prompt_tokens=belief.own_prompt_tokens,
            own_output_tokens=belief.own_output_tokens,
            usable=belief.avoid_until_s <= now_s,
        )

    def note_offer(self, name: str, work: Work) -> None:
        """Count an attempt of this entry."""
        belief = self._belief(name)
        belief.own_running += 1
        belief.own_prompt_tokens += work.prompt_tokens
        belief.own_output_tokens += work.expected_output_tokens

    def note_end(self, name: str) -> None:
        """Count it no more."""
        self._belief(name).own_running -= 1

    def note_load(self, name: str, load: LoadReport) -> None:
        """Take a fresh report."""
        belief = self._belief(name)
        belief.load = load
        belief.reported_s = self._clock.now_s()
        belief.own_prompt_tokens = 0
        belief.own_output_tokens = 0
        if load.leaving:
            belief.avoid_until_s = belief.reported_s + LEAVING_FOR_S

    def note_unreachable(self, name: str) -> None:
        """Avoid a target for a moment."""
        self._belief(name).avoid_until_s = self._clock.now_s() + UNREACHABLE_FOR_S

    def _belief(self, name: str) -> TargetBelief:
        return self._beliefs.setdefault(name, TargetBelief())


def create_fleet_view(clock: Clock) -> FleetView:
    """Create a view that knows nothing yet."""
    return FleetView(clock)
