"""Fetches an idempotency ticket from the sidecar that will keep its record."""

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
    """Body of `POST /v1/tickets`: names either a service or a model; the other is empty."""

    service: str = ""
    model: str = ""


async def fetch_ticket(
    entry: Entry, configuration: Configuration, workspace: Workspace, body: bytes
) -> Ticket:
    """Request a ticket from the target that ranks first; if that issues none, from the next.

    Parameters
    ----------
    body : bytes
        Body of the caller's request, JSON as `TicketBody`.

    Raises
    ------
    RequestError
        `BAD_REQUEST` if the body is invalid, `NO_TARGET` if no target issues a ticket, and the
        codes of `find_service` and `find_model` if it names what the workspace can't use.
    """
    ticket_body = _read_body(body)
    work = _placement_work(ticket_body, configuration, workspace)
    targets = capable_targets(work, configuration)
    views = entry.view.for_work(work)
    for candidate in entry.placement.rank(work, entry.data_centre, targets, views):
        request = TicketRequest(workspace.name, ticket_body.service, ticket_body.model)
        ticket = await _request_ticket(entry, candidate.target, request)
        if ticket is not None:
            return ticket
    raise RequestError(ResultCode.NO_TARGET, retry_after_ms=1000)


def _read_body(body: bytes) -> TicketBody:
    try:
        ticket_body = msgspec.json.decode(body, type=TicketBody)
    except msgspec.DecodeError as error:
        raise RequestError(ResultCode.BAD_REQUEST, str(error)) from error
    if bool(ticket_body.service) == bool(ticket_body.model):
        raise RequestError(ResultCode.BAD_REQUEST, "give either service or model")
    return ticket_body


def _placement_work(
    ticket_body: TicketBody, configuration: Configuration, workspace: Workspace
) -> Work:
    """Return a request without content, for the ranking of targets only."""
    if ticket_body.service:
        find_service(configuration, workspace, ticket_body.service)
    else:
        find_model(configuration, workspace, ticket_body.model)
    tier = find_tier(configuration, workspace, "")
    return Work(
        trace_id="",
        configuration=configuration,
        workspace=workspace,
        tier=tier,
        deadline_s=0.0,
        model=ticket_body.model,
        service_path=ticket_body.service,
    )


async def _request_ticket(entry: Entry, target: Target, request: TicketRequest) -> Ticket | None:
    """Return a ticket from one target; None if the target can't be reached or issues none."""
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
