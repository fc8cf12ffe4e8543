"""The store loses answers for 4.5 s; afterwards gateways hear of no change for up to 29 s."""

import asyncio
import os
from pathlib import Path

import stage

# Whether the store is slow and silent; the changes are made in any case.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Doses of the site file: answers take 88 times as long, and the store is silent for 4.5 s.
SLOW_S, SLOW_X, SILENT_S = 2.5, 88.0, 4.5
# Time within which the last changes before the silence are made, in seconds.
LAST_CHANGES_S = 0.2
WATCHED_S = 8.0
KEYS = {"first": "key-of-first", "second": "key-of-second"}


def configuration(version, tenants, timeout_ms=3000):
    """Return a version with one route and some tenants."""
    rows = [{"name": name, "apiKeys": [KEYS[name]]} for name in tenants]
    routes = [stage.route("status", "ledger", timeout_ms=timeout_ms)]
    return stage.configuration(version, routes, ["ledger"], rows)


async def play(record, folder, trouble):
    """Play the case; return its exit code."""
    store = stage.Store(record)
    await store.start()
    store.put("op/config", configuration(3, KEYS))
    servers = [stage.Server(store, "ledger", zone) for zone in ("a", "b", "a")]
    for server in servers:
        await server.start()
    gateways = [stage.GatewayProcess(n, zone, store, folder) for n, zone in enumerate("ab")]
    for gateway in gateways:
        gateway.seeds = [other.control for other in gateways]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        return await _play(record, store, servers, gateways, trouble)
    finally:
        for gateway in gateways:
            await gateway.kill()


async def _play(record, store, servers, gateways, trouble):
    sent = {}

    async def press(gateway, tenant):
        for number in range(10**6):
            request_id = f"{gateway.name}-{tenant}-{number}"
            headers = [
                ("Request-Id", request_id),
                ("Authorization", f"Bearer {KEYS[tenant]}"),
                ("Deadline-Ms", "3000"),
            ]
            at = record.now()
            record.write(f"client sends {request_id}")
            answer = await stage.ask(gateway.listen, "GET", "/status/1", headers)
            status = None if answer is None else answer[0]
            record.write(f"client gets {status} for {request_id}")
            sent[request_id] = (at, tenant, status)
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(press(g, tenant)) for g in gateways for tenant in KEYS]
    await asyncio.sleep(4.0)
    if trouble:
        record.say("the store is slow")
        store.latency_s *= SLOW_X
    await asyncio.sleep(SLOW_S - LAST_CHANGES_S)
    record.say("the operator changes a time-out, and a further server registers")
    store.put("op/config", configuration(5, KEYS, timeout_ms=2900))
    further = stage.Server(store, "ledger", "b")
    await further.start()
    await asyncio.sleep(LAST_CHANGES_S)
    if trouble:
        record.say("the store is silent")
        store.is_silent = True
    await asyncio.sleep(SILENT_S)
    store.is_silent, store.latency_s = False, 0.004
    record.say("the store is sound")
    contact_s = stage.BOUNDS["contactMs"] / 1000
    await asyncio.sleep(contact_s + 0.5)
    revoked_at = store.put("op/config", configuration(9, ["first"]))
    left_at = servers[0].register("draining")
    record.say(f"acknowledged: the second tenant's key is taken away; {servers[0].id} drains")
    await asyncio.sleep(WATCHED_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)

    config_s, drain_s = stage.BOUNDS["configMs"] / 1000, stage.BOUNDS["drainMs"] / 1000
    ran = {request_id for server in (*servers, further) for _, request_id, _ in server.runs}
    late_keys = [
        request_id
        for request_id, (at, tenant, _) in sent.items()
        if tenant == "second" and at > revoked_at + config_s and request_id in ran
    ]
    late_runs = [
        request_id
        for at, request_id, _ in servers[0].runs
        if at > left_at + drain_s and sent.get(request_id, (0,))[0] > left_at + drain_s
    ]
    served = sum(status == 200 for _, _, status in sent.values())
    record.say(f"{len(sent)} requests, {served} served; {store.lost} answers of the store lost")
    record.say(f"CONFIG: {len(late_keys)} ran with the key later than configMs after it was taken")
    record.say(f"DRAIN: {len(late_runs)} reached the server later than drainMs after it drained")
    if served < 100:
        return stage.EXIT_NOT_RUN
    return stage.EXIT_BROKEN if late_keys or late_runs else stage.EXIT_HELD


if __name__ == "__main__":
    stage.main(Path(__file__).resolve().parent, play, TROUBLE)
