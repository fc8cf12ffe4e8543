"""Seeds of past failures with their causes; `--regressions` runs them all."""

__all__ = ["SEEDS"]

SEEDS: dict[int, str] = {
    21: "fault of the soak: one of two overlapping restarts waited for the wrong process",
    317: "SIGHUP ended a gateway that was still importing its modules; it was not restarted",
    905: "a gateway started while its settings were being written, and exited with code 2",
    207: "a second SIGTERM ended a gateway at once, with calls in progress",
}
