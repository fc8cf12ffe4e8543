"""Events of a stream as they pass: where they end, and which was the last."""

__all__ = ["EventStream"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventStream:
    """The whole events of one answer, put together from the runs that make it.

    Attributes
    ----------
    last_id : str
        Id of the last whole event; empty before any.
    count : int
        Whole events so far.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._rest = b""

    def feed(self, part: bytes) -> bytes:
        """Take bytes of a run; return those that end whole events."""
        data = self._rest + part if self._rest else part
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        end += len(EVENT_END)
        whole, self._rest = data[:end], data[end:]
        self.count += whole.count(EVENT_END)
        self._record_last(whole)
        return whole

    def discard_partial(self) -> None:
        """Drop the beginning of an event that its run didn't end."""
        self._rest = b""

    def pop_partial(self) -> bytes:
        """Return what follows the last whole event of a run that has ended."""
        rest, self._rest = self._rest, b""
        return rest

    def _record_last(self, whole: bytes) -> None:
        at = whole.rfind(b"\n" + ID_FIELD)
        if at < 0:
            if not whole.startswith(ID_FIELD):
                return
            at = -1
        value = whole[at + 1 + len(ID_FIELD) :].partition(b"\n")[0]
        self.last_id = value.strip().decode("latin-1")
