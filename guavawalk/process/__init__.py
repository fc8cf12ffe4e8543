"""What lives as long as a process."""

__all__: list[str] = []
