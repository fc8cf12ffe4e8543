"""Decoded status and headers of a target's answer."""

from typing import NamedTuple

__all__ = ["AnswerFields"]


class AnswerFields(NamedTuple):
    """Decoded head of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str
        Id of the request that it answers; empty if the answer states none.
    is_not_run : bool
        Whether the target states that it has not run the request and won't.
    is_stamped : bool
        Whether it carries the signature of the target that ran the request, and a body without
        content encoding. Gateways request no encoding, so an encoded body is not the target's own.
    idle_s : float, optional
        Time that the target keeps an idle connection open, in seconds; None if not stated.
    keep_alive : bool
        Whether the connection can be used for another request.
    is_leaving : bool
        Whether the target states that it leaves and wants no more requests.
    quiet_s : float, optional
        Time for which the target wants no requests from this gateway, in seconds; None if it
        states none.
    is_quiet_invalid : bool
        Whether it states such a time in a form that can't be read, or an excessive one.
    forwarded_headers : tuple of (bytes, bytes)
        Headers that are sent on to the caller.
    """

    status: int
    request_id: str = ""
    is_not_run: bool = False
    is_stamped: bool = False
    idle_s: float | None = None
    keep_alive: bool = False
    is_leaving: bool = False
    quiet_s: float | None = None
    is_quiet_invalid: bool = False
    forwarded_headers: tuple[tuple[bytes, bytes], ...] = ()
