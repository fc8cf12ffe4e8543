"""What a sidecar orders its engine to hold."""

__all__: list[str] = []
