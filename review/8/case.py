"""Callers send long bodies at once: the gateways keep them all, and are killed for their memory."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage

# Below `maxBodyBytes` of the configuration, which is 4,194,304.
BODY_BYTES, SHORT_BODY_BYTES = 4_000_000, 4_000
# The clients of a zone on the site's sheet are up to 31; a burst is up to twice the traffic.
CALLERS = 62
ROUNDS = 3
# Time that a server works on a request, in seconds; the route's time-out is 15 s.
WORK_S = 3.0
# The platform kills a process that exceeds its memory, and starts it again.
MEMORY_MB = 300
RESTART_S = 1.0


async def play(record, folder, trouble):
    """Play the case; return its exit code."""
    store = stage.Store(record)
    await store.start()
    routes = [stage.route("payout", "ledger", "unsafe", timeout_ms=15000)]
    tenants = [{"name": "tenant", "apiKeys": ["key-of-tenant"]}]
    store.put("op/config", stage.configuration(3, routes, ["ledger"], tenants))
    servers = [stage.Server(store, "ledger", zone, 40, WORK_S) for zone in "abab"]
    for server in servers:
        await server.start()
    gateways = [stage.GatewayProcess(n, zone, store, folder) for n, zone in enumerate("ab")]
    ends = dict.fromkeys((gateway.name for gateway in gateways), 0)
    most_mb = 0.0
    answers = {}

    async def platform(gateway):
        nonlocal most_mb
        while True:
            memory_mb = gateway.memory_mb()
            most_mb = max(most_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                ends[gateway.name] += 1
                await gateway.kill()
                record.say(f"{gateway.name} is killed at {memory_mb:.0f} MB")
                await asyncio.sleep(RESTART_S)
                gateway.bootstrap = False
                await gateway.start()
            await asyncio.sleep(0.02)

    async def send(gateway, request_id, body):
        headers = [
            ("Request-Id", request_id),
            ("Authorization", "Bearer key-of-tenant"),
            ("Deadline-Ms", "15000"),
        ]
        answer = await stage.ask(gateway.listen, "POST", "/payout/1", headers, body, 16.0)
        answers[request_id] = None if answer is None else answer[0]
        record.write(f"client gets {answers[request_id]} for {request_id}")

    body = bytes(BODY_BYTES if trouble else SHORT_BODY_BYTES)
    platforms = []
    try:
        for gateway in gateways:
            gateway.seeds = [other.control for other in gateways]
            await gateway.start()
        platforms = [asyncio.create_task(platform(gateway)) for gateway in gateways]
        for number in range(ROUNDS):
            for gateway in gateways:
                await gateway.wait_ready()
            async with asyncio.TaskGroup() as tasks:
                for gateway in gateways:
                    for caller in range(CALLERS):
                        request_id = f"{gateway.name}-{number}-{caller}"
                        tasks.create_task(send(gateway, request_id, body))
    finally:
        for task in platforms:
            task.cancel()
        for gateway in gateways:
            await gateway.kill()

    ran = {request_id for server in servers for _, request_id, _ in server.runs}
    lost = sum(answers[request_id] is None for request_id in ran if request_id in answers)
    served = sum(status == 200 for status in answers.values())
    record.say(f"{len(answers)} requests, {served} served; most memory {most_mb:.0f} MB")
    record.say(f"ends over the memory limit: {ends}; {lost} requests ran and got no answer")
    return stage.EXIT_BROKEN if min(ends.values()) >= ROUNDS else stage.EXIT_HELD


if __name__ == "__main__":
    stage.main(Path(__file__).resolve().parent, play)
