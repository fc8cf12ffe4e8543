"""An entry and a sidecar in processes of their own, with the platform and a service beside them."""

import json
import resource
import subprocess
import sys
from contextlib import contextmanager
from functools import partial
from typing import NamedTuple

import anyio

from guavawalk.process.http_server import serve_asgi
from guavawalk.tools.plan import Plan, PlannedTarget, plan_parts
from guavawalk.tools.standins.platform import PlatformState, create_platform_app
from guavawalk.tools.standins.service import ServiceState, create_service_app
from guavawalk.version.documents import digest_bytes
from guavawalk.version.publish import published_values, render_documents
from guavawalk.version.types import Service, Tier, Workspace
from soak.fleet import free_ports
from soak.standins import Caller

CENTRE = "a"
SECRET = "secret of the fleet"
# Callers of the crowd use the first service, and ordinary ones the second.
SERVICES = ("x", "o")
# Limits on the descriptors of the processes.
ENTRY_DESCRIPTORS = 1024
SIDECAR_DESCRIPTORS = 128
# The crowd has its time, and the process some to recover; a hung one is reported by this.
TIMEOUT_S = 120


class Address(NamedTuple):
    """An address where a process accepts connections."""

    address: str

    async def caller(self):
        host, port = self.address.split(":")
        return Caller(await anyio.connect_tcp(host, int(port)))


class FleetProcess:
    """An entry or a sidecar; `address` is where callers connect, or entries.

    With `reads_log` its log goes to a file, otherwise to a pipe that nobody reads.
    """

    def __init__(self, folder, role, max_descriptors, reads_log, **settings):
        self.address = settings["listen"]
        limit = (max_descriptors, max_descriptors)
        path = folder / f"{role}.json"
        path.write_text(json.dumps(settings))
        with (folder / f"{role}.log").open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "guavawalk", role, "--settings", str(path)],
                stdout=output if reads_log else subprocess.PIPE,
                stderr=subprocess.STDOUT,
                preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, limit),
            )

    async def caller(self):
        return await Address(self.address).caller()


def plan():
    names = tuple(f"{service}-0" for service in SERVICES)
    workspace = Workspace("w", (digest_bytes(b"k1"),), ("t",), "t", services=SERVICES)
    return Plan(
        data_centres=(CENTRE,),
        entries=(CENTRE,),
        targets=tuple(PlannedTarget(n, CENTRE, service=s) for n, s in zip(names, SERVICES)),
        generations=(),
        tiers=(Tier("t", 0, 10_000, 1_000),),
        models=(),
        services=tuple(Service(service) for service in SERVICES),
        workspaces=(workspace,),
        crossing_ms=1.0,
        api_keys={},
    )


@contextmanager
def killed_at_end(processes):
    """Kill the processes of a list at the end of the block."""
    try:
        yield
    finally:
        for process in processes:
            process.process.kill()
            process.process.communicate()


async def answers(entry):
    """Return whether an ordinary request at an entry is answered by its target."""
    try:
        caller = await entry.caller()
        async with caller.stream:
            return (await caller.ask(path=b"/o/1", method="GET"))[0] == 200
    except OSError:
        return False


def run_with_fleet(folder, scenario, reads_logs=True, **entry_settings):
    """Run `scenario(entry, sidecar)` once an entry serves requests through a sidecar."""

    async def run():
        platform = PlatformState()
        processes = []
        with anyio.fail_after(TIMEOUT_S), killed_at_end(processes):
            async with anyio.create_task_group() as tasks:
                url = await tasks.start(serve_asgi, create_platform_app(platform), "127.0.0.1:0")
                target = await tasks.start(
                    serve_asgi, create_service_app(ServiceState()), "127.0.0.1:0"
                )
                listens = [f"127.0.0.1:{port}" for port in free_ports(2)]
                common = {
                    "data_centre": CENTRE,
                    "platform_url": f"http://{url}",
                    "fleet_secret": SECRET,
                    "start_jitter_ms": 1,
                }
                addresses = {f"{service}-0": listens[0] for service in SERVICES}
                documents = render_documents(1, plan_parts(plan(), addresses))
                platform.publish(published_values(documents))
                target_settings = {
                    "target": "o-0",
                    "target_kind": "service",
                    "target_url": f"http://{target}",
                }
                sidecar = {"instance": "s", "listen": listens[0], **target_settings, **common}
                entry = {"instance": "e", "listen": listens[1], **entry_settings, **common}
                start = partial(FleetProcess, folder, reads_log=reads_logs)
                processes.append(start("sidecar", SIDECAR_DESCRIPTORS, **sidecar))
                processes.append(start("entry", ENTRY_DESCRIPTORS, **entry))
                while not await answers(processes[1]):
                    await anyio.sleep(0.1)
                await scenario(processes[1], processes[0])
                tasks.cancel_scope.cancel()

    anyio.run(run)
