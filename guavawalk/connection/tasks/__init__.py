"""One task for each connection and each peer, written straight down."""

__all__: list[str] = []
