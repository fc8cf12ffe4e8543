"""State and decisions that live as long as a gateway process."""

__all__: list[str] = []
