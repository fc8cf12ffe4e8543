"""Describes suspects for the administration API."""

from guavawalk.process.admin.documents import SuspectDocument
from guavawalk.process.clock import Clock
from guavawalk.process.part_suspects import PartSuspectTable
from guavawalk.process.suspects import SuspectTable

__all__ = ["PART", "REQUEST", "describe_parts", "describe_requests"]

# Kinds of suspects.
REQUEST = "request"
PART = "part"


def describe_requests(table: SuspectTable, clock: Clock) -> list[SuspectDocument]:
    """Return the suspected requests, the last updated first."""
    now_s = clock.now_s()
    return [
        SuspectDocument(
            kind=REQUEST,
            key=f"{fingerprint:016x}",
            name="",
            ends=len(suspicion.counted_deaths),
            last_end_age_s=_age_s(now_s, [death.at_s for death in suspicion.counted_deaths]),
            is_blamed=table.is_blocked(fingerprint),
            trials=0,
            next_trial_s=None,
        )
        for fingerprint, suspicion in table.suspected()
    ]


def describe_parts(table: PartSuspectTable, clock: Clock) -> list[SuspectDocument]:
    """Return the suspected parts of prompts, the last updated first."""
    now_s = clock.now_s()
    return [
        SuspectDocument(
            kind=PART,
            key=f"{key:016x}",
            name=suspicion.name,
            ends=len(suspicion.counted_deaths),
            last_end_age_s=_age_s(now_s, [death.at_s for death in suspicion.counted_deaths]),
            is_blamed=table.is_blamed(key),
            trials=suspicion.counted_trials,
            next_trial_s=round(max(table.trial_due_s(key) - now_s, 0.0), 1),
        )
        for key, suspicion in table.suspected()
    ]


def _age_s(now_s: float, ends_s: list[float]) -> float:
    return round(now_s - max(ends_s), 3)
