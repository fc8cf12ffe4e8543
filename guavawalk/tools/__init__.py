"""What surrounds the processes: the command line, stand-ins, benches, load runs and trials.

No daemon imports any of it.
"""

__all__: list[str] = []
