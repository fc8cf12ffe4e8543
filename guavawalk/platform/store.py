"""Reads and watches the platform's metadata store over HTTP."""

from base64 import b64decode
from collections.abc import Iterator
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec
import msgspec.json

from guavawalk.connection.http_client import HttpClient, create_http_client
from guavawalk.connection.registry import (
    WATCH_MARGIN_S,
    Registry,
    RouteUpdate,
    TargetUpdate,
)
from guavawalk.exception import (
    ConfigurationError,
    HistoryGone,
    PlatformUnavailable,
    RegistrationInvalid,
    TargetError,
)
from guavawalk.platform.configuration import decode_configuration
from guavawalk.platform.registrations import REGISTRATION_PREFIX, decode_registration

__all__ = ["create_store"]

CONFIGURATION_KEY = "op/config"
# Time-out of a read, in seconds. A read takes a few ms, or up to 0.4 s when the store is slow.
READ_TIMEOUT_S = 1.0
NOT_FOUND_STATUS = 404
HISTORY_GONE_STATUS = 410
# Largest revision that can be passed on to other gateways.
MAX_REVISION = 2**63 - 1


class _Item(NamedTuple):
    """One item of a page, or one change of a watch; a removed item has no value."""

    key: str
    revision: int
    value: bytes
    is_removed: bool


class Store:
    """Client of the store; uses one connection for routes and another for registrations.

    Notes
    -----
    All reads and watches raise `PlatformUnavailable` if the store does not answer in time, answers
    with an error status, or with anything but a JSON object. Watches raise its subclass
    `HistoryGone` if the store no longer holds the changes after the given revision.
    """

    def __init__(self, address: str) -> None:
        self._routes_client = create_http_client(address)
        self._targets_client = create_http_client(address)

    async def read_routes(self) -> RouteUpdate:
        """Read the configuration.

        The update has no table if no configuration is published or it is invalid; `as_of` is 0 if
        none is published.
        """
        path = f"/kv-key?key={quote(CONFIGURATION_KEY, safe='/')}"
        document = await _get(self._routes_client, path, READ_TIMEOUT_S)
        if document is None:
            return RouteUpdate(None, 0)
        # "revision" is the revision of the item's last change; "asOf" is the revision of the whole
        # store when it answered.
        name = "asOf" if "asOf" in document else "revision"
        return _route_update([document], _revision(document, name))

    async def watch_routes(self, after: int, wait_s: float) -> RouteUpdate:
        """Wait for changes of the configuration after a revision, for `wait_s` seconds at most."""
        document = await _watch(self._routes_client, CONFIGURATION_KEY, after, wait_s)
        return _route_update(_list(document, "events"), _revision(document, "asOf"))

    async def read_targets(self) -> TargetUpdate:
        """Read the targets' entries, page by page."""
        items: list[Any] = []
        as_of: int | None = None
        after = ""
        while True:
            page = f"&after={quote(after, safe='/')}" if after else ""
            document = await _get(
                self._targets_client,
                f"/kv-range?prefix={REGISTRATION_PREFIX}{page}",
                READ_TIMEOUT_S,
            )
            if document is None:
                raise PlatformUnavailable("list of registrations: HTTP 404")
            page_items = _list(document, "items")
            items += page_items
            # Pages are not a snapshot. A watch from the first page's revision reports the changes
            # made between pages.
            as_of = _revision(document, "asOf") if as_of is None else as_of
            if not document.get("truncated") or not page_items:
                return _target_update(items, as_of)
            after = _last_key(page_items)

    async def watch_targets(self, after: int, wait_s: float) -> TargetUpdate:
        """Wait for changes of targets' entries after a revision, for `wait_s` seconds at most."""
        document = await _watch(self._targets_client, REGISTRATION_PREFIX, after, wait_s)
        return _target_update(_list(document, "events"), _revision(document, "asOf"))

    async def aclose(self) -> None:
        """Close both connections."""
        await self._routes_client.aclose()
        await self._targets_client.aclose()


async def _watch(client: HttpClient, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
    path = f"/kv-watch?prefix={prefix}&after={after}&waitMs={int(wait_s * 1000)}"
    document = await _get(client, path, wait_s + WATCH_MARGIN_S)
    if document is None:
        raise PlatformUnavailable(f"watch of {prefix}: HTTP 404")
    return document


async def _get(client: HttpClient, path: str, timeout_s: float) -> dict[str, Any] | None:
    """Return the JSON object of an answer; None if the path is not found."""
    try:
        answer = await client.get(path, timeout_s)
    except TargetError as error:
        raise PlatformUnavailable(f"{path}: {error}") from error
    if answer.status == NOT_FOUND_STATUS:
        return None
    if answer.status == HISTORY_GONE_STATUS:
        raise HistoryGone(path)
    if answer.status != 200:
        raise PlatformUnavailable(f"{path}: HTTP {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=dict)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise PlatformUnavailable(f"{path}: {error}") from error


def _list(document: dict[str, Any], name: str) -> list[Any]:
    value = document.get(name)
    if not isinstance(value, list):
        raise PlatformUnavailable(f"{name}: found {type(value).__name__}, allowed is a list")
    return value


def _revision(document: dict[str, Any], name: str) -> int:
    value = document.get(name)
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise PlatformUnavailable(f"{name}: found {type(value).__name__}, allowed is a revision")
    return value


def _last_key(items: list[Any]) -> str:
    """Return the key after which the next page begins."""
    last = items[-1]
    key = last.get("key") if isinstance(last, dict) else None
    if not isinstance(key, str):
        raise PlatformUnavailable("the last item of a page has no key")
    return key


def _decode_items(items: list[Any], problems: list[str]) -> Iterator[_Item]:
    """Yield the items that can be read; describe the others in `problems`."""
    for item in items:
        try:
            key, revision = item["key"], item["revision"]
            if not isinstance(key, str) or type(revision) is not int:
                raise TypeError("the key or the revision has a wrong type")
            if not 0 <= revision <= MAX_REVISION:
                raise ValueError("the revision is out of range")
            is_removed = bool(item.get("removed"))
        except Exception as error:
            problems.append(f"{_shown_key(item)}: {type(error).__name__}: {error}"[:200])
            continue
        try:
            value = b"" if is_removed else b64decode(item.get("value") or "", validate=True)
        except Exception:
            # The item is known to hold nothing that can be used.
            value = b""
        yield _Item(key, revision, value, is_removed)


def _shown_key(item: Any) -> str:
    return f"{item.get('key')!r:.80}" if isinstance(item, dict) else type(item).__name__


def _route_update(items: list[Any], as_of: int) -> RouteUpdate:
    """Return the newest configuration among items; invalid ones are listed as problems."""
    table = None
    problems: list[str] = []
    for item in _decode_items(items, problems):
        if item.key != CONFIGURATION_KEY or item.is_removed:
            continue
        try:
            decoded = decode_configuration(item.value)
        except ConfigurationError as error:
            problems.append(str(error))
            continue
        if table is None or decoded.version > table.version:
            table = decoded
    return RouteUpdate(table, as_of, tuple(problems))


def _target_update(items: list[Any], as_of: int) -> TargetUpdate:
    """Return the last change of each target among items, which are in the order of changes."""
    registered = {}
    removed = {}
    problems: list[str] = []
    last_change = 0
    for item in _decode_items(items, problems):
        last_change = max(last_change, item.revision)
        target_id = item.key.removeprefix(REGISTRATION_PREFIX)
        registered.pop(target_id, None)
        removed.pop(target_id, None)
        if item.is_removed:
            removed[target_id] = True
            continue
        try:
            registered[target_id] = decode_registration(item.key, item.value)
        except RegistrationInvalid as error:
            # An invalid entry names no usable target, so the target counts as removed.
            removed[target_id] = True
            problems.append(str(error))
    return TargetUpdate(
        tuple(registered.values()), tuple(removed), as_of, last_change, tuple(problems)
    )


def create_store(address: str) -> Registry:
    """Create a client of the store at `IP:port`; it connects with the first call."""
    return Store(address)
