"""Mutants: gateways with one built-in fault each, which the soak must catch.

`python -m soak.mutants NAME` runs a mutant as `guavawalk.process.start_gateway` runs a gateway.
"""

import signal
import sys
from collections.abc import Callable
from types import MappingProxyType

from guavawalk.connection.tasks import attempt_call, forward_call, target_exchange
from guavawalk.exception import TargetLost
from guavawalk.process import gateway_daemon
from guavawalk.process.gateway.active_routes import ActiveRoutes
from guavawalk.process.gateway.dispatch import Dispatcher
from guavawalk.request.repeat import AttemptEnd, AttemptResult
from guavawalk.version.routes import Route, RouteKind

__all__ = [
    "MUTANTS",
    "end_broken_streams_as_whole",
    "give_up_silent_targets",
    "lose_routes",
    "pass_keys_on",
    "promise_what_is_unknown",
    "repeat_what_may_run_once",
]


# Sets an attribute of a class or module: `setattr`, or `monkeypatch.setattr` in a test.
Patch = Callable[[object, str, object], None]


def repeat_what_may_run_once(patch: Patch) -> None:
    """Repeat requests at other targets even if their route is not idempotent."""
    patch(Route, "is_idempotent", property(lambda route: True))


def resume_every_stream(patch: Patch) -> None:
    """Resume streams at other targets even if their route is not resumable."""
    kinds = (RouteKind.SAFE, RouteKind.STREAM)
    patch(Route, "is_idempotent", property(lambda route: route.kind in kinds))


def promise_what_is_unknown(patch: Patch) -> None:
    """Answer with status 503 (not run) even if the outcome of a request is unknown."""
    patch(forward_call, "encode_status", lambda code: 503)


def end_broken_streams_as_whole(patch: Patch) -> None:
    """End a stream that a target truncated as if it were complete."""
    forward_stream = attempt_call._Attempt._forward_stream

    async def finish_truncated(attempt, head):
        try:
            return await forward_stream(attempt, head)
        except TargetLost:
            await attempt._answer.finish()
            return AttemptEnd(AttemptResult.DELIVERED)

    patch(attempt_call._Attempt, "_forward_stream", finish_truncated)


def give_up_silent_targets(patch: Patch) -> None:
    """Close the connection to a silent target before another target has taken the call."""

    async def give_up(attempt, receive, reservation):
        attempt._gateway.dispatcher.release(reservation)
        raise TargetLost("silent")

    patch(attempt_call._Attempt, "_receive_from_first", give_up)


def pass_keys_on(patch: Patch) -> None:
    """Forward the key `k1`, which all callers of the soak send, to the targets."""
    encode = target_exchange.encode_target_headers
    key = (b"Authorization", b"Bearer k1")
    patch(target_exchange, "encode_target_headers", lambda *args: (*encode(*args), key))


def lose_routes(patch: Patch) -> None:
    """Replace each version of the routes after the first one by an empty route table."""
    replace = ActiveRoutes.replace

    def replace_empty(active, table, now_s=0.0):
        if active.table.version:
            table = table._replace(routes_by_host={})
        return replace(active, table, now_s)

    patch(ActiveRoutes, "replace", replace_empty)


def leak_places(patch: Patch) -> None:
    """Never release a reserved slot at a target."""
    patch(Dispatcher, "release", lambda dispatcher, reservation: None)


def end_at_once(patch: Patch) -> None:
    """Exit on SIGTERM without draining."""
    # 60 s is more than the grace period, so that running calls are aborted at once.
    patch(gateway_daemon, "NOTICE_S", 0.0)
    patch(gateway_daemon, "EXIT_BEFORE_KILL_S", 60.0)


MUTANTS: MappingProxyType[str, Callable[[Patch], None]] = MappingProxyType(
    {
        mutate.__name__: mutate
        for mutate in (
            repeat_what_may_run_once,
            resume_every_stream,
            promise_what_is_unknown,
            end_broken_streams_as_whole,
            give_up_silent_targets,
            pass_keys_on,
            lose_routes,
            leak_places,
            end_at_once,
        )
    }
)


if __name__ == "__main__":
    # As `start_gateway` does: SIGHUP must not end a gateway that is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[sys.argv[1]](setattr)
    gateway_daemon.main()
