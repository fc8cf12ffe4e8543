"""The messages that links carry; `wire.thrift` defines their encoding.

`suspects`, in several messages, lists requests that were in flight at a target when it died: the
fingerprint of each request, followed by a hash of its target.
"""

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
    """First message from each end of a link.

    Attributes
    ----------
    peer_address : str
        `IP:port` at which the sender accepts links from peers; empty if it accepts none.
    version, digest : int, str
        Those of the configuration in force at the sender; 0 and empty for none.
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
    """Proof, by the nonces of both ends, that the sender knows the secret; see `handshake`."""

    proof: bytes = b""


class Queued(NamedTuple):
    """The attempt is with the sidecar, which also repeats this message as a heartbeat."""

    attempt_id: str = ""
    incarnation: int = 0
    load: LoadReport = LoadReport()
    cached_tokens: int = 0


class Refused(NamedTuple):
    """The sidecar has refused the attempt: it did not run and is not queued.

    Attributes
    ----------
    retry_after_ms : int
        Delay after which a retry may succeed; 0 if none is known.
    """

    attempt_id: str = ""
    code: int = 0
    detail: str = ""
    retry_after_ms: int = 0
    load: LoadReport = LoadReport()
    suspects: tuple[int, ...] = ()


class Started(NamedTuple):
    """The target's answer has begun.

    Attributes
    ----------
    headers : tuple of str
        Alternating names and values.
    queue_ms : int
        Time that the attempt spent in the queue.
    """

    attempt_id: str = ""
    status: int = 0
    headers: tuple[str, ...] = ()
    queue_ms: int = 0


class Chunk(NamedTuple):
    """Bytes of an answer from the byte offset `offset` on."""

    attempt_id: str = ""
    offset: int = 0
    data: bytes = b""


class Finished(NamedTuple):
    """End of an attempt, with its result code and the tokens it used.

    Attributes
    ----------
    length : int
        Length of the complete answer in bytes.
    waste_cause : str
        A `WasteCause`; empty if no tokens were wasted.
    """

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
    """Requests the answer of an attempt again, from byte `offset` on.

    Attributes
    ----------
    link : bytes
        Session id of the link on which the attempt was offered.
    """

    attempt_id: str = ""
    incarnation: int = 0
    offset: int = 0
    link: bytes = b""


class Withdraw(NamedTuple):
    """Withdraws an attempt that does not run yet.

    Attributes
    ----------
    cancel : bool
        Whether to cancel the attempt also if it runs.
    link : bytes
        Session id of the link on which the attempt was offered.
    """

    attempt_id: str = ""
    incarnation: int = 0
    cancel: bool = False
    link: bytes = b""


class Withdrawn(NamedTuple):
    """Result of a withdrawal; `state` is the `AttemptState` in which the attempt was found."""

    attempt_id: str = ""
    state: int = 0
    code: int = 0


class TicketRequest(NamedTuple):
    """Requests an idempotency ticket for a model or a service."""

    workspace: str = ""
    service_path: str = ""
    model: str = ""


class Ticket(NamedTuple):
    """A ticket for one call that runs at most once."""

    ticket: str = ""
    expires_in_ms: int = 0


class LoadRequest(NamedTuple):
    """Requests a load report."""

    suspects: tuple[int, ...] = ()


class VersionRequest(NamedTuple):
    """Requests a configuration version above `above`, with a wait of up to `wait_ms` for one."""

    above: int = 0
    wait_ms: int = 0
    suspects: tuple[int, ...] = ()


class VersionOffer(NamedTuple):
    """The configuration version in force at the sender.

    Attributes
    ----------
    root : bytes
        Root document, deflated; empty if the version isn't above the one in the request.
    """

    version: int = 0
    digest: str = ""
    root: bytes = b""
    shard_digests: tuple[str, ...] = ()
    suspects: tuple[int, ...] = ()


class ShardRequest(NamedTuple):
    """Requests one shard of the configuration version in force."""

    digest: str = ""


class Shard(NamedTuple):
    """One shard, deflated; the deflated empty value if the sender doesn't hold the shard."""

    digest: str = ""
    value: bytes = b""


class Failure(NamedTuple):
    """The exchange failed, with a result code."""

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
