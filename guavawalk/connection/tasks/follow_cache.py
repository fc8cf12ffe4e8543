"""The task that polls the engine for events of its prefix cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from guavawalk.connection.target import EngineClient
from guavawalk.exception import TargetError

if TYPE_CHECKING:
    from guavawalk.process.sidecar.state import Sidecar

__all__ = ["follow_cache"]

POLL_INTERVAL_S = 1.0


async def follow_cache(sidecar: Sidecar, engine: EngineClient) -> None:
    """Apply the engine's cache events to the prefix index until cancelled.

    Notes
    -----
    The engine is polled only if it has computed prompt tokens since the last poll. An error of
    the engine is ignored: the next poll reads the same events and the later ones.
    """
    computed_tokens = -1
    while True:
        await anyio.sleep(POLL_INTERVAL_S)
        if sidecar.waste.computed_tokens == computed_tokens:
            continue
        computed_tokens = sidecar.waste.computed_tokens
        try:
            new_events = await engine.cache_events(sidecar.prefixes.last_sequence)
        except TargetError:
            continue
        sidecar.prefixes.apply_events(new_events)
