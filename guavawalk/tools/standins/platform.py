"""The platform stand-in: configuration service and instance list, over HTTP."""

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["PlatformState", "create_platform_app"]


class PlatformState:
    """What is published, and faults on demand.

    Attributes
    ----------
    reads : int
        Calls answered; a waiting watch counts as one.
    stale : bool
        While set, readers get the values as they were when it was set.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.instances: list[dict] = []
        self.revision = 0
        self.reads = 0
        self.down = False
        self._first: dict[str, tuple[bytes, int]] | None = None
        self._frozen: dict[str, tuple[bytes, int]] | None = None
        self._changed = anyio.Event()

    def publish(self, values: dict[str, bytes]) -> None:
        """Publish values in the order given, the root last."""
        for key, value in values.items():
            self.revision += 1
            self.values[key] = (value, self.revision)
        if self._first is None:
            self._first = dict(self.values)
        self._wake()

    def set_stale(self, stale: bool) -> None:
        """Freeze what readers see, or show the present again."""
        self._frozen = dict(self.values) if stale else None
        self._wake()

    def serve_initial_values(self) -> None:
        """Show readers what was published first, as a replica restored from an old copy does."""
        self._frozen = self._first
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def read(self, key: str) -> tuple[bytes, int] | None:
        """Return what a reader sees."""
        values = self.values if self._frozen is None else self._frozen
        return values.get(key)

    async def wait(self, key: str, after: int, wait_s: float) -> tuple[bytes, int] | None:
        """Wait for a revision above `after`."""
        with anyio.move_on_after(wait_s):
            while True:
                found = self.read(key)
                if found is not None and found[1] > after:
                    return found
                await self._changed.wait()
        return None


def create_platform_app(state: PlatformState) -> Starlette:
    """Create the HTTP face of the platform."""

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
