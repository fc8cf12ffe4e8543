"""Assembles, serves and shuts down the gateway process.

`start_gateway` runs it without importing the command line, which would delay each start.
"""

import os
import signal
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import anyio
from anyio.abc import SocketAttribute

from guavawalk import events
from guavawalk.connection.address import split_address
from guavawalk.connection.socket_stream import TcpListener, create_listener
from guavawalk.connection.streams import has_input, ignore_new_connections
from guavawalk.connection.tasks.accept_callers import accept_callers
from guavawalk.connection.tasks.crash_news import send_crash_news, send_part_news
from guavawalk.connection.tasks.follow_registry import follow_routes, follow_targets
from guavawalk.connection.tasks.gossip import receive_reports, send_reports
from guavawalk.connection.tasks.registry_news import expire_evacuations
from guavawalk.connection.tasks.serve_probe import create_page_connections, serve_pages
from guavawalk.exception import SettingsError
from guavawalk.platform.settings import settings_path
from guavawalk.platform.store import create_store
from guavawalk.process.clock import create_clock
from guavawalk.process.event_loop import run_tasks
from guavawalk.process.gateway.pages import metric_pages, peer_pages, readiness_pages
from guavawalk.process.gateway.settings import GatewaySettings, read_gateway_settings
from guavawalk.process.gateway.state import Gateway, create_gateway
from guavawalk.process.observe.bounded_log import create_bounded_log
from guavawalk.process.supervise import run_restarting, serve_guarded

__all__ = ["main", "run_gateway"]

# Interval at which expired targets and connections are removed, in seconds.
SWEEP_EVERY_S = 0.5
# Time between "not ready" and the closing of idle connections, in seconds. The load balancer polls
# once a second and acts on two failures, and a new connection may be in transit by then.
NOTICE_S = 2.6
# Time for which requests that are arriving when all calls have ended are awaited, in seconds: once
# before the listener is closed, and once after.
LAST_REQUESTS_S = 1.0
# Interval at which connections that the kernel has accepted are looked for then, in seconds.
LAST_CONNECTIONS_EVERY_S = 0.02
# Time before the platform kills the process at which calls still running are ended, in seconds.
EXIT_BEFORE_KILL_S = 0.3
# Longest time for their last answers, and for those to requests that come then, in seconds.
LAST_ANSWERS_S = 0.15
# Interval at which the settings file is checked for changes without a signal, in seconds.
CHECK_SETTINGS_EVERY_S = 2.0
# Time for which an invalid settings file is read again at the start, and the interval, in seconds.
SETTINGS_RETRY_S = 1.0
SETTINGS_RETRY_EVERY_S = 0.05
# Connections that the kernel queues until the listener accepts them.
BACKLOG = 1024
STDOUT = 1
ERROR_EXIT = 2


async def run_gateway(path: Path) -> int:
    """Run a gateway until a signal ends it; return 0, its exit code.

    Raises
    ------
    SettingsError
        If the settings file can't be read or is invalid.
    """
    settings = await _read_first_settings(path)
    log = create_bounded_log("gateway", settings.instance, settings.log_level)
    gateway = create_gateway(settings, create_clock(), log)
    incarnation = int.from_bytes(os.urandom(6), "big")
    log.emit(events.PROCESS_STARTED, incarnation=incarnation, listen=settings.listen)
    registry = create_store(settings.registry)
    host, port = split_address(settings.peer_listen)
    socket = await anyio.create_udp_socket(local_host=host, local_port=port)
    callers_listener = _listen(settings.listen)
    permanent_tasks = {
        "log": partial(log.write, STDOUT),
        "routes": partial(follow_routes, gateway, registry),
        "targets": partial(follow_targets, gateway, registry),
        "receive reports": partial(receive_reports, gateway, socket),
        "send reports": partial(send_reports, gateway, socket, incarnation),
        "send crash news": partial(send_crash_news, gateway, socket),
        "send part news": partial(send_part_news, gateway, socket),
        "sweep": partial(_sweep, gateway),
        "reload": partial(_reload_settings, gateway, path),
    }
    if settings.admin_listen:
        permanent_tasks["administration"] = partial(_serve_admin, gateway, incarnation)
    # The readiness page comes last: a gateway that reports ready accepts all other connections.
    pages_by_address = {
        f"{host}:{settings.metrics_port}": metric_pages(gateway),
        settings.peer_listen: peer_pages(gateway),
        settings.readiness_listen: readiness_pages(gateway),
    }
    page_listeners = [(_listen(address), pages) for address, pages in pages_by_address.items()]
    with _receive_stop_signals() as signals:
        async with anyio.create_task_group() as tasks:
            for name, task in permanent_tasks.items():
                tasks.start_soon(run_restarting, log, name, task)
            for listener, pages in page_listeners:
                serve = partial(serve_pages, pages, connections=create_page_connections())
                tasks.start_soon(serve_guarded, log, "page", listener, serve)
            tasks.start_soon(_serve_callers, gateway, callers_listener)
            await anext(signals)
            left = await _drain(gateway, callers_listener)
            tasks.cancel_scope.cancel()
            # Ready answers are sent in spite of the cancellation. One that its caller doesn't read
            # must not delay the exit.
            await gateway.callers.reset_connections()
        # All calls have logged their end by now.
        log.emit(events.SHUTDOWN_DONE, left=left)
        log.flush(STDOUT)
    return 0


async def _read_first_settings(path: Path) -> GatewaySettings:
    """Read the settings; read an invalid file again, since it may be being written."""
    with anyio.move_on_after(SETTINGS_RETRY_S):
        while True:
            try:
                return read_gateway_settings(path)
            except SettingsError:
                await anyio.sleep(SETTINGS_RETRY_EVERY_S)
    return read_gateway_settings(path)


def _listen(address: str) -> TcpListener:
    host, port = split_address(address)
    return create_listener(host, port, BACKLOG)


async def _serve_callers(gateway: Gateway, listener: TcpListener) -> None:
    host, _ = split_address(gateway.settings.listen)
    gateway.log.emit(
        events.PROCESS_READY, address=f"{host}:{listener.extra(SocketAttribute.local_port)}"
    )
    await accept_callers(gateway, listener)


async def _serve_admin(gateway: Gateway, incarnation: int) -> None:
    # Its web framework is loaded by gateways that serve the API alone: they start faster without.
    from guavawalk.connection.tasks.admin import serve_admin
    from guavawalk.process.admin.gateway_node import create_gateway_node

    settings = gateway.settings
    node = create_gateway_node(gateway, incarnation)
    await serve_admin(node, settings.admin_keys, settings.admin_listen)


async def _sweep(gateway: Gateway) -> None:
    while True:
        due_s = gateway.clock.now_s() + SWEEP_EVERY_S
        await anyio.sleep(SWEEP_EVERY_S)
        now_s = gateway.clock.now_s()
        gateway.metrics.observe("loop_delay_seconds", max(now_s - due_s, 0.0))
        gateway.pacer.record_tick(now_s)
        for target_id in gateway.targets.expire(now_s):
            gateway.log.emit(
                events.TARGET_GONE, target=target_id, reason="registration missing for too long"
            )
            await gateway.connections.discard_target(target_id)
        expire_evacuations(gateway)
        await gateway.connections.close_expired(now_s)


async def _reload_settings(gateway: Gateway, path: Path) -> None:
    """Reload the settings on SIGHUP and when the modification time of the file changes.

    Changed peers and a changed log level take effect; other changes are only logged.
    """
    current = gateway.settings
    modified_ns = _modified_ns(path)
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with anyio.move_on_after(CHECK_SETTINGS_EVERY_S):
                await anext(signals)
                # No file has this time, so a signal also reloads an unchanged file.
                modified_ns = 0
            if modified_ns == (modified_ns := _modified_ns(path)):
                continue
            try:
                settings = read_gateway_settings(path)
            except SettingsError as error:
                gateway.log.emit(events.SETTINGS_REJECTED, reason=str(error))
                continue
            changed = [
                name
                for name, before, after in zip(settings._fields, current, settings)
                if before != after
            ]
            current = settings
            gateway.peers.seeds = settings.peers
            gateway.log.level = settings.log_level
            gateway.log.emit(events.SETTINGS_CHANGED, changed=changed)


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file is being replaced; the next check finds it.
        return 0


@contextmanager
def _receive_stop_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive SIGTERM and SIGINT; after the block they, and SIGHUP, are ignored.

    Their default action would end the process with an error while it exits.
    """
    ignored = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        yield signals
        # The receiver's end restores the default action.
        signal.pthread_sigmask(signal.SIG_BLOCK, ignored)
    for number in ignored:
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ignored)


async def _drain(gateway: Gateway, listener: TcpListener) -> int:
    """End all calls before the platform kills the process.

    Parameters
    ----------
    listener : Listener
        Where callers connect.

    Returns
    -------
    int
        Number of calls that were still running at the end and did not get their targets' answer.
    """
    gateway.callers.is_draining = True
    gateway.log.emit(events.SHUTDOWN_BEGUN, running=gateway.callers.calls)
    drain_timeout_s = gateway.settings.grace_ms / 1000 - EXIT_BEFORE_KILL_S
    gateway.callers.ends_s = gateway.clock.now_s() + drain_timeout_s
    with anyio.move_on_after(drain_timeout_s):
        await anyio.sleep(NOTICE_S)
        gateway.callers.is_refusing = True
        closed = gateway.callers.close_idle()
        gateway.input.close()
        gateway.log.emit(
            events.SHUTDOWN_REFUSES,
            closed=closed,
            open=gateway.callers.connections - closed,
            running=gateway.callers.calls,
        )
        await gateway.callers.wait_for_calls()
        await _answer_last_requests(gateway, listener)
        await gateway.callers.wait_for_calls()
    left = gateway.callers.calls
    gateway.callers.end_calls()
    with anyio.move_on_after(LAST_ANSWERS_S):
        await _stop_accepting(gateway, listener)
    return left


async def _answer_last_requests(gateway: Gateway, listener: TcpListener) -> None:
    """Answer the requests that are arriving as not run, then stop accepting connections.

    Callers may send new ones all the time, so the listener closes after `LAST_REQUESTS_S` at the
    latest.
    """
    with anyio.move_on_after(LAST_REQUESTS_S):
        quiet_checks = 0
        # A connection is counted shortly after it was accepted, so one look is not enough.
        while quiet_checks < 2:
            is_quiet = not gateway.callers.connections and not has_input(listener)
            quiet_checks = quiet_checks + 1 if is_quiet else 0
            await anyio.sleep(LAST_CONNECTIONS_EVERY_S)
    with anyio.move_on_after(LAST_REQUESTS_S):
        await _stop_accepting(gateway, listener)


async def _stop_accepting(gateway: Gateway, listener: TcpListener) -> None:
    """Close the listener, and wait until the requests of the open connections are answered.

    The listener closes at a moment at which the kernel holds no connection to accept.
    """
    is_open = listener.extra(SocketAttribute.raw_socket).fileno() >= 0
    if is_open:
        ignore_new_connections(listener)
    while is_open and has_input(listener):
        await anyio.sleep(LAST_CONNECTIONS_EVERY_S)
    await listener.aclose()
    await anyio.sleep(LAST_CONNECTIONS_EVERY_S)
    gateway.callers.close_idle()
    await gateway.callers.wait_for_connections()


def main() -> None:
    """Run a gateway with the settings file named by the platform, then exit.

    The exit status is 2 if the settings are invalid; the error is printed to stderr.
    """
    try:
        sys.exit(run_tasks(partial(run_gateway, settings_path())))
    except SettingsError as error:
        print(f"guavawalk: {error}", file=sys.stderr)
        sys.exit(ERROR_EXIT)
