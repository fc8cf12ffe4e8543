"""What lives as long as a sidecar process."""

__all__: list[str] = []
