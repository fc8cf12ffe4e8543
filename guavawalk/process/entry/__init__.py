"""State and decisions that live as long as an entry process."""

__all__: list[str] = []
