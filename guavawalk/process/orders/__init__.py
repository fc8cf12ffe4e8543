"""Brings the models and adapters of an engine to the state that the configuration wants."""

__all__: list[str] = []
