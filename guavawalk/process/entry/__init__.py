"""What lives as long as an entry process."""

__all__: list[str] = []
