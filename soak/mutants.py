"""Gateways with one fault built in each; the soak must catch every one of them.

`python -m soak.mutants NAME` runs such a gateway as `guavawalk.process.start_gateway` does.
"""

import signal
import sys
from collections.abc import Callable
from types import MappingProxyType

from guavawalk.connection.tasks import attempt_call, forward_call
from guavawalk.exception import TargetLost
from guavawalk.process import gateway_daemon
from guavawalk.process.gateway.dispatch import Dispatcher
from guavawalk.process.gateway.held_routes import HeldRoutes
from guavawalk.request.repeat import AttemptEnd, AttemptResult
from guavawalk.version.routes import Route, RouteKind

__all__ = ["MUTANTS"]


def repeat_what_may_run_once() -> None:
    """Repeat requests whatever their route says."""
    Route.is_idempotent = property(lambda route: True)


def resume_every_stream() -> None:
    """Resume streams at another target though their route forbids it."""
    Route.is_idempotent = property(lambda route: route.kind in (RouteKind.SAFE, RouteKind.STREAM))


def promise_what_is_unknown() -> None:
    """Tell callers that a request has not run when nothing is known of it."""
    forward_call.encode_status = lambda code: 503


def end_broken_streams_as_whole() -> None:
    """Let a stream that a target broke off look complete."""
    pass_on = attempt_call._Attempt._pass_stream

    async def lenient(attempt, head):
        try:
            return await pass_on(attempt, head)
        except TargetLost:
            await attempt._answer.finish()
            return AttemptEnd(AttemptResult.DELIVERED)

    attempt_call._Attempt._pass_stream = lenient


def pass_keys_on() -> None:
    """Send callers' keys to the targets."""
    encode = attempt_call.encode_forwarded

    def with_key(*args):
        return (*encode(*args), (b"Authorization", b"Bearer k1"))

    attempt_call.encode_forwarded = with_key


def lose_routes() -> None:
    """Take every later version of the routes without its routes."""
    take = HeldRoutes.take

    def take_empty(held, table, now_s=0.0):
        if held.table.version:
            table = table._replace(routes_by_host={})
        return take(held, table, now_s)

    HeldRoutes.take = take_empty


def leak_places() -> None:
    """Never give a place at a target back."""
    Dispatcher.release = lambda dispatcher, placed: None


def end_at_once() -> None:
    """End on SIGTERM without waiting for what is under way."""
    gateway_daemon.NOTICE_S = 0.0
    gateway_daemon.EXIT_BEFORE_KILL_S = 60.0


MUTANTS: MappingProxyType[str, Callable[[], None]] = MappingProxyType(
    {
        mutate.__name__: mutate
        for mutate in (
            repeat_what_may_run_once,
            resume_every_stream,
            promise_what_is_unknown,
            end_broken_streams_as_whole,
            pass_keys_on,
            lose_routes,
            leak_places,
            end_at_once,
        )
    }
)


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[sys.argv[1]]()
    gateway_daemon.main()
