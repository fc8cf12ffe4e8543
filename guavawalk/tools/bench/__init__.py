"""Measurements that are committed but are no tests."""

__all__: list[str] = []
