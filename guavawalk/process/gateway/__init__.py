"""What lives as long as a gateway process."""

__all__: list[str] = []
