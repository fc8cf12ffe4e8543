"""What describes one request, at the entry and at the sidecar."""

from typing import NamedTuple

from guavawalk.codes import ResultCode
from guavawalk.version.types import Configuration, Tier, Workspace

__all__ = ["LoadReport", "Offer", "Outcome", "Usage", "Work"]


class Work(NamedTuple):
    """A caller's request, checked, as the entry carries it.

    Attributes
    ----------
    deadline_s : float
        On this process's monotonic clock.
    headers : tuple of str
        Names and values in turn, those that go on to the target.
    fingerprint : int
        64-bit hash of workspace and body.
    prefix_hashes : tuple of int
        64-bit hash of each block prefix of the prompt, shortest first.
    configuration : Configuration
        The version under which the request began; it keeps it.
    max_output_tokens : int
        The caller's own bound on the answer; 0 if it gave none.
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


class Usage(NamedTuple):
    """What an attempt used at its target."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class Outcome(NamedTuple):
    """How a request ended."""

    code: ResultCode
    detail: str = ""
    retry_after_ms: int = 0
    target: str = ""
    attempts: int = 0
    first_token_ms: float = 0.0
    total_ms: float = 0.0
    usage: Usage = Usage()


class LoadReport(NamedTuple):
    """What a sidecar knows of its target's load now."""

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
    """Work offered to a sidecar: one attempt.

    Attributes
    ----------
    cached_elsewhere_tokens : int
        Longest prefix of the prompt that the entry believes another usable target to hold.
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
