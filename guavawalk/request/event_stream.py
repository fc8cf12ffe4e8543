"""Splits a relayed server-sent event stream at event boundaries and tracks the last event id."""

__all__ = ["EventStream"]

# End of an event. Streams with CR or CRLF line ends are not split.
EVENT_END = b"\n\n"
ID_FIELD = b"id:"


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
        self._partial = b""

    def feed(self, part: bytes) -> bytes:
        """Add bytes of a run; return the complete events, and buffer an incomplete last one."""
        data = self._partial + part if self._partial else part
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial = data
            return b""
        end += len(EVENT_END)
        complete, self._partial = data[:end], data[end:]
        self.count += complete.count(EVENT_END)
        self._record_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discard the buffered start of an event, since the run that sent it ended early."""
        self._partial = b""

    def pop_partial(self) -> bytes:
        """Return and clear the buffered bytes after the last complete event of an ended run."""
        partial, self._partial = self._partial, b""
        return partial

    def _record_last_id(self, complete: bytes) -> None:
        at = complete.rfind(b"\n" + ID_FIELD)
        if at < 0:
            if not complete.startswith(ID_FIELD):
                return
            at = -1
        value = complete[at + 1 + len(ID_FIELD) :].partition(b"\n")[0]
        self.last_id = value.strip().decode("latin-1")
