"""Decides how long a target may be silent before an idempotent call is sent to another one too."""

from guavawalk.request.repeat import may_repeat
from guavawalk.version.routes import Route, RouteKind

__all__ = ["answer_silence_limit_s", "stream_silence_limit_s"]

# Silence as a multiple of the expected time to the first event, or of the usual time between two
# events at the target.
SILENCE_FACTOR = 4.0
# Shortest silence, in seconds, after which another target is asked: of plain calls and of streams.
MIN_SILENCE_S = 0.35
MIN_STREAM_SILENCE_S = 0.9


def answer_silence_limit_s(route: Route, sent_count: int, first_event_s: float) -> float | None:
    """Return the longest silence before the answer begins, in seconds; None for no limit.

    Parameters
    ----------
    sent_count : int
        Number of targets that the call was sent to, the present one included.
    first_event_s : float
        Expected time to the first event or the answer, in seconds.
    """
    if not may_repeat(route, sent_count):
        return None
    min_silence_s = MIN_STREAM_SILENCE_S if route.kind is RouteKind.STREAM else MIN_SILENCE_S
    return max(SILENCE_FACTOR * first_event_s, min_silence_s)


def stream_silence_limit_s(route: Route, sent_count: int, event_gap_s: float) -> float | None:
    """Return the longest silence within a stream, in seconds; None for no limit.

    Parameters
    ----------
    event_gap_s : float
        Usual time between two events at the target, in seconds: a slow target's are further apart.
    """
    if not may_repeat(route, sent_count):
        return None
    return max(SILENCE_FACTOR * event_gap_s, MIN_STREAM_SILENCE_S)
