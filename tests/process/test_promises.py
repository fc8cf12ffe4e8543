"""Tests at-most-once execution and correct outcomes in the failures of docs/notes/outcomes.md."""

from functools import partial

import anyio
import pytest

from guavawalk.codes import CodeClass, ResultCode, code_class
from guavawalk.connection.tasks.ticket import fetch_ticket
from guavawalk.exception import RequestError
from guavawalk.process.sidecar.records import ticket_scope
from guavawalk.request.types import Offer
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from guavawalk.tools.standins.memory_targets import MemoryCaller
from tests.virtual import run_virtually

ANSWER = "".join(f"w{i} " for i in range(16)).encode()
ENTRY = "entry-victoria"
LONG_ANSWER_TOKENS = 64


def run_scenario(scenario, plan=None):
    """Run a scenario on a new deployment and return its result."""

    async def run():
        async with run_fleet(plan or kestrel_lane_plan()) as fleet:
            return await scenario(fleet)

    return run_virtually(run)


def model_request(fleet, **more):
    return fleet.work("harbour", "onsite", "which glaze?", model="quill", **more)


def engine_runs(fleet):
    return sum(len(engine.runs) for engine in fleet.engines.values())


async def ticket_for(fleet, service="booking", model="", centre="victoria"):
    entry = fleet.entry(centre)
    configuration = entry.active.configuration
    body = f'{{"service": "{service}", "model": "{model}"}}'.encode()
    workspace = configuration.workspaces["council"]
    return (await fetch_ticket(entry, configuration, workspace, body)).ticket


def booking_request(fleet, key, text="job-1", **more):
    return fleet.work("council", "onsite", text, service="booking", key=key, **more)


async def open_idle_links(fleet):
    """Open links to all engines, which stay idle in the pool; return the number of engine runs."""
    async with anyio.create_task_group() as tasks:
        for _ in range(60):
            tasks.start_soon(fleet.send, "victoria", model_request(fleet, output_tokens=1))
    return engine_runs(fleet)


class TestLostOffer:
    def test_offer_that_never_arrived_is_sent_elsewhere_and_runs_once(self):
        async def scenario(fleet):
            before = await open_idle_links(fleet)
            caller = MemoryCaller()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send, "victoria", model_request(fleet), caller)
                await anyio.sleep(0.0001)
                fleet.fabric.break_links(ENTRY)
            return caller, engine_runs(fleet) - before

        caller, runs = run_scenario(scenario)
        assert caller.outcome.code is ResultCode.COMPLETED
        assert bytes(caller.data) == ANSWER
        assert (caller.outcome.attempts, runs) == (2, 1)

    def test_offer_delayed_on_its_first_link_never_runs(self):
        async def scenario(fleet):
            before = await open_idle_links(fleet)
            caller = MemoryCaller()
            delay_s = fleet.fabric.delay_s
            async with anyio.create_task_group() as tasks:
                fleet.fabric.delay_s = lambda a, b: 60.0
                tasks.start_soon(fleet.send, "victoria", model_request(fleet), caller)
                await anyio.sleep(0.001)
                fleet.fabric.delay_s = delay_s
            await anyio.sleep(120)
            return caller, engine_runs(fleet) - before

        caller, runs = run_scenario(scenario)
        assert caller.outcome.code is ResultCode.COMPLETED
        assert caller.outcome.attempts == 2
        assert runs == 1

    def test_offer_on_an_evicted_link_has_an_unknown_outcome(self):
        async def scenario(fleet):
            before = await open_idle_links(fleet)
            for target in fleet.engines:
                fleet.sidecar(target).links._capacity = 0
            caller = MemoryCaller()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send, "victoria", model_request(fleet), caller)
                await anyio.sleep(0.0001)
                fleet.fabric.break_links(ENTRY)
            return caller, engine_runs(fleet) - before

        caller, runs = run_scenario(scenario)
        assert caller.outcome.code is ResultCode.OUTCOME_UNKNOWN
        assert runs == 0

    def test_dropped_answer_is_not_run_again(self):
        async def scenario(fleet):
            for target in fleet.engines:
                table = fleet.sidecar(target).attempts
                table.limits = table.limits._replace(kept_answers=0)
            caller = MemoryCaller()
            work = model_request(fleet, output_tokens=LONG_ANSWER_TOKENS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send, "victoria", work, caller)
                await anyio.sleep(0.05)
                for target in fleet.engines:
                    fleet.fabric.cut(ENTRY, f"sidecar-{target}")
                fleet.fabric.break_links(ENTRY)
                await anyio.sleep(3)
                fleet.fabric.heal()
            return caller, engine_runs(fleet)

        caller, runs = run_scenario(scenario)
        assert caller.outcome.code is ResultCode.ANSWER_DROPPED
        assert runs == 1


class TestSidecarGone:
    @pytest.mark.parametrize("way", ["kill", "pause", "cut"])
    def test_caller_is_answered_in_bounded_time(self, way):
        async def scenario(fleet):
            caller = MemoryCaller()
            started_s = anyio.current_time()
            work = model_request(fleet, output_tokens=LONG_ANSWER_TOKENS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send, "victoria", work, caller)
                await anyio.sleep(0.05)
                for target in fleet.engines:
                    node = f"sidecar-{target}"
                    if way == "kill":
                        fleet.kill(node)
                    elif way == "pause":
                        fleet.fabric.pause(node)
                    else:
                        fleet.fabric.cut(ENTRY, node)
            return caller, anyio.current_time() - started_s

        caller, took_s = run_scenario(scenario)
        assert code_class(caller.outcome.code) is CodeClass.UNKNOWN
        assert took_s < 25


class TestTicket:
    def test_resend_through_another_entry_runs_once_and_gives_the_same_answer(self):
        async def scenario(fleet):
            key = await ticket_for(fleet)
            callers = [
                await fleet.send(centre, booking_request(fleet, key))
                for centre in ("victoria", "nanaimo")
            ]
            return callers, fleet.services["booking"].run_counts["job-1"]

        callers, ran = run_scenario(scenario)
        assert [bytes(caller.data) for caller in callers] == [b"ran job-1"] * 2
        assert ran == 1

    def test_another_body_is_invalid(self):
        async def scenario(fleet):
            key = await ticket_for(fleet)
            await fleet.send("victoria", booking_request(fleet, key))
            return await fleet.send("victoria", booking_request(fleet, key, text="job-2"))

        assert run_scenario(scenario).outcome.code is ResultCode.KEY_REUSED

    def test_entry_never_reports_not_run_for_a_used_key(self):
        async def scenario(fleet):
            key = await ticket_for(fleet)
            await fleet.send("victoria", booking_request(fleet, key))
            fleet.entry("victoria").request_tracker.draining = True
            drained = await fleet.send("victoria", booking_request(fleet, key))
            for target in fleet.plan.targets:
                fleet.kill(f"sidecar-{target.name}")
            gone = await fleet.send("nanaimo", booking_request(fleet, key))
            return drained.outcome.code, gone.outcome.code

        assert run_scenario(scenario) == (ResultCode.NOT_ASKED, ResultCode.LINK_LOST)

    def test_restarted_sidecar_answers_unknown(self):
        async def scenario(fleet):
            key = await ticket_for(fleet)
            await fleet.send("victoria", booking_request(fleet, key))
            for target in [t for t in fleet.plan.targets if t.service]:
                fleet.kill(f"sidecar-{target.name}")
                await fleet.start_sidecar(target)
            return await fleet.send("nanaimo", booking_request(fleet, key))

        assert run_scenario(scenario).outcome.code is ResultCode.INCARNATION_GONE

    def test_joined_call_goes_on_when_the_first_caller_leaves(self):
        async def scenario(fleet):
            fleet.services["booking"].work_time_s = 1.0
            key = await ticket_for(fleet)
            first, second = MemoryCaller(), MemoryCaller()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send, "victoria", booking_request(fleet, key), first)
                await anyio.sleep(0.1)
                tasks.start_soon(fleet.send, "nanaimo", booking_request(fleet, key), second)
                await anyio.sleep(0.1)
                first.leave()
            return second, fleet.services["booking"].run_counts["job-1"]

        second, ran = run_scenario(scenario)
        assert second.outcome.code is ResultCode.COMPLETED
        assert ran == 1

    def test_dropped_answer_of_a_ticket_is_reported_and_not_run_again(self):
        async def scenario(fleet):
            key = await ticket_for(fleet)
            await fleet.send("victoria", booking_request(fleet, key))
            for target in fleet.plan.targets:
                table = fleet.sidecar(target.name).attempts
                table.limits = table.limits._replace(kept_answers=0)
            for number in range(9):
                await fleet.send("victoria", booking_request(fleet, "", text=f"other-{number}"))
            again = await fleet.send("nanaimo", booking_request(fleet, key))
            return again, fleet.services["booking"].run_counts["job-1"]

        again, ran = run_scenario(scenario)
        assert again.outcome.code in (ResultCode.ANSWER_DROPPED, ResultCode.COMPLETED)
        assert ran == 1


class TestTicketForgery:
    def code_for(self, alter):
        async def scenario(fleet):
            sidecar = fleet.sidecar("booking-0")
            offer = Offer(workspace="council", service_path="booking", body=b"job-1")
            ticket = sidecar.records.issue(ticket_scope(offer), 0.0)
            with pytest.raises(RequestError) as found:
                sidecar.records.find(offer._replace(idempotency_key=alter(ticket)), 0.0)
            return found.value.code

        return run_scenario(scenario)

    @pytest.mark.parametrize(
        "alter",
        [
            lambda ticket: ticket.upper(),
            lambda ticket: ticket + " ",
            lambda ticket: ticket.replace("~0~", "~00~"),
            lambda ticket: ticket.replace("~0~", "~+0~"),
            lambda ticket: ticket.replace("booking-0~", "booking-0~0"),
            lambda ticket: ticket.replace("~0~", "~5~"),
            lambda ticket: ticket[:-1] + ("0" if ticket[-1] != "0" else "1"),
            lambda ticket: ticket[:-1] + "é",
        ],
    )
    def test_altered_ticket_is_invalid(self, alter):
        assert self.code_for(alter) is ResultCode.TICKET_INVALID


class TestCallerGone:
    @pytest.mark.parametrize("after_s", [0.0, 0.0004, 0.01, 0.05])
    def test_model_work_stops_at_the_engine(self, after_s):
        async def scenario(fleet):
            caller = MemoryCaller()
            async with anyio.create_task_group() as tasks:
                work = model_request(fleet, output_tokens=5_000)
                tasks.start_soon(partial(fleet.send, "victoria", work, caller))
                await anyio.sleep(after_s)
                caller.leave()
            await anyio.sleep(1)
            return sum(engine.running for engine in fleet.engines.values())

        assert run_scenario(scenario) == 0

    def test_booking_under_way_goes_on(self):
        async def scenario(fleet):
            fleet.services["booking"].work_time_s = 1.0
            caller = MemoryCaller()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send, "victoria", booking_request(fleet, ""), caller)
                await anyio.sleep(0.5)
                caller.leave()
            await anyio.sleep(2)
            ended = [
                attempt.code
                for target in fleet.plan.targets
                for attempt in fleet.sidecar(target.name).attempts.ended.values()
            ]
            return ended, fleet.services["booking"].run_counts["job-1"]

        assert run_scenario(scenario) == ([ResultCode.COMPLETED], 1)


class TestIdleLink:
    def test_link_to_a_replaced_sidecar_is_not_used(self):
        async def scenario(fleet):
            await open_idle_links(fleet)
            for target in fleet.plan.targets:
                fleet.kill(f"sidecar-{target.name}")
                await fleet.start_sidecar(target)
            return await fleet.send("victoria", model_request(fleet))

        assert run_scenario(scenario).outcome.code is ResultCode.COMPLETED
