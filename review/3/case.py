"""Answers of the store are lost for some seconds; a key that is taken away later stays in use."""

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Client,
    Gateway,
    Record,
    Server,
    Store,
    configuration,
    has_trouble,
    read_head,
    route,
    run_case,
    service,
    start_gateways,
    start_servers,
    tenant,
)

# The doses of `platform_lost` and of `config_storm` in the site file.
LOST_SHARE = 0.35
LOST_FOR_S = 4.5
CHANGE_EVERY_S = 0.33
CHANGES = 12
CONTACT_S = 3.0
CONFIG_S = 2.0
# Time for which the gateways are asked after the key was taken away.
ASKED_FOR_S = 15.0
ASK_EVERY_S = 0.5
# Time beyond the bounds that the check allows for.
MARGIN_S = 0.5


class LossyStore(Store):
    """A store that loses a share of its answers; their connections return nothing further."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.lost_share = 0.0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_mute = False
        try:
            while (request := await read_head(reader)) is not None:
                status, document = await self._answer(request.start[1])
                if is_mute or random.random() < self.lost_share:
                    is_mute = True
                    self._record.write("store.answer_lost", call=request.start[1])
                    continue
                body = json.dumps(document).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def play(record: Record, scratch: Path, gateways: list[Gateway]) -> bool:
    """Play the case; return whether a request ran on a key that had been taken away."""
    store = LossyStore(record)
    await store.start()
    servers = [Server(record, store, f"i-{number}", "ledger", 6) for number in range(4)]
    await start_servers(servers)
    status_route = route("/status/", "ledger")
    tenants = [tenant("kumasi"), tenant("accra")]
    version = 3

    def publish(published_tenants: list[dict], timeout_ms: int) -> None:
        routes = [status_route | {"timeoutMs": timeout_ms}]
        document = configuration(version, routes, [service("ledger")], published_tenants)
        store.put("op/config", document)

    publish(tenants, 1500)
    await start_gateways(record, scratch, store, gateways)
    if has_trouble():
        store.lost_share = LOST_SHARE
    for _ in range(CHANGES):
        version += 2
        publish(tenants, 1500 + version)
        await asyncio.sleep(CHANGE_EVERY_S)
    await asyncio.sleep(LOST_FOR_S - CHANGES * CHANGE_EVERY_S)
    store.lost_share = 0.0
    record.write("store.stable")
    await asyncio.sleep(CONTACT_S + MARGIN_S)
    version += 2
    publish(tenants[:1], 1500)
    acknowledged_s = record.now_s()
    clients = [
        Client(record, gateway, f"accra-{gateway.name}", "key-accra") for gateway in gateways
    ]
    stale = 0
    while (sent_s := record.now_s()) < acknowledged_s + ASKED_FOR_S:
        statuses = await asyncio.gather(*(client.ask("/status/1") for client in clients))
        if sent_s > acknowledged_s + CONFIG_S + MARGIN_S:
            stale += statuses.count(200)
        await asyncio.sleep(ASK_EVERY_S)
    record.write("check", acknowledged_s=round(acknowledged_s, 3), served_with_removed_key=stale)
    return stale > 0


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
