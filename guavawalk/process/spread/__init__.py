"""Table and ranking of the nodes, and the state with which versions are fetched and passed on."""

__all__: list[str] = []
