from guavawalk.process.gateway.registry_eras import ERA_SETTLE_S, create_registry_eras
from guavawalk.process.gateway.targets import create_target_table
from guavawalk.version.list_state import ListState
from guavawalk.version.position import RegistryPosition
from tests.gateway_calls import make_registration

READY = make_registration("i-1", started_at_ms=20)
DRAINING = READY._replace(draining=True)


def table_in_era(era, *registrations):
    """Return a table that has read registrations at revision 100 of an era."""
    table = create_target_table()
    table.begin_read(RegistryPosition(era, 100))
    for registration in registrations:
        table.put(registration, 90)
    return table


class TestRegistryEras:
    def test_first_era_that_is_seen_loses_nothing(self):
        eras = create_registry_eras()
        assert not eras.observe(3, 7.0)
        assert eras.settled_s < 7.0

    def test_later_eras_restart_the_time_in_which_entries_may_be_missing(self):
        eras = create_registry_eras()
        eras.observe(0, 1.0)
        assert eras.observe(1, 2.0) and eras.observe(4, 3.0)
        assert not eras.observe(4, 9.0) and not eras.observe(2, 9.0)
        assert (eras.era, eras.settled_s) == (4, 3.0 + ERA_SETTLE_S)
        assert eras.is_outdated(3) and not eras.is_outdated(4)


class TestOutdatedEntries:
    def test_copy_does_not_make_a_draining_target_ready(self):
        table = table_in_era(0, DRAINING)
        table.begin_read(RegistryPosition(1, 60))
        assert table.is_outdated(READY, 50)
        assert not table.is_outdated(READY, 61)
        assert not table.is_outdated(READY._replace(started_at_ms=21), 50)

    def test_draining_target_from_a_peer_that_knew_it_before_the_era_stays_draining(self):
        table = create_target_table()
        table.begin_read(RegistryPosition(1, 60))
        table.put(DRAINING)
        assert table.is_outdated(READY, 50)

    def test_target_that_lapsed_before_is_not_used_longer_for_a_new_era(self):
        table = table_in_era(0, READY)
        table.remove("i-1", 0.1, True, 2.5)
        table.remove("i-1", 2.1, True, 4.5)
        assert table.get("i-1").usable_until_s == 2.5

    def test_copy_does_not_bring_back_a_target_that_is_gone(self):
        table = table_in_era(0, READY)
        table.remove("i-1", 0.0, has_lapsed=False)
        assert not table.is_outdated(READY, 90)
        table.begin_read(RegistryPosition(1, 60))
        assert table.is_outdated(READY, 50)
        assert table.is_outdated(READY._replace(started_at_ms=19, address="127.0.0.1:9"), 50)
        assert not table.is_outdated(READY, 61)
        assert not table.is_outdated(READY._replace(started_at_ms=21), 50)

    def test_copy_does_not_replace_a_later_start(self):
        table = table_in_era(0, READY)
        table.begin_read(RegistryPosition(1, 60))
        assert table.is_outdated(READY._replace(started_at_ms=19), 50)

    def test_copy_stays_outdated_after_the_missing_start_has_expired(self):
        table = table_in_era(0, READY)
        table.begin_read(RegistryPosition(1, 60))
        table.remove("i-1", 1.0, True, 3.5)
        assert table.get("i-1").usable_until_s == 3.5
        assert table.expire(3.5) == ["i-1"]
        assert table.is_outdated(READY._replace(started_at_ms=19), 50)

    def test_gateway_asleep_through_several_eras_knows_what_is_gone(self):
        table = table_in_era(0, READY, make_registration("i-2"))
        table.remove("i-1", 0.0, has_lapsed=False)
        table.begin_read(RegistryPosition(3, 40))
        assert table.is_outdated(READY, 30)
        assert not table.is_outdated(make_registration("i-2"), 30)

    def test_removal_and_return_within_an_era_count(self):
        table = table_in_era(2, READY)
        table.remove("i-1", 0.0, has_lapsed=False)
        assert not table.is_outdated(READY, 105)

    def test_list_tells_no_revisions_of_an_earlier_era(self):
        table = table_in_era(0, READY, make_registration("i-2"))
        table.begin_read(RegistryPosition(1, 60))
        table.put(READY, 50)
        table.list_state = ListState(1, 60)
        listed = table.listed(0.0)
        assert (listed.state.position, listed.era_read_revision) == ((1, 60), 60)
        assert listed.revisions_by_id() == {"i-1": 50, "i-2": 0}

    def test_earliest_read_of_an_era_counts(self):
        table = table_in_era(1, DRAINING)
        table.begin_read(RegistryPosition(2, 80))
        table.begin_read(RegistryPosition(2, 60))
        table.begin_read(RegistryPosition(2, 95))
        assert not table.is_outdated(READY, 70)
