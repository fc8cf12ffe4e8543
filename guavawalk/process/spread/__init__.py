"""What a process knows of the other nodes, and how versions reach it."""

__all__: list[str] = []
