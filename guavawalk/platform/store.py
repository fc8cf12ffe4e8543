"""Reads and watches the platform's metadata store over HTTP.

Every answer states the era of the store in a header; one without it is of era 0.
"""

from base64 import b64decode
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec
import msgspec.json

from guavawalk.connection.http_client import HttpClient, create_http_client
from guavawalk.connection.http_encoding import Header
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

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
# The rest of such a key is the name of an evacuated data centre; the value says nothing.
EVACUATION_PREFIX = "op/evacuate/"
# Longest name of a data centre, in characters, as in registrations.
MAX_NAME_LENGTH = 200
ERA_HEADER = b"store-era"
# Time-out of a read, in seconds. A read takes a few ms, or up to 0.4 s when the store is slow.
READ_TIMEOUT_S = 1.0
HISTORY_GONE_STATUS = 410
# Largest revision and era that can be passed on to other gateways.
MAX_REVISION = 2**63 - 1


class _Item(NamedTuple):
    """One item of a page, or one change of a watch; a removed item has no value."""

    key: str
    revision: int
    value: bytes
    is_removed: bool


class _Answer(NamedTuple):
    """A JSON object that the store has sent, and the store's era."""

    document: dict[str, Any]
    era: int


class _Items(NamedTuple):
    """All items below a prefix, or changes of them, up to a revision of one era."""

    items: list[Any]
    as_of: int
    era: int


class Store:
    """Client of the store; uses one connection for what the operator writes, one for targets.

    Notes
    -----
    All reads and watches raise `PlatformUnavailable` if the store does not answer in time, answers
    with an error status, or with anything but a JSON object. Watches raise its subclass
    `HistoryGone` if the store no longer holds the changes after the given revision, and reads if
    the era changes between two pages.
    """

    def __init__(self, address: str) -> None:
        self._routes_client = create_http_client(address)
        self._targets_client = create_http_client(address)

    async def read_routes(self) -> RouteUpdate:
        """Read the configuration and the evacuations.

        The update has no table if no configuration is published or it is invalid.
        """
        return _route_update(await _read(self._routes_client, OPERATOR_PREFIX))

    async def watch_routes(self, after: int, wait_s: float) -> RouteUpdate:
        """Wait for changes of what the operator writes, for `wait_s` seconds at most."""
        return _route_update(await _watch(self._routes_client, OPERATOR_PREFIX, after, wait_s))

    async def read_targets(self) -> TargetUpdate:
        """Read the targets' entries."""
        return _target_update(await _read(self._targets_client, REGISTRATION_PREFIX))

    async def watch_targets(self, after: int, wait_s: float) -> TargetUpdate:
        """Wait for changes of targets' entries after a revision, for `wait_s` seconds at most."""
        return _target_update(
            await _watch(self._targets_client, REGISTRATION_PREFIX, after, wait_s)
        )

    async def aclose(self) -> None:
        """Close both connections."""
        await self._routes_client.aclose()
        await self._targets_client.aclose()


async def _read(client: HttpClient, prefix: str) -> _Items:
    """Read all items below a prefix, page by page."""
    first: _Answer | None = None
    items: list[Any] = []
    after = ""
    while True:
        page = f"&after={quote(after, safe='/')}" if after else ""
        answer = await _get(client, f"/kv-range?prefix={prefix}{page}", READ_TIMEOUT_S)
        # Pages are not a snapshot. A watch from the first page's revision reports the changes made
        # between pages.
        first = first or answer
        if answer.era != first.era:
            raise HistoryGone(f"read of {prefix}: the era changed from {first.era} to {answer.era}")
        page_items = _list(answer.document, "items")
        items += page_items
        if not answer.document.get("truncated") or not page_items:
            return _Items(items, _revision(first.document, "asOf"), first.era)
        last = _last_key(page_items)
        if last <= after:
            raise PlatformUnavailable(
                f"list of {prefix}: a page does not go on after {after!r:.80}"
            )
        after = last


async def _watch(client: HttpClient, prefix: str, after: int, wait_s: float) -> _Items:
    path = f"/kv-watch?prefix={prefix}&after={after}&waitMs={int(wait_s * 1000)}"
    document, era = await _get(client, path, wait_s + WATCH_MARGIN_S)
    return _Items(_list(document, "events"), _revision(document, "asOf"), era)


async def _get(client: HttpClient, path: str, timeout_s: float) -> _Answer:
    """Return the JSON object of an answer, and the era that the answer states."""
    try:
        answer = await client.get(path, timeout_s)
    except TargetError as error:
        raise PlatformUnavailable(f"{path}: {error}") from error
    if answer.status == HISTORY_GONE_STATUS:
        raise HistoryGone(path)
    if answer.status != 200:
        raise PlatformUnavailable(f"{path}: HTTP {answer.status}")
    try:
        return _Answer(msgspec.json.decode(answer.body, type=dict), _era(answer.headers))
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        raise PlatformUnavailable(f"{path}: {error}") from error


def _era(headers: Sequence[Header]) -> int:
    """Return the era that an answer states; 0 if it states none."""
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            digits = value.strip()
            if not digits.isdigit() or len(digits) > 19 or int(digits) > MAX_REVISION:
                raise ValueError(f"era: found {digits[:40]!r}, allowed is an integer from 0")
            return int(digits)
    return 0


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


def _route_update(changes: _Items) -> RouteUpdate:
    """Return the newest configuration among items, and the last change of each evacuation.

    Invalid configurations, and evacuations that name no data centre, are listed as problems.
    """
    table = None
    evacuated: dict[str, bool] = {}
    problems: list[str] = []
    evacuation_problems: list[str] = []
    for item in _decode_items(changes.items, problems):
        if item.key.startswith(EVACUATION_PREFIX):
            name = item.key.removeprefix(EVACUATION_PREFIX)
            if 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable():
                evacuated[name] = not item.is_removed
            elif not item.is_removed:
                evacuation_problems.append(f"{item.key!r:.80} names no data centre")
            continue
        if item.key != CONFIGURATION_KEY or item.is_removed:
            continue
        try:
            decoded = decode_configuration(item.value)
        except ConfigurationError as error:
            problems.append(str(error))
            continue
        if table is None or decoded.version > table.version:
            table = decoded
    return RouteUpdate(
        table,
        changes.as_of,
        tuple(problems),
        changes.era,
        tuple(name for name, is_evacuated in evacuated.items() if is_evacuated),
        tuple(name for name, is_evacuated in evacuated.items() if not is_evacuated),
        tuple(evacuation_problems),
    )


def _target_update(changes: _Items) -> TargetUpdate:
    """Return the last change of each target among items, which are in the order of changes."""
    registered = {}
    item_revisions = {}
    removed = {}
    problems: list[str] = []
    last_change = 0
    for item in _decode_items(changes.items, problems):
        last_change = max(last_change, item.revision)
        target_id = item.key.removeprefix(REGISTRATION_PREFIX)
        registered.pop(target_id, None)
        removed.pop(target_id, None)
        if item.is_removed:
            item_revisions.pop(target_id, None)
            removed[target_id] = True
            continue
        item_revisions[target_id] = item.revision
        try:
            registered[target_id] = decode_registration(item.key, item.value)
        except RegistrationInvalid as error:
            # An invalid entry names no usable target, so the target counts as removed.
            removed[target_id] = True
            problems.append(str(error))
    return TargetUpdate(
        tuple(registered.values()),
        tuple(removed),
        changes.as_of,
        last_change,
        tuple(problems),
        changes.era,
        item_revisions,
    )


def create_store(address: str) -> Registry:
    """Create a client of the store at `IP:port`; it connects with the first call."""
    return Store(address)
