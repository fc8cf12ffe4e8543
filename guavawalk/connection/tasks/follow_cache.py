"""The task of the connection to the engine's cache events."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk.connection.target import EngineClient
from guavawalk.exception import TargetError

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["follow_cache"]

PERIOD_S = 1.0


async def follow_cache(sidecar: Sidecar, engine: EngineClient) -> None:
    """Correct the prefix index by the engine's events, for as long as the process lives.

    Notes
    -----
    An engine to which nothing was sent since the last time is not asked.
    """
    computed_tokens = -1
    while True:
        await anyio.sleep(PERIOD_S)
        if sidecar.waste.computed_tokens == computed_tokens:
            continue
        computed_tokens = sidecar.waste.computed_tokens
        try:
            found = await engine.cache_events(sidecar.prefixes.last_sequence)
        except TargetError:
            continue
        sidecar.prefixes.apply_events(found)
