"""Stand-in of the platform over HTTP: configuration service and instance list."""

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["PlatformState", "create_platform_app"]


class PlatformState:
    """Published values and instances, and faults that can be switched on and off.

    Attributes
    ----------
    values : dict of str to tuple
        Value and revision of each key.
    revision : int
        Revision of the last published value; 0 before the first.
    reads : int
        Calls received; a watch counts as one.
    down : bool
        Whether calls fail.
    loses_answers : bool
        Whether answers are lost, so that their clients learn of it only by a time-out.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.instances: list[dict] = []
        self.revision = 0
        self.reads = 0
        self.down = False
        self.loses_answers = False
        self._initial_values: dict[str, tuple[bytes, int]] | None = None
        self._frozen_values: dict[str, tuple[bytes, int]] | None = None
        self._changed = anyio.Event()

    def publish(self, values: dict[str, bytes]) -> None:
        """Publish values in the given order, which has to end with the root."""
        for key, value in values.items():
            self.revision += 1
            self.values[key] = (value, self.revision)
        if self._initial_values is None:
            self._initial_values = dict(self.values)
        self._notify_readers()

    def set_stale(self, stale: bool) -> None:
        """Freeze the values that readers get if `stale` is set; otherwise end the freeze."""
        self._frozen_values = dict(self.values) if stale else None
        self._notify_readers()

    def serve_initial_values(self) -> None:
        """Give readers the first published values, like a replica restored from an old copy."""
        self._frozen_values = self._initial_values
        self._notify_readers()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def read(self, key: str) -> tuple[bytes, int] | None:
        """Return value and revision that a reader gets, or None if there is no value."""
        values = self.values if self._frozen_values is None else self._frozen_values
        return values.get(key)

    async def wait(self, key: str, after: int, wait_s: float) -> tuple[bytes, int] | None:
        """Wait for a revision above `after`; return None if none comes within `wait_s`."""
        with anyio.move_on_after(wait_s):
            while True:
                found = self.read(key)
                if found is not None and found[1] > after:
                    return found
                await self._changed.wait()
        return None


def create_platform_app(state: PlatformState) -> Starlette:
    """Create the HTTP application of the platform."""

    async def config(request: Request) -> Response:
        state.reads += 1
        if state.down:
            return Response(status_code=503)
        key = request.path_params["key"]
        after = int(request.query_params.get("after", "-1"))
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1000
        found = await state.wait(key, after, wait_s) if wait_s else state.read(key)
        if found is None:
            return Response(status_code=204 if wait_s else 404)
        return Response(found[0], headers={"x-revision": str(found[1])})

    async def instances(request: Request) -> Response:
        state.reads += 1
        if state.down:
            return Response(status_code=503)
        return JSONResponse(state.instances)

    return Starlette(
        routes=[Route("/v1/config/{key:path}", config), Route("/v1/instances", instances)]
    )
