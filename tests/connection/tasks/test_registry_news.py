import anyio

from guavawalk.connection.tasks.check_target import check_target
from guavawalk.connection.tasks.gossip import make_report
from guavawalk.connection.tasks.registry_news import apply_evacuations, observe_era
from guavawalk.process.gateway.reports import decode_report, encode_report
from guavawalk.version.evacuations import Evacuations
from guavawalk.version.list_state import ListState
from guavawalk.version.position import RegistryPosition
from tests.connection.tasks.test_follow_registry import follow, until
from tests.connection.tasks.test_gossip import with_data_centres, with_gateways
from tests.gateway_calls import make_registration
from tests.gateway_standins import GatewayHarness, run_with_timeout
from tests.platform.test_configuration import DOCUMENT
from tests.platform.test_registrations import ROW


async def roll_back(story, stand_in, copy, revision):
    """Restore an older copy; return once the gateway has read it."""
    stand_in.roll_back(copy, revision)
    await until(lambda: story.gateway.targets.position.era == stand_in.era)
    await until(lambda: story.gateway.evacuations.state.position.era == stand_in.era)


class TestRollback:
    def test_lost_entry_is_used_until_it_is_written_again(self):
        async def use(story, stand_in):
            targets = story.gateway.targets
            stand_in.put("servers/i-1", ROW)
            copy, revision = dict(stand_in.items), stand_in.revision
            stand_in.put("servers/i-2", ROW)
            await until(lambda: len(targets) == 2)
            await roll_back(story, stand_in, copy, revision)
            assert story.log.named("registry_era_begun")[0]["source"] == "registry"
            assert story.log.named("target_gone")[0]["reason"] == "entry lapsed"
            left_s = targets.get("i-2").usable_until_s - story.gateway.clock.now_s()
            assert 0.0 < left_s <= 2.5 and targets.ids() == {"i-1", "i-2"}
            stand_in.put("servers/i-2", ROW)
            await until(lambda: targets.get("i-2").usable_until_s == float("inf"))

        follow(use)

    def test_target_that_was_removed_comes_back_only_by_its_own_entry(self):
        async def use(story, stand_in):
            targets = story.gateway.targets
            stand_in.put("servers/i-1", ROW)
            stand_in.put("servers/i-2", ROW)
            copy, revision = dict(stand_in.items), stand_in.revision
            await until(lambda: len(targets) == 2)
            stand_in.remove("servers/i-1")
            await until(lambda: len(targets) == 1)
            await roll_back(story, stand_in, copy, revision)
            assert targets.ids() == {"i-2"}
            assert story.log.named("registrations_outdated")[0]["targets"] == ["i-1"]
            stand_in.put("servers/i-1", ROW)
            await until(lambda: len(targets) == 2)

        follow(use)

    def test_draining_target_is_ready_only_by_its_own_entry_in_any_later_era(self):
        async def use(story, stand_in):
            targets = story.gateway.targets
            stand_in.put("servers/i-1", ROW)
            copy, revision = dict(stand_in.items), stand_in.revision
            stand_in.put("servers/i-1", {**ROW, "state": "draining"})
            await until(lambda: len(targets) and targets.get("i-1").registration.draining)
            stand_in.roll_back(copy, revision)
            for _ in range(2):
                await roll_back(story, stand_in, copy, revision)
                assert targets.get("i-1").registration.draining
            stand_in.put("servers/i-1", ROW)
            await until(lambda: not targets.get("i-1").registration.draining)

        follow(use)

    def test_routes_stay_at_the_later_version(self):
        async def use(story, stand_in):
            stand_in.put("op/config", DOCUMENT)
            copy, revision = dict(stand_in.items), stand_in.revision
            stand_in.put("op/config", {**DOCUMENT, "version": 9})
            await until(lambda: story.gateway.routes.table.version == 9)
            await roll_back(story, stand_in, copy, revision)
            assert story.gateway.routes.table.version == 9

        follow(use)

    def test_late_answer_of_an_older_era_is_dropped(self):
        async def use(story, stand_in):
            observe_era(story.gateway, 5, "peer")
            stand_in.put("servers/i-1", ROW)
            stand_in.put("op/evacuate/a", {})
            dropped = 'registry_answers_outdated_total{what="%s"}'
            for what in ("routes", "targets"):
                await until(lambda name=dropped % what: name in story.gateway.metrics.render())
            assert not story.gateway.targets.is_loaded and not story.gateway.targets.evacuated
            stand_in.era = 5
            await until(lambda: story.gateway.targets.ids() == {"i-1"})

        follow(use)


class TestEvacuations:
    def test_followed_in_the_store_and_kept_at_a_rollback(self):
        async def use(story, stand_in):
            targets = story.gateway.targets
            copy, revision = dict(stand_in.items), stand_in.revision
            stand_in.put("op/evacuate/a", {})
            await until(lambda: targets.evacuated == {"a"})
            await roll_back(story, stand_in, copy, revision)
            assert targets.evacuated == {"a"}
            stand_in.put("op/evacuate/a", {})
            await until(lambda: story.gateway.evacuations.state.data_centres)
            stand_in.remove("op/evacuate/a")
            await until(lambda: not targets.evacuated)
            (lifted,) = story.log.named("evacuation_lifted")
            assert (lifted["data_centre"], lifted["source"], lifted["era"]) == ("a", "registry", 1)

        follow(use)

    def test_gateway_that_starts_during_one_is_ready_only_when_it_knows_it(self):
        async def use(story, stand_in):
            stand_in.put("op/evacuate/a", {})
            story.gateway.routes.table = story.gateway.routes.table._replace(version=1)
            story.gateway.targets.is_loaded = True
            assert not story.gateway.is_ready()
            await until(story.gateway.is_ready)
            assert story.gateway.targets.evacuated == {"a"}

        follow(use)

    def test_learnt_from_gateways_of_the_same_and_of_another_data_centre(self):
        async def use(one, two, three):
            for story in (two, three):
                story.gateway.evacuations.is_known = False
            position = RegistryPosition(0, 7)
            apply_evacuations(one.gateway, Evacuations(position, ("c",)), "registry")
            for story in (two, three):
                await until(lambda gateway=story.gateway: gateway.targets.evacuated == {"c"})
                assert story.gateway.is_ready()
            apply_evacuations(one.gateway, Evacuations(position._replace(era=1)), "registry")
            await until(lambda: two.log.named("registry_era_begun"))
            assert two.gateway.targets.evacuated == {"c"}

        with_data_centres(use, "a", "a", "b")

    def test_target_of_an_evacuated_data_centre_is_not_checked(self):
        async def run():
            story = GatewayHarness()
            story.gateway.targets.put(make_registration("i-1", address="127.0.0.1:9"))
            story.gateway.targets.set_evacuated(frozenset("a"), 0.0)
            await check_target(story.gateway, story.gateway.targets.get("i-1"))
            return story

        assert not run_with_timeout(run).log.named("target_ended")


class TestPeersInTwoEras:
    def test_list_of_the_later_era_is_fetched_whatever_its_revision(self):
        async def use(one, two):
            for story in (one, two):
                story.gateway.targets.put(make_registration("i-1"), 40)
                story.gateway.targets.list_state = ListState(0, 50)
                observe_era(story.gateway, 0, "registry")
            two.gateway.targets.remove("i-1", 0.0, has_lapsed=False)
            two.gateway.targets.put(make_registration("i-2"), 45)
            one.gateway.targets.begin_read(RegistryPosition(1, 9))
            one.gateway.targets.put(make_registration("i-1"), 4)
            one.gateway.targets.list_state = ListState(1, 9)
            await until(lambda: two.gateway.targets.position == (1, 9))
            # The other gateway did not know that the target had gone.
            assert two.gateway.targets.ids() == {"i-2"}
            assert two.gateway.targets.get("i-2").usable_until_s < float("inf")
            await anyio.sleep(0.3)
            assert one.gateway.targets.position == (1, 9)

        with_gateways(use, 2)

    def test_report_carries_era_and_evacuations(self):
        async def run():
            gateway = GatewayHarness().gateway
            gateway.targets.record_list(ListState(2, 9, 5), last_change=7)
            state = Evacuations(RegistryPosition(2, 11), ("c",))
            apply_evacuations(gateway, state, "registry")
            report = decode_report(encode_report(make_report(gateway, 1, 1)))
            return report, state

        report, state = run_with_timeout(run)
        assert (report.registry_era, report.targets_revision) == (2, 7)
        assert (report.list_state, report.evacuations) == ((2, 9, 5), state)
