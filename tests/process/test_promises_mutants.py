"""Tests that the oracle detects mutants, each of which breaks one guarantee."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from guavawalk.codes import ResultCode
from guavawalk.connection.tasks import entry_link, offer, process_request
from guavawalk.process.sidecar.link_table import LinkTable
from guavawalk.process.sidecar.queue import TierQueue
from guavawalk.process.sidecar.records import Records
from guavawalk.version.active import ActivationResult, ActiveVersion
from tests.process import promise_scenario
from tests.process.promise_oracle import Violation
from tests.process.promise_scenario import Step, run_scenario
from tests.process.test_promises_machine import FailureMachine, judge_graceful

SEARCH = settings(max_examples=150, stateful_step_count=50, phases=[Phase.generate], database=None)


SIDECARS_KILLED = [
    Step("send_model", 0, 38, 0.03),
    Step("kill", 2),
    Step("kill", 3, wait_s=10.0),
]


def find_broken_guarantee() -> str:
    """Run random steps until the oracle finds a broken guarantee; return its name."""
    with pytest.raises(Violation) as found:
        run_state_machine_as_test(FailureMachine, settings=SEARCH)
    return str(found.value).partition(":")[0]


class TestDispatchedOnce:
    def test_sending_elsewhere_after_an_unknown_outcome(self, monkeypatch):
        monkeypatch.setattr(
            process_request,
            "code_class",
            lambda code: process_request.CodeClass.NOT_RUN if code else 0,
        )
        with pytest.raises(Violation, match="^dispatch"):
            run_scenario(SIDECARS_KILLED)


class TestHonestNotRun:
    def test_lost_link_reported_as_not_run(self, monkeypatch):
        create_outcome = offer._outcome

        def report_not_run(entry, progress, code, detail=""):
            is_unknown = code in (ResultCode.LINK_LOST, ResultCode.INCARNATION_GONE)
            code = ResultCode.TARGET_UNREACHABLE if is_unknown else code
            return create_outcome(entry, progress, code, detail)

        monkeypatch.setattr(offer, "_outcome", report_not_run)
        with pytest.raises(Violation, match="^(honest|dispatch)"):
            run_scenario(SIDECARS_KILLED)

    def test_link_left_open_after_its_offer_was_reported_as_not_received(self, monkeypatch):
        def look_up(ledger, session_id):
            link = ledger._open.get(session_id)
            return link.last_offer if link else ledger._closed.get(session_id)

        monkeypatch.setattr(LinkTable, "close_lost", look_up)
        with pytest.raises(Violation, match="^(honest|dispatch)"):
            run_scenario(
                [Step("send_model", 0, 2, 1.0)] * 3
                + [Step("delay", 0, 3), Step("delay", 0, 4), Step("delay", 0, 7)]
                + [Step("send_model", 0, 2, 0.0003), Step("delay", 0, 0), Step("delay", 0, 4)]
                + [Step("delay", 0, 8, 40.0)]
            )


class TestTicketOnce:
    def test_record_is_not_found(self, monkeypatch):
        monkeypatch.setattr(Records, "find", lambda records, offer, now_s: None)
        assert find_broken_guarantee() == "once"


class TestWholeAnswer:
    def test_resumed_bytes_are_sent_twice(self, monkeypatch):
        async def pass_all(entry, caller, progress, chunk):
            progress.offset += len(chunk.data)
            await caller.send(chunk.data)

        monkeypatch.setattr(offer, "_forward_chunk", pass_all)
        relay = entry_link._relay_from
        monkeypatch.setattr(
            entry_link,
            "_relay_from",
            lambda sidecar, link, attempt, _: relay(sidecar, link, attempt, 0),
        )
        assert find_broken_guarantee() == "whole"


class TestLeaving:
    def test_offers_accepted_while_leaving(self, monkeypatch):
        monkeypatch.setattr(promise_scenario, "start_leaving", lambda *_: None)
        assert find_broken_guarantee() == "leaving"


class TestGracefulShutdown:
    def test_process_exits_before_its_work_ends(self, monkeypatch):
        async def end_at_once(process):
            pass

        monkeypatch.setattr(promise_scenario, "drain_sidecar", end_at_once)
        steps = [Step("send_model", 0, 38, 0.03), Step("drain", 2), Step("drain", 3)]
        with pytest.raises(Violation, match="^graceful"):
            run_scenario(steps, judge_graceful)


class TestTiers:
    def test_highest_tier_shed_first(self, monkeypatch):
        monkeypatch.setattr(
            TierQueue,
            "_first_to_shed",
            lambda queue: min(queue._waiting.values(), key=lambda waiting: waiting.rank),
        )
        assert find_broken_guarantee() == "tiers"


class TestVersion:
    def test_older_version_activated(self, monkeypatch):
        monkeypatch.setattr(
            ActiveVersion, "evaluate", lambda active, stamp: ActivationResult.IN_FORCE
        )
        assert find_broken_guarantee() == "version"
