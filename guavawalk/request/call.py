"""One caller's request inside a gateway."""

from typing import NamedTuple

from guavawalk.version.routes import NO_ROUTES, Route, RouteTable, WorkspaceAccess

__all__ = ["Call", "CallFields", "PromptPart", "SharedPart"]


class PromptPart(NamedTuple):
    """A segment of a prompt's prefix, which other prompts may share.

    Attributes
    ----------
    part_id : str
        Identifies the tokens together with all parts before them: equal ids mean equal prefixes.
    tokens : int
        Length of this part alone.
    """

    part_id: str
    tokens: int


class SharedPart(NamedTuple):
    """A part of a prompt that other requests to the same model may hold too.

    Attributes
    ----------
    key : int
        63-bit hash of service, model and part.
    """

    part_id: str
    key: int


class CallFields(NamedTuple):
    """Decoded headers of a request.

    Attributes
    ----------
    request_id : str
        Id of the request, the same for each of its attempts.
    host : str
        Host that the caller asked for, with or without a port.
    key : str
        API key; empty without one.
    caller_timeout_s : float, optional
        Time limit of the caller from its sending of the request to the answer, in seconds; None if
        it stated none.
    model : str
        Model name; empty if none is named.
    prompt_tokens, max_output_tokens : int
        As stated by the caller; 0 where it stated none.
    hinted_output_tokens : int
        The caller's estimate of the answer's length, which is often inaccurate; 0 without one.
    prompt_parts : tuple of PromptPart
        Segments of the prompt's prefix in order; empty where none are stated.
    last_event_id : str
        Id of the last event of a stream that the caller has received; empty for a new stream.
    forwarded_headers : tuple of (bytes, bytes)
        Headers that are sent on to the target unchanged.
    """

    request_id: str
    host: str = ""
    key: str = ""
    caller_timeout_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    hinted_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    forwarded_headers: tuple[tuple[bytes, bytes], ...] = ()


class Call(NamedTuple):
    """An admitted request with its route, workspace and service.

    Attributes
    ----------
    service : str
        Name of the service that runs it.
    path : bytes
        Path with its query.
    arrived_s, deadline_s : float
        On this process's monotonic clock.
    rank : int
        Urgency; 0 is the most urgent.
    fingerprint : int
        63-bit hash of workspace, path and body, the same for each repeat of a request.
    table : RouteTable
        Routes under which the request was admitted; they apply to it even after a newer version.
    shared_parts : tuple of SharedPart
        All parts of its prompt but the last, which is its own or its session's.
    is_trial : bool
        Whether it runs at one target to show whether it, or one of these parts, ends targets.
    """

    fields: CallFields
    route: Route
    workspace: WorkspaceAccess
    service: str
    method: str
    path: bytes
    body: bytes
    arrived_s: float
    deadline_s: float
    rank: int
    fingerprint: int
    table: RouteTable = NO_ROUTES
    shared_parts: tuple[SharedPart, ...] = ()
    is_trial: bool = False

    @property
    def quota_tokens(self) -> int:
        """Tokens charged to a quota in tokens; the quota's default if the caller stated none."""
        fields = self.fields
        stated = fields.prompt_tokens + fields.max_output_tokens
        return stated or self.workspace.quota.default_tokens

    @property
    def expected_output_tokens(self) -> int:
        """Tokens of the answer by the caller's hint, or else its limit; 0 if neither is stated."""
        return self.fields.hinted_output_tokens or self.fields.max_output_tokens

    @property
    def latency_goal_at_s(self) -> float:
        """Latest moment, on the monotonic clock, at which the first event or answer is on time."""
        return self.arrived_s + self.route.latency_goal_s
