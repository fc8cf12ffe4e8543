"""One client asks for a version of the weights that no server has; others must still be served."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage_3 import (  # noqa: E402
    BROKEN,
    HELD,
    UNFIT,
    Client,
    Gateway,
    Server,
    Store,
    configuration,
    run_case,
)

SERVICE = "brushmodel"
WEIGHTS = "1"
REQUESTS = 60
# The rule counts from this number of requests on; served less than this part as often breaks it.
LEAST_REQUESTS = 20
LEAST_SHARE = 0.25


async def work(server, request, echo):
    """Run a request, unless it asks for other weights."""
    wanted = request.header("Expect-Version")
    if wanted not in ("", WEIGHTS):
        server.record.write(f"421 to {request.header('Request-Id')} at {server.server_id}")
        return 421, [*echo, ("Not-Executed", "1")], b""
    server.runs.append(request.header("Request-Id"))
    await asyncio.sleep(0.02)
    return 200, [*echo, ("Server-Stamp", "stamp"), ("Weight-Versions", WEIGHTS)], b"done"


def with_added_route(version):
    """Return a configuration with one more route, to a service of its own."""
    document = configuration(version)
    route = document["routes"][1] | {"name": "photo", "prefix": "/photo/", "service": SERVICE}
    document["routes"].append(route)
    document["services"].append({"name": SERVICE, "healthPath": "/healthz", "maxConnections": 370})
    return document


async def ask(record, gateway, request_id, path, headers=()):
    """Send one request and return its status."""
    client = await Client.connect(gateway.address)
    await client.send(request_id, path, "GET", headers=headers)
    answer = await client.receive()
    client.close()
    record.write(f"{request_id} {path} {dict(headers)}: {answer.status} {answer.problem}")
    return answer.status


async def play(record, folder, gateways, has_trouble):
    """Add a route, send one request with `Expect-Version`, then sound ones on both routes."""
    store = Store()
    await store.start()
    servers = [Server(f"i-{number}", record, work) for number in range(1, 7)]
    for number, server in enumerate(servers):
        server.service = "commission-desk" if number < 3 else SERVICE
        await server.start()
        store.put(f"servers/{server.server_id}", server.entry())
    store.put("op/config", configuration(5))
    gateway = Gateway(folder, "edge-1", store)
    gateways.append(gateway)
    gateway.start([gateway.control])
    await gateway.wait_ready()
    await asyncio.sleep(1.0)
    store.put("op/config", with_added_route(7))
    await asyncio.sleep(3.0)
    if await ask(record, gateway, "before", "/photo/0") != 200:
        return UNFIT

    headers = (("Expect-Version", "2"),) if has_trouble else ()
    await ask(record, gateway, "versioned", "/photo/1", headers)
    served = {"/status/": 0, "/photo/": 0}
    for number in range(REQUESTS):
        for prefix in served:
            request_id = f"{prefix.strip('/')}-{number}"
            served[prefix] += await ask(record, gateway, request_id, f"{prefix}{number}") == 200
        await asyncio.sleep(0.3)
    record.write(
        f"served of {REQUESTS}: first route {served['/status/']}, added {served['/photo/']}"
    )
    is_broken = REQUESTS >= LEAST_REQUESTS and served["/photo/"] < LEAST_SHARE * served["/status/"]
    return BROKEN if is_broken else HELD


run_case(play)
