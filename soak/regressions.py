"""Seeds that ever failed, each with its cause; all are run again by `--regressions`."""

__all__ = ["SEEDS"]

SEEDS: dict[int, str] = {}
