"""Fetching an idempotency ticket from the sidecar that will keep its record."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from guavawalk.codes import ResultCode
from guavawalk.connection.messages import Ticket, TicketRequest
from guavawalk.exception import LinkBroken, LinkRefused, RequestError
from guavawalk.request.placement import capable_targets
from guavawalk.request.rules import find_model, find_service, find_tier
from guavawalk.request.types import Work
from guavawalk.version.types import Configuration, Target, Workspace

if TYPE_CHECKING:
    from guavawalk.process.entry.state import Entry

__all__ = ["TicketBody", "fetch_ticket"]

REPLY_TIMEOUT_S = 3.0


class TicketBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/tickets`: one of the two is given."""

    service: str = ""
    model: str = ""


async def fetch_ticket(
    entry: Entry, configuration: Configuration, workspace: Workspace, body: bytes
) -> Ticket:
    """Ask the target that would be chosen now for a ticket.

    Raises
    ------
    RequestError
        If the body is bad, the workspace may not use what it names, or no target answers.
    """
    wanted = _read_body(body)
    work = _work_of(wanted, configuration, workspace)
    targets = capable_targets(work, configuration)
    views = entry.view.for_work(work)
    for candidate in entry.placement.rank(work, entry.data_centre, targets, views):
        request = TicketRequest(workspace.name, wanted.service, wanted.model)
        ticket = await _ask(entry, candidate.target, request)
        if ticket is not None:
            return ticket
    raise RequestError(ResultCode.NO_TARGET, retry_after_ms=1000)


def _read_body(body: bytes) -> TicketBody:
    try:
        wanted = msgspec.json.decode(body, type=TicketBody)
    except msgspec.DecodeError as error:
        raise RequestError(ResultCode.BAD_REQUEST, str(error)) from error
    if bool(wanted.service) == bool(wanted.model):
        raise RequestError(ResultCode.BAD_REQUEST, "give either service or model")
    return wanted


def _work_of(wanted: TicketBody, configuration: Configuration, workspace: Workspace) -> Work:
    if wanted.service:
        find_service(configuration, workspace, wanted.service)
    else:
        find_model(configuration, workspace, wanted.model)
    tier = find_tier(configuration, workspace, "")
    return Work(
        trace_id="",
        configuration=configuration,
        workspace=workspace,
        tier=tier,
        deadline_s=0.0,
        model=wanted.model,
        service_path=wanted.service,
    )


async def _ask(entry: Entry, target: Target, request: TicketRequest) -> Ticket | None:
    try:
        link = await entry.links.acquire(target.sidecar)
    except LinkRefused:
        entry.view.record_unreachable(target.name)
        return None
    try:
        with anyio.fail_after(REPLY_TIMEOUT_S):
            await link.send(request)
            reply = await link.receive()
    except (LinkBroken, TimeoutError):
        await link.aclose()
        return None
    await entry.links.release(target.sidecar, link)
    return reply if isinstance(reply, Ticket) else None
