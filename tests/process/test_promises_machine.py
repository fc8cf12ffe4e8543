"""Tests the guarantees of entries and sidecars under random sequences of failures.

`GUAVAWALK_PROMISE_EXAMPLES` sets the number of sequences of 50 steps; CI sets a fixed one.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from guavawalk.codes import CodeClass, code_class
from tests.process.promise_oracle import Violation
from tests.process.promise_scenario import Step, run_scenario

EXAMPLES = int(os.environ.get("GUAVAWALK_PROMISE_EXAMPLES", "16"))
STEPS = 50

nodes = st.integers(0, 4)
numbers = st.integers(0, 59)
waits = st.sampled_from((0.0, 0.0003, 0.002, 0.05, 1.0, 7.0))


class StoryMachine(RuleBasedStateMachine):
    """Rules only collect steps; `teardown` runs them."""

    def __init__(self) -> None:
        super().__init__()
        self.steps: list[Step] = []

    @rule(
        action=st.sampled_from(("send_model", "send_booking", "send_ticketed", "resend")),
        node=nodes,
        number=numbers,
        wait_s=waits,
    )
    def send(self, action, node, number, wait_s):
        self.steps.append(Step(action, node, number, wait_s))

    @rule(action=st.sampled_from(("send_model", "resend")), node=nodes, number=numbers)
    def burst(self, action, node, number):
        self.steps += [Step(action, node + i, number + i) for i in range(4)]

    @rule(
        action=st.sampled_from(("break_links", "lag", "publish", "drain")),
        node=nodes,
        number=numbers,
        wait_s=waits,
    )
    def disturb(self, action, node, number, wait_s):
        self.steps.append(Step(action, node, number, wait_s))

    def teardown(self):
        """Run the steps and check the result."""
        run_scenario(self.steps, self.judge)

    def judge(self, story) -> None:
        """Check what the oracle does not; nothing here."""


class GracefulMachine(StoryMachine):
    """Only links fail, so no request that has begun may be interrupted."""

    def judge(self, story) -> None:
        """Check that no request ended in a way that only a failed process explains."""
        judge_graceful(story)


def judge_graceful(story) -> None:
    """Check that no request was interrupted; the tickets of a replaced process may be lost."""
    for sending in story.oracle.sendings:
        found = code_class(sending.caller.outcome.code)
        ticket_gone = sending.key and found is CodeClass.UNKNOWN
        if found not in (CodeClass.COMPLETED, CodeClass.NOT_RUN) and not ticket_gone:
            name = sending.caller.outcome.code.name
            raise Violation(f"graceful: {sending.text} ended with {name}")


class FailureMachine(StoryMachine):
    """Any process, link, engine or caller may fail."""

    @rule(
        action=st.sampled_from(
            ("hang_up", "cut", "heal", "delay", "pause", "wake", "kill", "slow")
            + ("crash_engine", "restart_engine", "leave_target")
        ),
        node=nodes,
        number=numbers,
        wait_s=waits,
    )
    def fail(self, action, node, number, wait_s):
        self.steps.append(Step(action, node, number, wait_s))


TestGraceful = GracefulMachine.TestCase
TestGraceful.settings = settings(max_examples=max(EXAMPLES // 4, 1), stateful_step_count=STEPS)
TestFailures = FailureMachine.TestCase
TestFailures.settings = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
