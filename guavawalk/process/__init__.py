"""Components that live as long as a process."""

__all__: list[str] = []
