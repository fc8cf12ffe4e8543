"""Command line, stand-ins, benchmarks, load tool and embedded deployments.

The daemons import nothing from here.
"""

__all__: list[str] = []
