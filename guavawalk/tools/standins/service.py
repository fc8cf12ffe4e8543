"""Stand-in of a plain service that counts the calls it ran."""

import json
from collections import Counter

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["ServiceState", "create_service_app"]


class ServiceState:
    """Number of calls run, by reference; a call other than GET takes `work_time_s`."""

    def __init__(self, work_time_s: float = 0.005) -> None:
        self.work_time_s = work_time_s
        self.run_counts: Counter[str] = Counter()


def create_service_app(state: ServiceState) -> Starlette:
    """Create a service that counts calls by their reference; a GET returns the total."""

    async def post(request: Request) -> Response:
        document = json.loads(await request.body())
        state.run_counts[document["reference"]] += 1
        await anyio.sleep(state.work_time_s)
        return JSONResponse({"recorded": document["reference"], "path": request.url.path}, 201)

    async def get(request: Request) -> Response:
        return JSONResponse({"path": request.url.path, "recorded": sum(state.run_counts.values())})

    routes = [
        Route("/{path:path}", post, methods=["POST", "PUT", "PATCH", "DELETE"]),
        Route("/{path:path}", get, methods=["GET"]),
    ]
    return Starlette(routes=routes)
