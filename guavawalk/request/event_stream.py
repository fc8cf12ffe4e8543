"""Splits a relayed server-sent event stream at event boundaries and tracks the last event id."""

from guavawalk.exception import AnswerOverLimit

__all__ = ["EVENT_END", "MAX_EVENT_BYTES", "EventStream"]

# End of an event. Streams with CR or CRLF line ends are not split.
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# Largest event, in bytes. An event is kept until it is complete, so that a run that breaks off in
# the middle of one can be resumed at another target.
MAX_EVENT_BYTES = 256 * 1024


class EventStream:
    """The complete events of one answer, which several runs may produce one after the other.

    Attributes
    ----------
    last_id : str
        Id of the last complete event that has one; empty before any.
    count : int
        Number of complete events.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._partial = bytearray()

    def feed(self, part: bytes) -> bytes:
        """Add bytes of a run; return the complete events, and buffer an incomplete last one.

        Raises
        ------
        AnswerOverLimit
            If an event is over `MAX_EVENT_BYTES`.
        """
        partial = self._partial
        # The end of an event may have been split between two parts.
        search_from = max(len(partial) - len(EVENT_END) + 1, 0)
        partial += part
        end = partial.rfind(EVENT_END, search_from)
        if end < 0:
            if len(partial) > MAX_EVENT_BYTES:
                raise AnswerOverLimit(f"an event is over {MAX_EVENT_BYTES} bytes")
            return b""
        end += len(EVENT_END)
        complete = bytes(partial[:end])
        del partial[:end]
        self.count += complete.count(EVENT_END)
        self._record_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discard the buffered start of an event, since the run that sent it ended early."""
        self._partial.clear()

    def missing_at_close(self, first_count: int = 0) -> str:
        """Return what a run lacks of which only the end of the connection says that it is whole.

        Parameters
        ----------
        first_count : int, optional
            Number of events before the run.

        Returns
        -------
        str
            Empty if nothing is missing: the run had an event, and didn't end inside one. Lines may
            end with LF, CR or CRLF; comments and blank lines are no events.
        """
        partial = bytes(self._partial)
        has_crlf = b"\r\n" in partial
        lines = partial.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        if _has_field(lines.split(EVENT_END)[-1]) or (has_crlf and partial.endswith(b"\r")):
            return "the connection ended inside an event"
        if self.count == first_count and not _has_field(lines):
            return "the connection ended before the first event"
        return ""

    def pop_partial(self) -> bytes:
        """Return and clear the buffered bytes after the last complete event of an ended run."""
        partial, self._partial = bytes(self._partial), bytearray()
        return partial

    def _record_last_id(self, complete: bytes) -> None:
        at = complete.rfind(b"\n" + ID_FIELD)
        if at < 0:
            if not complete.startswith(ID_FIELD):
                return
            at = -1
        value = complete[at + 1 + len(ID_FIELD) :].partition(b"\n")[0]
        self.last_id = value.strip().decode("latin-1")


def _has_field(lines: bytes) -> bool:
    return any(line and not line.startswith(b":") for line in lines.split(b"\n"))
