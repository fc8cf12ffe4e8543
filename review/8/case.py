"""Case 8: a server that left while the gateways that watch the store restarted is used on."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage_2

FOLDER = Path(__file__).resolve().parent
# The machines of the site, with the spare one of the first zone added.
ZONES = ["bc-coast-a"] * 3 + ["bc-coast-b"] * 2 + ["bc-coast-c"]
SERVICE = "commission-desk"
DRAIN_S = 2.0
CONTACT_S = 3.0
# Time from the kill of a process until the platform starts it again.
RESTART_S = 0.15
# Time for which the server that leaves serves on after its entry was removed, and then exits.
SERVES_ON_S = 6.0
# Time of work of a booking or a look-up, as in the site file.
WORK_S = 0.03


def configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        "name": "r-booking",
        "hostname": stage_2.HOST,
        "prefix": "/booking/",
        "routeType": "unsafe",
        "timeoutMs": 1000,
        "latencyGoalMs": 250,
        "priority": 2,
        "service": SERVICE,
        "maxAttempts": 1,
        "anonymous": False,
    }
    status = {**route, "name": "r-status", "prefix": "/status/", "routeType": "safe"}
    return {
        "version": 7,
        "routes": [route, {**status, "maxAttempts": 2}],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConnections": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": [stage_2.KEY], "priority": 1}],
    }


async def load(record, gateway, sent: dict, stop: asyncio.Event) -> None:
    """Send bookings and look-ups to a gateway, 10 each second, until stopped."""

    async def send(number: int) -> None:
        request_id = f"{gateway.name}-{number}"
        sent[request_id] = (record.now_s(), gateway)
        headers = {
            "Request-Id": request_id,
            "Deadline-Ms": "1000",
            "Authorization": f"Bearer {stage_2.KEY}",
        }
        method, path = ("POST", "/booking/1") if number % 2 else ("GET", "/status/1")
        answer = await stage_2.ask(gateway.port, method, path, headers, timeout_s=1.5)
        record.add(f"client {request_id} got {answer[0] if answer else 'no answer'}")

    async with asyncio.TaskGroup() as tasks:
        number = 0
        while not stop.is_set():
            number += 1
            tasks.create_task(send(number))
            await asyncio.sleep(0.1)


def watchers(store, links, gateways) -> list:
    """Return the gateways that have watched the store in the last seconds."""
    recent_s = time.monotonic() - CONTACT_S
    recent = {port for port, at_s in store.watched_s.items() if at_s > recent_s}
    return [one for one, link in zip(gateways, links) if link.far_ports & recent]


async def case(record, folder: Path, has_trouble: bool) -> bool:
    """Play the case; return whether a request reached the server that has left too late."""
    store = stage_2.Store()
    await store.start()
    places = ("bc-coast-b", "bc-coast-c")
    servers = [stage_2.Server(record, f"i-{place}", SERVICE, WORK_S) for place in places]
    leaving = stage_2.Server(record, "i-leaving", SERVICE, WORK_S)
    for server in (*servers, leaving):
        await server.start()
    store.put("op/config", configuration())
    for server, place in zip(servers, places):
        store.put(f"servers/{server.server_id}", server.entry(place))
    links = [stage_2.Proxy(store.port) for _ in ZONES]
    for link in links:
        await link.start()
    gateways = stage_2.start_gateways(ZONES, [link.port for link in links], folder)
    sent: dict = {}
    stop = asyncio.Event()
    try:
        for gateway in gateways:
            gateway.start(is_first=True)
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(2)
        store.put("servers/i-leaving", leaving.entry(ZONES[0]))
        record.add("i-leaving registers")
        loads = [asyncio.create_task(load(record, one, sent, stop)) for one in gateways]
        await asyncio.sleep(4)
        killed = watchers(store, links, gateways) if has_trouble else []
        for gateway in killed:
            gateway.kill()
            record.add(f"{gateway.name}, which watches the store, is killed")
        await asyncio.sleep(RESTART_S / 2)
        store.remove("servers/i-leaving")
        removed_s = record.now_s()
        record.add("the store has removed the entry of i-leaving; it serves on")
        await asyncio.sleep(RESTART_S / 2)
        for gateway in killed:
            gateway.start()
            record.add(f"{gateway.name} is started again")
        await asyncio.sleep(removed_s + SERVES_ON_S - record.now_s())
        leaving.stop()
        record.add("i-leaving exits")
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*loads)
    finally:
        for gateway in gateways:
            gateway.kill()
    late = 0
    for arrived_s, request_id, _ in leaving.arrivals:
        sent_s, gateway = sent[request_id]
        in_touch_from_s = gateway.started_s - record.began_s + CONTACT_S
        if arrived_s > removed_s + DRAIN_S and sent_s > in_touch_from_s:
            late += 1
            record.add(
                f"{request_id} reached i-leaving {arrived_s - removed_s:.2f} s after it left"
            )
    record.add(f"{len(leaving.arrivals)} requests reached i-leaving, {late} of them too late")
    return late > 0


if __name__ == "__main__":
    stage_2.finish(case, FOLDER, has_trouble=os.environ.get("TROUBLE", "1") != "0")
