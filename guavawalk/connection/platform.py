"""What the platform gives: published values and the list of instances, to be read only."""

from typing import NamedTuple, NotRequired, Protocol, TypedDict

import httpcore
import msgspec

from guavawalk.exception import PlatformUnavailable

__all__ = ["Instance", "Platform", "PublishedValue", "create_http_platform"]

TIMEOUT_S = 3.0
NOT_FOUND_STATUS = 404


class PublishedValue(NamedTuple):
    """A value with the revision under which the service holds it."""

    value: bytes
    revision: int


class Instance(NamedTuple):
    """A row of the platform's instance list; the list lags."""

    name: str
    role: str
    address: str
    data_centre: str
    leaving: bool = False


class InstanceRow(TypedDict):
    """A row as the platform tells it."""

    name: str
    role: str
    address: str
    data_centre: str
    leaving: NotRequired[bool]


class Platform(Protocol):
    """The configuration service and the instance list."""

    async def read(self, key: str) -> PublishedValue | None:
        """Return a value, None if there is none; `PlatformUnavailable` without an answer."""
        ...

    async def watch(self, key: str, after_revision: int, wait_s: float) -> PublishedValue | None:
        """Wait for a revision above the given one; None if none came in `wait_s`."""
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
        """Read a value."""
        return await self._value(f"/v1/config/{key}", TIMEOUT_S)

    async def watch(self, key: str, after_revision: int, wait_s: float) -> PublishedValue | None:
        """Watch a value by a long poll."""
        query = f"after={after_revision}&wait_ms={int(wait_s * 1000)}"
        return await self._value(f"/v1/config/{key}?{query}", wait_s + TIMEOUT_S)

    async def instances(self) -> tuple[Instance, ...]:
        """Read the instance list."""
        status, _, content = await self._get("/v1/instances", TIMEOUT_S)
        if status != 200:
            raise PlatformUnavailable(f"instances: HTTP {status}")
        try:
            rows = msgspec.json.decode(content, type=tuple[InstanceRow, ...])
        except msgspec.DecodeError as error:
            raise PlatformUnavailable(f"instances: {error}") from error
        return tuple(Instance(**row) for row in rows)

    async def _value(self, path: str, timeout_s: float) -> PublishedValue | None:
        status, headers, content = await self._get(path, timeout_s)
        if status in (204, NOT_FOUND_STATUS):
            return None
        if status != 200:
            raise PlatformUnavailable(f"{path}: HTTP {status}")
        try:
            return PublishedValue(content, int(headers[b"x-revision"]))
        except (KeyError, ValueError) as error:
            raise PlatformUnavailable(f"{path}: no revision") from error

    async def _get(self, path: str, timeout_s: float) -> tuple[int, dict[bytes, bytes], bytes]:
        timeout = {"connect": TIMEOUT_S, "read": timeout_s, "write": TIMEOUT_S, "pool": TIMEOUT_S}
        try:
            response = await self._pool.request(
                "GET", self._url + path, extensions={"timeout": timeout}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise PlatformUnavailable(f"{path}: {type(error).__name__}") from error
        headers = {name.lower(): value for name, value in response.headers}
        return response.status, headers, response.content


def create_http_platform(url: str) -> Platform:
    """Create the client of the platform at a base URL."""
    return HttpPlatform(url)
