"""Queues news of what may crash targets for other gateways, and encodes it.

News of requests and news of prompt parts have queues and datagrams of their own.
"""

from collections.abc import Iterable
from typing import NamedTuple

import anyio
import msgspec
import msgspec.msgpack

from guavawalk.process.part_suspicion import PartNews
from guavawalk.process.suspects import SuspicionNews

__all__ = [
    "CRASH_NEWS_TAG",
    "MAX_SUSPICIONS",
    "PART_NEWS_TAG",
    "CrashNews",
    "CrashNewsQueue",
    "CrashPartNews",
    "create_crash_news_queue",
    "decode_crash_news",
    "decode_part_news",
    "encode_crash_news",
    "encode_part_news",
]

# First bytes of the datagrams. They begin like a summary, which earlier versions reject.
CRASH_NEWS_TAG = b"\xc1\xc1"
PART_NEWS_TAG = b"\xc1\xc2"
# Number of times that each piece of news is sent: datagrams get lost.
SENDS = 3
# Most fingerprints or parts that are queued; the oldest are dropped first.
MAX_QUEUED = 1_024
# Most suspicions in one datagram, so that it usually fits one packet.
MAX_SUSPICIONS = 24


class CrashNews(NamedTuple):
    """Suspicions that one gateway sends to others.

    Attributes
    ----------
    data_centre : str
        Data centre of the sender.
    """

    data_centre: str
    suspicions: tuple[SuspicionNews, ...]


class CrashPartNews(NamedTuple):
    """Suspicions of prompt parts that one gateway sends to others.

    Attributes
    ----------
    data_centre : str
        Data centre of the sender.
    """

    data_centre: str
    parts: tuple[PartNews, ...]


class _Queued:
    def __init__(self, is_for_all: bool) -> None:
        self.sends_left = SENDS
        self.is_for_all = is_for_all


class CrashNewsQueue:
    """News of requests or of prompt parts that has not been sent often enough yet.

    Both are called by a number: a request by its fingerprint, a part by its key.

    Attributes
    ----------
    arrived : anyio.Event
        Set when there is news, or a gateway to greet; `take` replaces it.
    dropped : int
        Number of suspects that were displaced by newer ones before they were sent often enough.
    """

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.dropped = 0
        self._queued: dict[int, _Queued] = {}
        self._greeted: set[str] = set()

    def __len__(self) -> int:
        """Return the number of suspects that are to be sent."""
        return len(self._queued)

    def add(self, suspects: Iterable[int], is_for_all: bool = True) -> None:
        """Queue news of suspects.

        Parameters
        ----------
        is_for_all : bool, optional
            Whether to send it to other data centres; False for news that came from one.
        """
        for suspect in suspects:
            before = self._queued.pop(suspect, None)
            is_queued_for_all = before is not None and before.is_for_all
            self._queued[suspect] = _Queued(is_for_all or is_queued_for_all)
            if len(self._queued) > MAX_QUEUED:
                del self._queued[next(iter(self._queued))]
                self.dropped += 1
            self.arrived.set()

    def greet(self, address: str) -> None:
        """Have the most suspected sent to a gateway that may know nothing."""
        self._greeted.add(address)
        self.arrived.set()

    def take(self) -> tuple[list[int], list[int], set[str]]:
        """Return what to send now, the newest first.

        Returns
        -------
        tuple
            Suspects for all gateways, those for the data centre only, and the addresses of the
            gateways to greet.
        """
        self.arrived = anyio.Event()
        greeted, self._greeted = self._greeted, set()
        batch = list(reversed(self._queued))[:MAX_SUSPICIONS]
        for_all = [suspect for suspect in batch if self._queued[suspect].is_for_all]
        for_centre = [suspect for suspect in batch if suspect not in for_all]
        for suspect in batch:
            self._queued[suspect].sends_left -= 1
            if not self._queued[suspect].sends_left:
                del self._queued[suspect]
        return for_all, for_centre, greeted


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CrashNews)
_part_decoder = msgspec.msgpack.Decoder(CrashPartNews)


def encode_crash_news(news: CrashNews) -> bytes:
    """Return news as one datagram."""
    return CRASH_NEWS_TAG + _encoder.encode(news)


def decode_crash_news(data: bytes) -> CrashNews:
    """Return the news of a datagram that begins with `CRASH_NEWS_TAG`.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no news.
    """
    return _decoder.decode(data[len(CRASH_NEWS_TAG) :])


def encode_part_news(news: CrashPartNews) -> bytes:
    """Return news of prompt parts as one datagram."""
    return PART_NEWS_TAG + _encoder.encode(news)


def decode_part_news(data: bytes) -> CrashPartNews:
    """Return the news of a datagram that begins with `PART_NEWS_TAG`.

    Raises
    ------
    msgspec.DecodeError
        If the datagram holds no news.
    """
    return _part_decoder.decode(data[len(PART_NEWS_TAG) :])


def create_crash_news_queue() -> CrashNewsQueue:
    """Create a queue without news."""
    return CrashNewsQueue()
