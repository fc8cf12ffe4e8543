"""`guavawalk bench`: measurements on this machine."""

from cyclopts import App

__all__ = ["bench_app"]

bench_app = App(name="bench", help="Measure on this machine; figures go in docs/RESULTS.md.")
