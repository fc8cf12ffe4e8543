"""Checks what callers received against what the targets ran."""

from collections import defaultdict
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.tools.standins.memory_targets import MemoryCaller

__all__ = ["Oracle", "Sending", "Violation"]

# Time for which a target may still receive requests after its sidecar started to leave.
LEAVING_GRACE_S = 2.0


class Violation(AssertionError):
    """A guarantee was violated; the message begins with its name."""


class Sending(NamedTuple):
    """One sending of a request by a caller; a request with a ticket may be sent several times.

    Attributes
    ----------
    text : str
        First line of the body. It identifies the request, and is the same in each sending of it.
    key : str
        Ticket that it is sent with; empty for none.
    tokens : int
        Number of output tokens; 0 for a booking.
    model : bool
        Whether it is a model request; a booking otherwise.
    """

    text: str
    key: str
    tokens: int
    model: bool
    started_s: float
    caller: MemoryCaller

    def complete_body(self) -> bytes:
        """Return the body that the caller receives if the request completes."""
        if not self.model:
            return f"ran {self.text}".encode()
        return "".join(f"{self.text}:w{i} " for i in range(self.tokens)).encode()


class Oracle:
    """Records the requests of one scenario and checks the guarantees.

    Attributes
    ----------
    ran_at : dict of str to list of float
        Start times of the runs of each request.
    left_at : dict of str to float
        Time at which a target's sidecar started to leave.
    """

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.sendings: list[Sending] = []
        self.ran_at: dict[str, list[float]] = defaultdict(list)
        self.left_at: dict[str, float] = {}
        self._versions: dict[int, int] = {}

    def watch_target(self, name: str) -> None:
        """Record each run at a target, and prefix its answer's tokens with the request's text."""
        client = self.fleet.targets[name]
        run = client.run

        @asynccontextmanager
        async def record_run(offer):
            text = _request_text(offer.body.decode())
            async with run(offer) as answer:
                self._record_run(name, text)
                prefixed = _prefix_parts(answer.parts, text) if offer.model else answer.parts
                yield answer._replace(parts=prefixed)

        client.run = record_run

    def _record_run(self, name: str, text: str) -> None:
        now_s = anyio.current_time()
        self.ran_at[text].append(now_s)
        if now_s - self.left_at.get(name, now_s) > LEAVING_GRACE_S:
            raise Violation(f"leaving: {name} received {text}")

    def watch_queue(self, sidecar) -> None:
        """Check that a sidecar's queue sheds no attempt while one of a lower tier waits."""
        queue = sidecar.queue
        push = queue.push

        def push_checked(attempt):
            shed = push(attempt)
            waiting = queue.totals().waiting_by_rank
            for victim in shed:
                if sum(waiting[victim.offer.tier_rank + 1 :]):
                    raise Violation(
                        f"tiers: rank {victim.offer.tier_rank} was shed, {waiting} wait"
                    )
            return shed

        queue.push = push_checked

    def check_versions(self) -> None:
        """Check that no process returned to an older version."""
        for process in self.fleet.processes.values():
            part = process.entry or process.sidecar
            version = part.active.stamp.version
            if version < self._versions.get(part.identity.incarnation, 0):
                raise Violation(f"version: {part.identity.instance} returned to {version}")
            self._versions[part.identity.incarnation] = version

    def runs_of(self, text: str) -> int:
        """Return the number of runs of a request that the targets recorded."""
        engines = sum(
            _request_text(run.prompt) == text
            for engine in self.fleet.engines.values()
            for run in engine.runs
        )
        return engines + sum(books.run_counts[text] for books in self.fleet.services.values())

    def check_end(self) -> None:
        """Check the answers and runs of every request; call it after all requests have ended."""
        by_text = defaultdict(list)
        for sending in self.sendings:
            by_text[sending.text].append(sending)
            self._check_answer(sending)
        for text, sendings in by_text.items():
            self._check_runs(text, sendings)

    def _check_answer(self, sending: Sending) -> None:
        outcome = sending.caller.outcome
        received, expected = bytes(sending.caller.data), sending.complete_body()
        if outcome is not None and outcome.code is ResultCode.COMPLETED and received != expected:
            raise Violation(f"whole: {sending.text} received {received[:80]!r}")
        if not expected.startswith(received):
            raise Violation(f"whole: {sending.text} received {received[:80]!r}")

    def _check_runs(self, text: str, sendings: list[Sending]) -> None:
        runs = self.runs_of(text)
        if runs > 1:
            kind = "once" if sendings[0].key else "dispatch"
            raise Violation(f"{kind}: {text} ran {runs} times")
        refused = [sending for sending in sendings if _ended_not_run(sending)]
        if runs and len(refused) == len(sendings):
            raise Violation(f"honest: {text} ran, but all its callers were told that it did not")
        for sending in refused:
            if any(ran_s < sending.started_s for ran_s in self.ran_at[text]):
                raise Violation(
                    f"honest: {text} had run, but a later caller was told that it had not"
                )


def _ended_not_run(sending: Sending) -> bool:
    outcome = sending.caller.outcome
    return outcome is not None and code_class(outcome.code) is CodeClass.NOT_RUN


def _request_text(prompt: str) -> str:
    return prompt.partition("\n")[0]


async def _prefix_parts(parts, text: str):
    async for part in parts:
        yield part._replace(data=f"{text}:".encode() + part.data)
