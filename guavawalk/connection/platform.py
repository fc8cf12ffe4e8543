"""Reads the platform's configuration service and instance list."""

from typing import NamedTuple, NotRequired, Protocol, TypedDict

import httpcore
import msgspec

from guavawalk.exception import PlatformUnavailable

__all__ = [
    "CALL_TIMEOUT_S",
    "LONG_POLL_MARGIN_S",
    "Instance",
    "Platform",
    "PublishedValue",
    "create_http_platform",
]

# Longest time for each step of a request, in seconds: to get a pooled connection, connect, write
# and read.
CALL_TIMEOUT_S = 3.0
# Time after the end of a watch's waiting time within which its answer arrives, in seconds; after it
# the answer counts as lost.
LONG_POLL_MARGIN_S = 1.0
NOT_FOUND_STATUS = 404


class PublishedValue(NamedTuple):
    """A value of the configuration service and its revision, which each change increases."""

    value: bytes
    revision: int


class Instance(NamedTuple):
    """An instance in the platform's instance list, which may be out of date."""

    name: str
    role: str
    address: str
    data_centre: str
    leaving: bool = False


class InstanceRow(TypedDict):
    """An instance as in the platform's answer; the fields are those of `Instance`."""

    name: str
    role: str
    address: str
    data_centre: str
    leaving: NotRequired[bool]


class Platform(Protocol):
    """The configuration service and the instance list."""

    async def read(self, key: str) -> PublishedValue | None:
        """Return the value of a key; None if the key has none.

        Raises
        ------
        PlatformUnavailable
            If the service gives no usable answer; the other methods raise it too.
        """
        ...

    async def watch(self, key: str, after_revision: int, wait_s: float) -> PublishedValue | None:
        """Wait for a revision above the given one; return None if none comes within `wait_s`."""
        ...

    async def instances(self) -> tuple[Instance, ...]:
        """Return the instance list."""
        ...


class HttpPlatform:
    """The platform over HTTP: `GET /v1/config/KEY` and `GET /v1/instances`."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool()

    async def read(self, key: str) -> PublishedValue | None:
        """Fetch a value."""
        return await self._fetch_value(f"/v1/config/{key}", CALL_TIMEOUT_S)

    async def watch(self, key: str, after_revision: int, wait_s: float) -> PublishedValue | None:
        """Wait for a newer revision by a long poll."""
        query = f"after={after_revision}&wait_ms={int(wait_s * 1000)}"
        return await self._fetch_value(f"/v1/config/{key}?{query}", wait_s + LONG_POLL_MARGIN_S)

    async def instances(self) -> tuple[Instance, ...]:
        """Fetch the instance list."""
        status, _, content = await self._get("/v1/instances", CALL_TIMEOUT_S)
        if status != 200:
            raise PlatformUnavailable(f"instances: HTTP {status}")
        try:
            rows = msgspec.json.decode(content, type=tuple[InstanceRow, ...])
        except msgspec.DecodeError as error:
            raise PlatformUnavailable(f"instances: {error}") from error
        return tuple(Instance(**row) for row in rows)

    async def _fetch_value(self, path: str, timeout_s: float) -> PublishedValue | None:
        status, headers, content = await self._get(path, timeout_s)
        if status in (204, NOT_FOUND_STATUS):
            return None
        if status != 200:
            raise PlatformUnavailable(f"{path}: HTTP {status}")
        try:
            return PublishedValue(content, int(headers[b"x-revision"]))
        except (KeyError, ValueError) as error:
            raise PlatformUnavailable(f"{path}: x-revision is missing or not an integer") from error

    async def _get(self, path: str, timeout_s: float) -> tuple[int, dict[bytes, bytes], bytes]:
        timeout = {
            "connect": CALL_TIMEOUT_S,
            "read": timeout_s,
            "write": CALL_TIMEOUT_S,
            "pool": CALL_TIMEOUT_S,
        }
        try:
            response = await self._pool.request(
                "GET", self._url + path, extensions={"timeout": timeout}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise PlatformUnavailable(f"{path}: {type(error).__name__}") from error
        headers = {name.lower(): value for name, value in response.headers}
        return response.status, headers, response.content


def create_http_platform(url: str) -> Platform:
    """Create a client of the platform at a base URL."""
    return HttpPlatform(url)
