"""Tests that operators see and clear at a gateway what is refused since it ends targets."""

import json

import anyio
import pytest

from guavawalk.connection.tasks.admin import create_admin_app
from guavawalk.process.admin.gateway_node import create_gateway_node
from guavawalk.process.part_suspects import BLAMED_MOMENTS
from guavawalk.request.call import SharedPart
from tests.asgi import send_asgi_request
from tests.crash_fleet import running_fleet
from tests.gateway_calls import make_registration
from tests.gateway_standins import GatewayHarness, run_with_timeout
from tests.process.admin.keys import KEYS, OPERATOR, READER, TEAM_OPERATOR

PART = SharedPart("5c1e07a2", 0x1234)
FINGERPRINT = 0x77


def blame(gateway):
    """Blame a part and a request at a gateway for the ends of some targets."""
    now_s = gateway.clock.now_s()
    for number in range(BLAMED_MOMENTS):
        gateway.part_suspects.record_target_death((PART,), f"i-{number}", now_s - number)
        gateway.suspects.record_target_death(FINGERPRINT, f"i-{number}")


def app_of(story):
    return create_admin_app(create_gateway_node(story.gateway, 5), KEYS)


def clearing(kind="part", key=PART.key, reason="new model version"):
    return json.dumps({"kind": kind, "key": f"{key:016x}", "reason": reason}).encode()


class TestGatewayNode:
    async def at_blamed_gateway(self, *words):
        story = GatewayHarness()
        story.gateway.targets.put(make_registration("i-1", slots=4))
        blame(story.gateway)
        return story, await send_asgi_request(app_of(story), *words)

    def test_shows_what_is_blamed(self):
        _, answer = run_with_timeout(self.at_blamed_gateway, "GET", "/v1/suspects", READER)
        part, blocked = answer.document["suspects"]
        assert (part["kind"], part["name"], part["key"]) == (
            "part",
            PART.part_id,
            "0" * 12 + "1234",
        )
        assert (part["ends"], part["is_blamed"], part["trials"]) == (BLAMED_MOMENTS, True, 0)
        assert 0.0 < part["next_trial_s"] < 60.0
        assert (blocked["kind"], blocked["is_blamed"]) == ("request", True)

    def test_shows_state_and_targets(self):
        _, state = run_with_timeout(self.at_blamed_gateway, "GET", "/v1/state", READER)
        assert (state.document["role"], state.document["instance"]) == ("gateway", "g-1")
        _, targets = run_with_timeout(self.at_blamed_gateway, "GET", "/v1/targets", READER)
        assert [target["name"] for target in targets.document["targets"]] == ["i-1"]

    @pytest.mark.parametrize("key", (READER, TEAM_OPERATOR))
    def test_only_operators_of_all_workspaces_clear(self, key):
        words = ("POST", "/v1/clear-suspect", key, clearing())
        story, answer = run_with_timeout(self.at_blamed_gateway, *words)
        assert answer.status == 403
        assert story.gateway.part_suspects.is_blamed(PART.key)

    @pytest.mark.parametrize(
        "body",
        (
            clearing(kind="tenant"),
            clearing(reason=" "),
            clearing().replace(b"1234", b"xyzw"),
            b"{}",
            b'{"kind": "part", "key": 5, "reason": "x"}',
        ),
    )
    def test_bad_input_gets_a_clear_error(self, body):
        words = ("POST", "/v1/clear-suspect", OPERATOR, body)
        story, answer = run_with_timeout(self.at_blamed_gateway, *words)
        assert answer.status == 400
        assert story.gateway.part_suspects.is_blamed(PART.key)

    def test_action_is_logged_with_the_holder_of_the_key(self):
        words = ("POST", "/v1/clear-suspect", OPERATOR, clearing())
        story, answer = run_with_timeout(self.at_blamed_gateway, *words)
        assert answer.document["changed"]
        (logged,) = story.log.named("admin_suspect_cleared")
        assert (logged["key_name"], logged["reason"]) == ("operator", "new model version")

    def test_unknown_suspect_changes_nothing(self):
        words = ("POST", "/v1/clear-suspect", OPERATOR, clearing(key=9))
        _, answer = run_with_timeout(self.at_blamed_gateway, *words)
        assert answer.status == 200 and not answer.document["changed"]


class TestClearing:
    @pytest.mark.parametrize(("kind", "key"), (("part", PART.key), ("request", FINGERPRINT)))
    def test_holds_at_all_gateways(self, kind, key):
        async def run():
            async with running_fleet(gateways=4, targets=0) as fleet:
                gateways = [story.gateway for story in fleet.gateways]

                def blamed():
                    if kind == "part":
                        return sum(one.part_suspects.is_blamed(key) for one in gateways)
                    return sum(one.suspects.is_blocked(key) for one in gateways)

                blame(gateways[0])
                gateways[0].part_news.add((PART.key,))
                gateways[0].crash_news.add((FINGERPRINT,))
                while blamed() < 4:
                    await anyio.sleep(0.01)
                words = ("POST", "/v1/clear-suspect", OPERATOR, clearing(kind, key))
                await send_asgi_request(app_of(fleet.gateways[3]), *words)
                while blamed():
                    await anyio.sleep(0.01)

        run_with_timeout(run)
