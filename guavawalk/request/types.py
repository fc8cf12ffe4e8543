"""Types that describe one request at the entry and at the sidecar."""

from typing import NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.request.call import SharedPart
from guavawalk.version.types import Configuration, Tier, Workspace

__all__ = ["LoadReport", "Offer", "Outcome", "Usage", "Work"]


class Work(NamedTuple):
    """A caller's validated request inside an entry.

    Attributes
    ----------
    configuration : Configuration
        Version under which the request was admitted; it applies even after a newer version.
    deadline_s : float
        On this process's monotonic clock.
    model, service_path : str
        Requested model, or path of the requested plain service; the other one is empty.
    adapter : str
        Adapter that the model has to have loaded; empty for none.
    headers : tuple of str
        Names and values, alternating, that are sent on to the target.
    idempotency_key : str
        Ticket of the request; empty without one.
    prompt_tokens, expected_output_tokens : int
        Estimates; 0 for a plain service.
    fingerprint : int
        64-bit hash of workspace and body.
    prefix_hashes : tuple of int
        64-bit hash of each block prefix of the prompt, shortest first.
    max_output_tokens : int
        The caller's own limit on the answer; 0 if it set none.
    shared_parts : tuple of SharedPart
        The messages of a chat but the last.
    """

    trace_id: str
    configuration: Configuration
    workspace: Workspace
    tier: Tier
    deadline_s: float
    model: str = ""
    adapter: str = ""
    service_path: str = ""
    method: str = "POST"
    path: str = "/"
    headers: tuple[str, ...] = ()
    body: bytes = b""
    stream: bool = True
    idempotent: bool = False
    idempotency_key: str = ""
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    fingerprint: int = 0
    prefix_hashes: tuple[int, ...] = ()
    max_output_tokens: int = 0
    shared_parts: tuple[SharedPart, ...] = ()


class Usage(NamedTuple):
    """Tokens that an attempt used at its target; 0 where the target states none.

    Attributes
    ----------
    cached_tokens : int
        Prompt tokens that the target had in its cache.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class Outcome(NamedTuple):
    """Result of a request.

    Attributes
    ----------
    detail : str
        Explanation for the caller; empty if there is nothing to add.
    retry_after_ms : int
        Retry hint for the caller; 0 for none.
    target : str
        Name of the last target; empty if none was asked.
    attempts : int
        Number of attempts.
    first_token_ms, total_ms : float
        Times since the entry began to place the request; `first_token_ms` is 0 without an answer.
    """

    code: ResultCode
    detail: str = ""
    retry_after_ms: int = 0
    target: str = ""
    attempts: int = 0
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    usage: Usage = Usage()


class LoadReport(NamedTuple):
    """Load of a target as its sidecar reports it.

    Attributes
    ----------
    queued_by_rank, queued_output_by_rank : tuple of int
        Queued attempts and their expected output tokens for each tier, by its rank; empty if there
        are none.
    running : int
        Attempts at the target.
    window : int
        Attempts that the sidecar currently dispatches at once; 0 if not stated.
    queued_prompt_tokens, queued_output_tokens : int
        Prompt tokens and expected output tokens of all queued attempts.
    first_token_ms : int
        Smoothed time from dispatch to the first token; 0 before the first one.
    decode_tokens_per_s : float
        Smoothed decoding rate of one attempt; 0 before the first answer.
    leaving : bool
        Whether the target accepts no new attempts.
    warm_prefix_tokens : int
        Prompt tokens expected in the target's cache.
    long_full : bool
        Whether long attempts hold their whole share of the window.
    """

    queued_by_rank: tuple[int, ...] = ()
    running: int = 0
    window: int = 0
    queued_prompt_tokens: int = 0
    queued_output_tokens: int = 0
    first_token_ms: int = 0
    decode_tokens_per_s: float = 0.0
    leaving: bool = False
    warm_prefix_tokens: int = 0
    queued_output_by_rank: tuple[int, ...] = ()
    long_full: bool = False


class Offer(NamedTuple):
    """One attempt as an entry offers it to a sidecar.

    Attributes
    ----------
    deadline_ms : int
        Time left for the request when the offer is sent.
    version : int
        Version of the configuration under which the request was admitted.
    suspects : tuple of int
        Fingerprints of requests that may have crashed a target, and hashes of the targets' names,
        alternating.
    workspace_weight : float
        Weight of the workspace's share of a full queue.
    incarnation : int
        The only incarnation of the sidecar that may accept the offer; 0 for any.
    cached_elsewhere_tokens : int
        Length in tokens of the longest prompt prefix that the entry expects in the cache of another
        usable target.
    """

    attempt_id: str = ""
    trace_id: str = ""
    workspace: str = ""
    tier_rank: int = 0
    model: str = ""
    service_path: str = ""
    method: str = ""
    path: str = ""
    headers: tuple[str, ...] = ()
    body: bytes = b""
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    deadline_ms: int = 0
    idempotency_key: str = ""
    fingerprint: int = 0
    prefix_hashes: tuple[int, ...] = ()
    version: int = 0
    suspects: tuple[int, ...] = ()
    workspace_weight: float = 0.0
    idempotent: bool = False
    incarnation: int = 0
    adapter: str = ""
    cached_elsewhere_tokens: int = 0
