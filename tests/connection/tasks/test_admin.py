"""The administration API of a simulated fleet whose tasks run in virtual time."""

import json

import anyio
import pytest

from guavawalk import events
from guavawalk.codes import ResultCode
from guavawalk.connection.tasks.admin import create_admin_app
from guavawalk.process.admin.entry_node import create_entry_node
from guavawalk.process.admin.sidecar_node import create_sidecar_node
from guavawalk.request.waste import Waste, WasteCause
from guavawalk.tools.fleet import run_fleet
from guavawalk.tools.plan import kestrel_lane_plan
from tests.asgi import send_asgi_request
from tests.process.admin.keys import KEYS, OPERATOR, READER, TEAM, TEAM_OPERATOR
from tests.virtual import run_virtually

REASON = json.dumps({"reason": "engine swap"}).encode()


class RecordingLog:
    """A log that records the emitted events."""

    def __init__(self) -> None:
        self.level = "INFO"
        self.emitted = []

    def emit(self, event, **fields) -> None:
        self.emitted.append((event, fields))


def entry_app(fleet, log=None):
    entry = fleet.entry("victoria")
    return create_admin_app(create_entry_node(entry._replace(log=log or entry.log)), KEYS)


def sidecar_app(fleet, target: str = "engine-0", log=None):
    sidecar = fleet.sidecar(target)
    return create_admin_app(create_sidecar_node(sidecar._replace(log=log or sidecar.log)), KEYS)


def in_fleet(story, *args):
    async def run():
        async with run_fleet(kestrel_lane_plan()) as fleet:
            return await story(fleet, *args)

    return run_virtually(run)


async def serve_one(fleet, workspace: str = "harbour", tier: str = "onsite") -> None:
    work = fleet.work(workspace, tier, "which glaze?", model="quill")
    caller = await fleet.send("victoria", work)
    assert caller.outcome.code is ResultCode.COMPLETED


class TestReading:
    def test_state_names_role_instance_and_version(self):
        async def story(fleet):
            await serve_one(fleet)
            apps = (entry_app(fleet), sidecar_app(fleet))
            return [
                (await send_asgi_request(app, "GET", "/v1/state", READER)).document for app in apps
            ]

        entry, sidecar = in_fleet(story)
        assert (entry["role"], entry["instance"]) == ("entry", "entry-victoria")
        assert (sidecar["role"], sidecar["instance"]) == ("sidecar", "sidecar-engine-0")
        assert entry["version"] == sidecar["version"] == 1
        assert entry["digest"] == sidecar["digest"]
        assert not entry["stopping"]

    def test_targets_show_the_load_reported_to_the_entry(self):
        async def story(fleet):
            await serve_one(fleet)
            return (
                await send_asgi_request(entry_app(fleet), "GET", "/v1/targets", READER)
            ).document

        targets = in_fleet(story)["targets"]
        assert len(targets) == 8
        reported = [target for target in targets if target["report_age_s"] is not None]
        assert len(reported) == 1
        assert reported[0]["window"] > 0

    def test_queues_are_limited_to_the_workspaces_of_the_key(self):
        async def story(fleet):
            app = sidecar_app(fleet, "booking-0")
            fleet.services["booking"].work_time_s = 5.0
            async with anyio.create_task_group() as tasks:
                for index, workspace in enumerate(("harbour", "council", "harbour")):
                    for centre in fleet.plan.entries:
                        work = fleet.work(
                            workspace, "onsite", f"{centre}{index}", service="booking"
                        )
                        tasks.start_soon(fleet.send, centre, work)
                await anyio.sleep(1.0)
                return [
                    (await send_asgi_request(app, "GET", "/v1/queues", key)).document["queues"]
                    for key in (READER, TEAM)
                ]

        everything, own = in_fleet(story)
        assert {queue["workspace"] for queue in own} <= {"harbour"}
        assert [queue for queue in everything if queue["workspace"] == "harbour"] == own
        assert sum(queue["running"] + queue["queued"] for queue in everything) > 0

    def test_histograms_are_limited_to_the_workspaces_of_the_key(self):
        async def story(fleet):
            await serve_one(fleet, "harbour")
            await serve_one(fleet, "council")
            app = entry_app(fleet)
            return [
                (await send_asgi_request(app, "GET", "/v1/histograms", key)).document["histograms"]
                for key in (READER, TEAM)
            ]

        everything, own = in_fleet(story)
        assert {row["workspace"] for row in everything} == {"harbour", "council"}
        assert {row["workspace"] for row in own} == {"harbour"}
        assert {row["measure"] for row in own} == {"first_token_ms", "whole_ms"}
        assert all(0 < row["p50"] <= row["p99"] <= row["highest"] + 0.1 for row in everything)

    def test_sidecar_measures_the_queue_and_tokens(self):
        async def story(fleet):
            await serve_one(fleet)
            found = []
            for target in ("engine-0", "engine-1", "engine-2", "engine-3", "engine-4"):
                app = sidecar_app(fleet, target)
                document = (await send_asgi_request(app, "GET", "/v1/histograms", READER)).document
                found += document["histograms"]
            return found

        rows = in_fleet(story)
        counts = {row["measure"]: row["count"] for row in rows}
        assert set(counts) == {"queue_ms", "first_token_ms", "between_tokens_ms", "whole_ms"}
        assert counts["between_tokens_ms"] > counts["whole_ms"] == 1

    def test_recent_refusals_are_limited_to_the_workspaces_of_the_key(self):
        async def story(fleet):
            fleet.entry("victoria").request_tracker.draining = True
            for workspace in ("harbour", "council"):
                await fleet.send("victoria", fleet.work(workspace, "tag", "x", model="quill"))
            app = entry_app(fleet)
            return [
                (await send_asgi_request(app, "GET", "/v1/refusals", key)).document
                for key in (READER, TEAM)
            ]

        everything, own = in_fleet(story)
        assert everything["counts"] == [{"number": 213, "name": "DRAINING", "count": 2}]
        assert [row["workspace"] for row in everything["recent"]] == ["council", "harbour"]
        assert [row["workspace"] for row in own["recent"]] == ["harbour"]

    def test_configuration_lists_tiers_and_counts_targets_and_workspaces(self):
        async def story(fleet):
            return (
                await send_asgi_request(entry_app(fleet), "GET", "/v1/configuration", READER)
            ).document

        document = in_fleet(story)
        assert document["tiers"] == ["onsite", "plan", "tag"]
        assert (document["targets"], document["workspaces"]) == (8, 5)

    def test_waste_is_limited_to_the_workspaces_of_the_key(self):
        async def story(fleet):
            totals = fleet.sidecar("engine-0").waste
            totals.computed_tokens = 100
            totals.record("harbour", 0, [Waste(WasteCause.CRASH, 30)])
            totals.record("council", 2, [Waste(WasteCause.CANCEL, 20)])
            app = sidecar_app(fleet)
            return [
                (await send_asgi_request(app, "GET", "/v1/waste", key)).document
                for key in (READER, TEAM)
            ]

        everything, own = in_fleet(story)
        assert everything["computed_tokens"] == 100
        assert {(row["cause"], row["tier"], row["tokens"]) for row in everything["causes"]} == {
            ("crash", "onsite", 30),
            ("cancel", "tag", 20),
        }
        assert [row["workspace"] for row in everything["workspaces"]] == ["harbour", "council"]
        assert [row["workspace"] for row in own["workspaces"]] == ["harbour"]
        assert (own["computed_tokens"], own["causes"]) == (0, [])


class TestActions:
    def test_drained_sidecar_refuses_and_the_action_is_audited(self):
        log = RecordingLog()

        async def story(fleet):
            app = sidecar_app(fleet, log=log)
            answers = [
                await send_asgi_request(app, "POST", "/v1/drain", OPERATOR, REASON) for _ in "ab"
            ]
            await serve_one(fleet)
            runs = len(fleet.engines["engine-0"].runs)
            return answers, runs, fleet.sidecar("engine-0").attempts.leaving

        answers, runs, leaving = in_fleet(story)
        assert [answer.document["changed"] for answer in answers] == [True, False]
        assert leaving
        assert runs == 0
        event, fields = log.emitted[0]
        assert event is events.ADMIN_DRAINED
        assert fields == {"key_name": "operator", "reason": "engine swap", "changed": True}

    def test_stopped_entry_admits_no_more(self):
        log = RecordingLog()

        async def story(fleet):
            await send_asgi_request(
                entry_app(fleet, log), "POST", "/v1/stop-admitting", OPERATOR, REASON
            )
            work = fleet.work("harbour", "onsite", "which glaze?", model="quill")
            return (await fleet.send("victoria", work)).outcome.code

        assert in_fleet(story) is ResultCode.DRAINING
        assert [event for event, _ in log.emitted] == [events.ADMIN_ADMITTING_STOPPED]

    def test_log_level_is_set_and_audited(self):
        log = RecordingLog()

        async def story(fleet):
            body = json.dumps({"level": "DEBUG"}).encode()
            return await send_asgi_request(
                entry_app(fleet, log), "POST", "/v1/log-level", OPERATOR, body
            )

        assert in_fleet(story).document["changed"]
        assert log.level == "DEBUG"
        assert log.emitted[0][1] == {"key_name": "operator", "before": "INFO", "after": "DEBUG"}


class TestRefusing:
    @pytest.mark.parametrize(
        ("method", "path", "key", "body", "code"),
        [
            ("GET", "/v1/state", "", b"", ResultCode.UNAUTHENTICATED),
            ("GET", "/v1/state", "wrong-key", b"", ResultCode.UNAUTHENTICATED),
            ("GET", "/openapi.json", "", b"", ResultCode.UNAUTHENTICATED),
            ("POST", "/v1/stop-admitting", READER, REASON, ResultCode.NOT_ALLOWED),
            ("POST", "/v1/stop-admitting", TEAM_OPERATOR, REASON, ResultCode.NOT_ALLOWED),
            ("POST", "/v1/log-level", TEAM_OPERATOR, b'{"level":"INFO"}', ResultCode.NOT_ALLOWED),
            ("POST", "/v1/drain", OPERATOR, REASON, ResultCode.NOT_FOUND),
            ("GET", "/v2/state", OPERATOR, b"", ResultCode.NOT_FOUND),
            ("POST", "/v1/stop-admitting", OPERATOR, b"", ResultCode.BAD_REQUEST),
            ("POST", "/v1/stop-admitting", OPERATOR, b"\xff", ResultCode.BAD_REQUEST),
            ("POST", "/v1/stop-admitting", OPERATOR, b'{"reason":3}', ResultCode.BAD_REQUEST),
            ("POST", "/v1/stop-admitting", OPERATOR, b'{"reason":" "}', ResultCode.BAD_REQUEST),
            ("POST", "/v1/stop-admitting", OPERATOR, b"[" * 20_000, ResultCode.BODY_TOO_LARGE),
            ("POST", "/v1/log-level", OPERATOR, b'{"level":"LOUD"}', ResultCode.BAD_REQUEST),
        ],
    )
    def test_answer_has_a_number_and_changes_nothing(self, method, path, key, body, code):
        log = RecordingLog()

        async def story(fleet):
            answer = await send_asgi_request(entry_app(fleet, log), method, path, key, body)
            return answer, fleet.entry("victoria").request_tracker.draining

        answer, draining = in_fleet(story)
        assert answer.document["error"]["number"] == code
        assert not draining
        assert log.level == "INFO"
        assert [event for event, _ in log.emitted] == [events.ADMIN_REFUSED]
        for text in (str(log.emitted), json.dumps(answer.document)):
            assert not key or key not in text
