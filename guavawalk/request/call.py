"""One caller's request as a gateway carries it."""

from typing import NamedTuple

from guavawalk.version.routes import NO_ROUTES, Route, RouteTable, WorkspaceAccess

__all__ = ["Call", "CallFields", "PromptPart"]


class PromptPart(NamedTuple):
    """A run of tokens at the start of a prompt that other prompts may share.

    Attributes
    ----------
    part_id : str
        The same for equal tokens after equal parts.
    """

    part_id: str
    tokens: int


class CallFields(NamedTuple):
    """What the headers of a request say.

    Attributes
    ----------
    key : str
        API key; empty without one.
    caller_timeout_s : float, optional
        How long the caller waits from its sending.
    prompt_tokens, max_output_tokens : int
        0 where the caller stated none.
    hinted_output_tokens : int
        The caller's estimate of the answer's length; often far off.
    last_event_id : str
        Last event of a stream that the caller has already.
    forwarded_headers : tuple of (bytes, bytes)
        Headers that go on to the target as they are.
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
    """A request with its route, and the version under which it began.

    Attributes
    ----------
    arrived_s, deadline_s : float
        On this process's monotonic clock.
    rank : int
        Urgency; 0 is the most urgent.
    fingerprint : int
        Hash of workspace, path and body: the same for each repeat of a request.
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

    @property
    def quota_tokens(self) -> int:
        """Tokens that count against a quota in tokens."""
        fields = self.fields
        stated = fields.prompt_tokens + fields.max_output_tokens
        return stated or self.workspace.quota.default_tokens

    @property
    def expected_output_tokens(self) -> int:
        """Tokens that the answer is expected to have; 0 where nothing is stated."""
        return self.fields.hinted_output_tokens or self.fields.max_output_tokens

    @property
    def latency_goal_at_s(self) -> float:
        """Moment until which the answer, or its first event, is on time."""
        return self.arrived_s + self.route.latency_goal_s
