"""Seeds that ever failed, each with its cause; all are run again by `--regressions`."""

__all__ = ["SEEDS"]

SEEDS: dict[int, str] = {
    21: "the soak itself: of two overlapping restarts one waited for the wrong process",
    317: "SIGHUP ended a gateway that was still loading its modules; nothing started it again",
    207: "a second SIGTERM ended a gateway at once, with calls under way",
}
