"""A randomized soak: real gateways as processes, with faults injected from outside."""

__all__: list[str] = []
