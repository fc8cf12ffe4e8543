"""Two machines lose their link to the store; the others of the zone must still drop a key."""

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
    Link,
    Server,
    Store,
    configuration,
    run_case,
)

CONFIG_S = 2.0
# The cut ends within the 4.0 s that the site file has for two at once.
PLAY_S = 3.5
GATEWAYS = 4


async def work(server, request, echo):
    """Run a status request."""
    server.runs.append(request.header("Request-Id"))
    await asyncio.sleep(0.02)
    return 200, [*echo, ("Server-Stamp", "stamp")], b"done"


async def ask(record, gateway, request_id, acknowledged_s):
    """Send one status request with the dropped key; return when it was sent."""
    client = await Client.connect(gateway.address)
    sent_s = record.now_s()
    await client.send(request_id, "/status/1", "GET")
    answer = await client.receive()
    client.close()
    record.write(
        f"{request_id} at {gateway.name}, sent {sent_s - acknowledged_s:.3f} s after the"
        f" acknowledgement: {answer.status} {answer.problem}"
    )
    return sent_s


async def play(record, folder, gateways, has_trouble):
    """Cut the machines that watch the store, take the key away, and ask the others with it."""
    store = Store()
    await store.start()
    servers = [Server(f"i-{number}", record, work) for number in (1, 2, 3, 4)]
    for server in servers:
        await server.start()
    for server in servers[:3]:
        store.put(f"servers/{server.server_id}", server.entry())
    store.put("op/config", configuration(5))
    links = [Link(store.address) for _ in range(GATEWAYS)]
    for number, link in enumerate(links, 1):
        await link.start()
        gateways.append(Gateway(folder, f"edge-{number}", link))
    for gateway in gateways:
        gateway.start([gateway.control for gateway in gateways[:3]])
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    for link in links:
        link.watches = 0
    await asyncio.sleep(4.0)
    cut = [number for number, link in enumerate(links) if link.watches]
    record.write(f"machines that watch the store: {[gateways[number].name for number in cut]}")
    if len(cut) != 2:
        return UNFIT

    # Planned work: a server is added, and the configuration changes twice.
    for number in cut:
        links[number].watches = 0
    store.put("servers/i-4", servers[3].entry())
    store.put("op/config", configuration(7))
    async with asyncio.timeout(1.0):
        while any(links[number].watches < 2 for number in cut):
            await asyncio.sleep(0.005)
    if has_trouble:
        for number in cut:
            links[number].cut()
        record.write("cut")
    dropped = configuration(9)
    dropped["tenants"][0]["apiKeys"] = ["k-studio-2"]
    store.put("op/config", dropped)
    acknowledged_s = record.now_s()
    record.write("the configuration without the key is acknowledged")

    in_touch = [gateway for number, gateway in enumerate(gateways) if number not in cut]
    sent = {}
    while record.now_s() < acknowledged_s + PLAY_S:
        for gateway in in_touch:
            request_id = f"r{len(sent)}"
            sent[request_id] = await ask(record, gateway, request_id, acknowledged_s)
        await asyncio.sleep(0.02)
    for link in links:
        link.heal()
    record.write("healed")
    runs = {request_id for server in servers for request_id in server.runs}
    late = [each for each in runs if sent[each] > acknowledged_s + CONFIG_S]
    record.write(
        f"{len(sent)} sent with the dropped key, {len(runs)} run, {len(late)} of them late"
    )
    for request_id in late:
        record.write(f"late: {request_id}, {sent[request_id] - acknowledged_s:.3f} s")
    return BROKEN if late else HELD


run_case(play)
