"""Randomized soak test: gateways run as processes while faults are injected from outside."""

__all__: list[str] = []
