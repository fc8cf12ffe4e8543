"""Exchanges suspicions of requests and prompt parts that may crash targets with other gateways.

News goes to the gateways of the same data centre, and to the receivers of summaries in the others,
which forward it. The most suspected are repeated at intervals, for gateways that start or were cut
off.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

import anyio
from anyio.abc import UDPSocket

from guavawalk import events
from guavawalk.connection.tasks.datagrams import send_datagram
from guavawalk.process.gateway.crash_news import (
    MAX_SUSPICIONS,
    CrashNews,
    CrashNewsQueue,
    CrashPartNews,
    decode_crash_news,
    decode_part_news,
    encode_crash_news,
    encode_part_news,
)
from guavawalk.process.gateway.crash_refusal import report_parts

if TYPE_CHECKING:
    from guavawalk.process.gateway.state import Gateway

__all__ = ["apply_crash_news", "apply_part_news", "send_crash_news", "send_part_news"]

# Time for which news is collected before it is sent, in seconds: a crash cuts off several calls.
COLLECT_S = 0.01
# Time between two sends of the same news, in seconds.
REPEAT_EVERY_S = 0.25
# Time between two repetitions of the most suspected, in seconds: the larger of a
# minimum and a time for each gateway of the data centre, so that the traffic grows linearly.
MIN_FULL_EVERY_S = 1.2
FULL_EVERY_PER_GATEWAY_S = 0.2


async def send_crash_news(gateway: Gateway, socket: UDPSocket) -> None:
    """Send news of requests, and at intervals the most suspected ones, until cancelled."""

    def encode(fingerprints: Iterable[int]) -> bytes:
        suspicions = tuple(filter(None, map(gateway.suspects.news_of, fingerprints)))
        news = CrashNews(gateway.settings.data_centre, suspicions)
        return encode_crash_news(news) if suspicions else b""

    await _send_news(gateway, socket, gateway.crash_news, gateway.suspects, encode)


async def send_part_news(gateway: Gateway, socket: UDPSocket) -> None:
    """Send news of prompt parts, and at intervals the most suspected ones, until cancelled."""

    def encode(keys: Iterable[int]) -> bytes:
        parts = tuple(filter(None, map(gateway.part_suspects.news_of, keys)))
        news = CrashPartNews(gateway.settings.data_centre, parts)
        return encode_part_news(news) if parts else b""

    await _send_news(gateway, socket, gateway.part_news, gateway.part_suspects, encode)


class _Suspects(Protocol):
    def most_suspected(self, limit: int) -> list[int]: ...


async def _send_news(
    gateway: Gateway,
    socket: UDPSocket,
    news: CrashNewsQueue,
    suspects: _Suspects,
    encode: Callable[[Iterable[int]], bytes],
) -> None:
    peers, now_s = gateway.peers, gateway.clock.now_s

    async def send(chosen: Iterable[int], addresses: set[str]) -> None:
        if addresses and (data := encode(chosen)):
            await send_datagram(gateway, socket, data, addresses)

    next_full_s = now_s()
    while True:
        wait_s = next_full_s - now_s()
        with anyio.move_on_after(max(min(wait_s, REPEAT_EVERY_S) if news else wait_s, 0.0)):
            await news.arrived.wait()
            await anyio.sleep(COLLECT_S)
        for_all, for_centre, greeted = news.take()
        near = peers.local_addresses()
        await send(for_all, near | peers.centres.receivers())
        await send(for_centre, near)
        if greeted:
            await send(suspects.most_suspected(MAX_SUSPICIONS), greeted)
        if now_s() >= next_full_s:
            every_s = max(FULL_EVERY_PER_GATEWAY_S * peers.local_count(), MIN_FULL_EVERY_S)
            next_full_s = now_s() + random.uniform(0.8, 1.0) * every_s
            far = peers.summary_addresses() if peers.is_relay() else set()
            await send(suspects.most_suspected(MAX_SUSPICIONS), near | far)


def apply_crash_news(gateway: Gateway, data: bytes) -> None:
    """Apply a datagram of news of requests; forward what is new and comes from elsewhere.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no news.
    """
    news = decode_crash_news(data)
    changed = gateway.suspects.merge_news(news.suspicions)
    _forward(gateway, gateway.crash_news, changed, news.data_centre)
    explained = gateway.part_suspects.explained_targets(()) if changed else ()
    for fingerprint in changed:
        if gateway.suspects.is_blocked(fingerprint, explained):
            gateway.log.emit(events.CALL_BLOCKED, fingerprint=fingerprint, source=news.data_centre)


def apply_part_news(gateway: Gateway, data: bytes) -> None:
    """Apply a datagram of news of prompt parts; forward what is new and comes from elsewhere.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no news.
    """
    news = decode_part_news(data)
    changed = gateway.part_suspects.merge_news(news.parts)
    _forward(gateway, gateway.part_news, changed, news.data_centre)
    report_parts(gateway, changed, news.data_centre)


def _forward(
    gateway: Gateway, queue: CrashNewsQueue, changed: Iterable[int], data_centre: str
) -> None:
    if data_centre != gateway.settings.data_centre:
        queue.add(changed, is_for_all=False)
