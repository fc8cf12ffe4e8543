"""Exchanges suspicions of requests that may crash targets with other gateways.

News goes to the gateways of the same data centre, and to the receivers of summaries in the others,
which forward it. The requests with the most deaths are repeated at intervals, for gateways that
start or were cut off.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from anyio.abc import UDPSocket

from guavawalk import events
from guavawalk.connection.tasks.datagrams import send_datagram
from guavawalk.process.gateway.crash_news import (
    MAX_SUSPICIONS,
    CrashNews,
    decode_crash_news,
    encode_crash_news,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavawalk.process.gateway.state import Gateway

__all__ = ["apply_crash_news", "send_crash_news"]

# Time for which news is collected before it is sent, in seconds: a crash cuts off several calls.
COLLECT_S = 0.01
# Time between two sends of the same news, in seconds.
REPEAT_EVERY_S = 0.25
# Time between two repetitions of the requests with the most deaths, in seconds: the larger of a
# minimum and a time for each gateway of the data centre, so that the traffic grows linearly.
MIN_FULL_EVERY_S = 1.2
FULL_EVERY_PER_GATEWAY_S = 0.2


async def send_crash_news(gateway: Gateway, socket: UDPSocket) -> None:
    """Send news, and at intervals the requests with the most deaths, until cancelled."""
    news, peers, now_s = gateway.crash_news, gateway.peers, gateway.clock.now_s
    next_full_s = now_s()
    while True:
        wait_s = next_full_s - now_s()
        with anyio.move_on_after(max(min(wait_s, REPEAT_EVERY_S) if news else wait_s, 0.0)):
            await news.arrived.wait()
            await anyio.sleep(COLLECT_S)
        for_all, for_centre, greeted = news.take()
        near = peers.local_addresses()
        await _send(gateway, socket, for_all, near | peers.centres.receivers())
        await _send(gateway, socket, for_centre, near)
        known = gateway.suspects.most_suspected(MAX_SUSPICIONS)
        await _send(gateway, socket, known, greeted)
        if now_s() >= next_full_s:
            every_s = max(FULL_EVERY_PER_GATEWAY_S * peers.local_count(), MIN_FULL_EVERY_S)
            next_full_s = now_s() + random.uniform(0.8, 1.0) * every_s
            far = peers.summary_addresses() if peers.is_relay() else set()
            await _send(gateway, socket, known, near | far)


async def _send(
    gateway: Gateway, socket: UDPSocket, fingerprints: Iterable[int], addresses: set[str]
) -> None:
    suspicions = tuple(filter(None, map(gateway.suspects.news_of, fingerprints)))
    if suspicions and addresses:
        news = CrashNews(gateway.settings.data_centre, suspicions)
        await send_datagram(gateway, socket, encode_crash_news(news), addresses)


def apply_crash_news(gateway: Gateway, data: bytes) -> None:
    """Apply a datagram of news; forward what is new and comes from another data centre.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no news.
    """
    news = decode_crash_news(data)
    changed = gateway.suspects.merge_news(news.suspicions)
    if not changed:
        return
    if news.data_centre != gateway.settings.data_centre:
        gateway.crash_news.add(changed, is_for_all=False)
    for fingerprint in changed:
        if gateway.suspects.is_blocked(fingerprint):
            gateway.log.emit(events.CALL_BLOCKED, fingerprint=fingerprint, source=news.data_centre)
