"""The typed messages of a link; `wire.thrift` is their encoding."""

from typing import NamedTuple

from guavawalk.request.types import LoadReport, Offer

__all__ = [
    "PROTOCOL_VERSION",
    "Chunk",
    "Failure",
    "Finished",
    "Hello",
    "LoadReport",
    "LoadRequest",
    "Message",
    "Offer",
    "Proof",
    "Queued",
    "Refused",
    "Resume",
    "Shard",
    "ShardRequest",
    "Started",
    "Ticket",
    "TicketRequest",
    "VersionOffer",
    "VersionRequest",
    "Withdraw",
    "Withdrawn",
]

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First message of either end of a link.

    Attributes
    ----------
    peer_address : str
        Where the sender takes links from peers; empty if it takes none.
    """

    protocol_version: int = 0
    role: str = ""
    instance: str = ""
    incarnation: int = 0
    version: int = 0
    digest: str = ""
    nonce: bytes = b""
    peer_address: str = ""


class Proof(NamedTuple):
    """Answer to the other end's nonce; see `connection.handshake`."""

    proof: bytes = b""


class Queued(NamedTuple):
    """The sidecar holds the attempt in its queue."""

    attempt_id: str = ""
    incarnation: int = 0
    load: LoadReport = LoadReport()
    cached_tokens: int = 0


class Refused(NamedTuple):
    """The attempt was not run and is not held."""

    attempt_id: str = ""
    code: int = 0
    detail: str = ""
    retry_after_ms: int = 0
    load: LoadReport = LoadReport()
    suspects: tuple[int, ...] = ()


class Started(NamedTuple):
    """The target's answer has begun."""

    attempt_id: str = ""
    status: int = 0
    headers: tuple[str, ...] = ()
    queue_ms: int = 0


class Chunk(NamedTuple):
    """Bytes of an answer from `offset` on."""

    attempt_id: str = ""
    offset: int = 0
    data: bytes = b""


class Finished(NamedTuple):
    """End of an attempt, with its code and what it used."""

    attempt_id: str = ""
    code: int = 0
    detail: str = ""
    length: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    wasted_tokens: int = 0
    waste_cause: str = ""
    load: LoadReport = LoadReport()
    suspects: tuple[int, ...] = ()
    first_token_ms: int = 0
    retry_after_ms: int = 0


class Resume(NamedTuple):
    """Ask for an attempt's answer again, from `offset` on; `link` is where it was offered."""

    attempt_id: str = ""
    incarnation: int = 0
    offset: int = 0
    link: bytes = b""


class Withdraw(NamedTuple):
    """Take an attempt back, with `cancel` also when it runs; `link` is where it was offered."""

    attempt_id: str = ""
    incarnation: int = 0
    cancel: bool = False
    link: bytes = b""


class Withdrawn(NamedTuple):
    """What the withdrawal found; `state` is an `AttemptState`."""

    attempt_id: str = ""
    state: int = 0
    code: int = 0


class TicketRequest(NamedTuple):
    """Ask for an idempotency ticket."""

    workspace: str = ""
    service_path: str = ""
    model: str = ""


class Ticket(NamedTuple):
    """A ticket for one call that runs at most once."""

    ticket: str = ""
    expires_in_ms: int = 0


class LoadRequest(NamedTuple):
    """Ask for a load report."""

    suspects: tuple[int, ...] = ()


class VersionRequest(NamedTuple):
    """Ask for a version above `above`, waiting up to `wait_ms` for one."""

    above: int = 0
    wait_ms: int = 0
    suspects: tuple[int, ...] = ()


class VersionOffer(NamedTuple):
    """The version in force; `root` is deflated, and empty if it isn't above the one asked for."""

    version: int = 0
    digest: str = ""
    root: bytes = b""
    shard_digests: tuple[str, ...] = ()
    suspects: tuple[int, ...] = ()


class ShardRequest(NamedTuple):
    """Ask for one shard of the version in force."""

    digest: str = ""


class Shard(NamedTuple):
    """One shard, deflated; empty when it isn't held."""

    digest: str = ""
    value: bytes = b""


class Failure(NamedTuple):
    """The exchange failed with a numbered code."""

    code: int = 0
    detail: str = ""


Message = (
    Hello
    | Proof
    | LoadReport
    | Offer
    | Queued
    | Refused
    | Started
    | Chunk
    | Finished
    | Resume
    | Withdraw
    | Withdrawn
    | TicketRequest
    | Ticket
    | LoadRequest
    | VersionRequest
    | VersionOffer
    | ShardRequest
    | Shard
    | Failure
)
