"""The queue, dispatch window, records and statistics of a sidecar process."""

__all__: list[str] = []
