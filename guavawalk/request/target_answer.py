"""What a target's answer says beside its status and body."""

from typing import NamedTuple

__all__ = ["AnswerFields"]


class AnswerFields(NamedTuple):
    """Decoded headers of an answer.

    Attributes
    ----------
    request_id : str
        Request that it answers; empty where it doesn't say.
    is_not_run : bool
        Whether the target states that it has not run the request and won't.
    is_stamped : bool
        Whether it carries the signature of the target that ran the request, and its body as the
        target made it: nobody asks for an encoded one.
    idle_s : float, optional
        How long the target keeps the connection open without a request.
    keep_alive : bool
        Whether the connection takes another request after the answer.
    forwarded_headers : tuple of (bytes, bytes)
        Headers that go on to the caller.
    """

    status: int
    request_id: str = ""
    is_not_run: bool = False
    is_stamped: bool = False
    idle_s: float | None = None
    keep_alive: bool = False
    forwarded_headers: tuple[tuple[bytes, bytes], ...] = ()
