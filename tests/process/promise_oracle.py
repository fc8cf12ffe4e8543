"""What the targets really ran, against what callers were told."""

from collections import defaultdict
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.tools.standins.memory_targets import MemoryCaller

__all__ = ["Oracle", "Sending", "Violation"]

LEAVING_GRACE_S = 2.0


class Violation(AssertionError):
    """A promise of the brief was not kept; the first word names it."""


class Sending(NamedTuple):
    """One sending of a request by a caller; `text` names the request and is its body."""

    text: str
    key: str
    tokens: int
    model: bool
    started_s: float
    caller: MemoryCaller

    def whole_answer(self) -> bytes:
        """Return what its caller gets when it completes."""
        if not self.model:
            return f"ran {self.text}".encode()
        return "".join(f"{self.text}:w{i} " for i in range(self.tokens)).encode()


class Oracle:
    """The books of one story."""

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.sendings: list[Sending] = []
        self.ran_at: dict[str, list[float]] = defaultdict(list)
        self.left_at: dict[str, float] = {}
        self._versions: dict[int, int] = {}

    def watch_target(self, name: str) -> None:
        """Note each run at a target, and mark its answer's tokens with the request's text."""
        client = self.fleet.targets[name]
        run = client.run

        @asynccontextmanager
        async def noted(offer):
            text = _name(offer.body.decode())
            async with run(offer) as answer:
                self._record_run(name, text)
                marked = _mark(answer.parts, text) if offer.model else answer.parts
                yield answer._replace(parts=marked)

        client.run = noted

    def _record_run(self, name: str, text: str) -> None:
        now_s = anyio.current_time()
        self.ran_at[text].append(now_s)
        if now_s - self.left_at.get(name, now_s) > LEAVING_GRACE_S:
            raise Violation(f"leaving: {name} was given {text}")

    def watch_queue(self, sidecar) -> None:
        """Check each shedding of a sidecar's queue."""
        queue = sidecar.queue
        push = queue.push

        def checked(attempt):
            shed = push(attempt)
            waiting = queue.totals().waiting_by_rank
            for lost in shed:
                if sum(waiting[lost.offer.tier_rank + 1 :]):
                    raise Violation(f"tiers: rank {lost.offer.tier_rank} shed, {waiting} wait")
            return shed

        queue.push = checked

    def check_versions(self) -> None:
        """Check that no process went back to an older version."""
        for process in self.fleet.processes.values():
            part = process.entry or process.sidecar
            version = part.active.stamp.version
            if version < self._versions.get(part.identity.incarnation, 0):
                raise Violation(f"version: {part.identity.instance} went back to {version}")
            self._versions[part.identity.incarnation] = version

    def runs_of(self, text: str) -> int:
        """Count the runs that the targets themselves recorded."""
        engines = sum(
            _name(run.prompt) == text
            for engine in self.fleet.engines.values()
            for run in engine.runs
        )
        return engines + sum(books.ran[text] for books in self.fleet.services.values())

    def check_end(self) -> None:
        """Check every request once all have ended."""
        by_text = defaultdict(list)
        for sending in self.sendings:
            by_text[sending.text].append(sending)
            self._check_answer(sending)
        for text, sendings in by_text.items():
            self._check_runs(text, sendings)

    def _check_answer(self, sending: Sending) -> None:
        outcome = sending.caller.outcome
        found, whole = bytes(sending.caller.data), sending.whole_answer()
        if outcome is not None and outcome.code is ResultCode.COMPLETED and found != whole:
            raise Violation(f"whole: {sending.text} got {found[:80]!r}")
        if not whole.startswith(found):
            raise Violation(f"whole: {sending.text} got {found[:80]!r}")

    def _check_runs(self, text: str, sendings: list[Sending]) -> None:
        runs = self.runs_of(text)
        if runs > 1:
            kind = "once" if sendings[0].key else "dispatch"
            raise Violation(f"{kind}: {text} ran {runs} times")
        refused = [sending for sending in sendings if _told_not_run(sending)]
        if runs and len(refused) == len(sendings):
            raise Violation(f"honest: {text} ran, all callers were told not run")
        for sending in refused:
            if any(ran_s < sending.started_s for ran_s in self.ran_at[text]):
                raise Violation(f"honest: {text} had run, a later caller was told not run")


def _told_not_run(sending: Sending) -> bool:
    outcome = sending.caller.outcome
    return outcome is not None and code_class(outcome.code) is CodeClass.NOT_RUN


def _name(prompt: str) -> str:
    return prompt.partition("\n")[0]


async def _mark(parts, text: str):
    async for part in parts:
        yield part._replace(data=f"{text}:".encode() + part.data)
