from guavawalk.version.list_state import NO_LIST, ListState, digest_entries


class TestListState:
    def test_later_list_is_newer_unless_its_digest_is_equal(self):
        known = ListState(1, 50, 7)
        assert ListState(1, 51, 8).is_newer_than(known)
        assert not ListState(1, 51, 7).is_newer_than(known)
        assert not ListState(1, 50, 8).is_newer_than(known)
        assert not ListState(0, 90, 8).is_newer_than(known)
        assert known.is_newer_than(NO_LIST)

    def test_digests_of_two_eras_and_unknown_ones_are_not_equal(self):
        assert ListState(2, 9, 7).is_newer_than(ListState(1, 50, 7))
        assert ListState(1, 51).is_newer_than(ListState(1, 50))

    def test_equal_list_at_a_later_position_confirms_an_earlier_one(self):
        assert ListState(1, 51, 7).confirms(ListState(1, 50, 7))
        for other in (ListState(1, 50, 7), ListState(1, 51, 8), ListState(2, 51, 7)):
            assert not other.confirms(ListState(1, 50, 7))
        assert not ListState(1, 51).confirms(ListState(1, 50))


class TestDigestEntries:
    def test_depends_on_ids_and_revisions_but_not_on_their_order(self):
        digest = digest_entries({"i-1": 5, "i-2": 6})
        assert digest == digest_entries({"i-2": 6, "i-1": 5}) != 0
        others = ({"i-1": 5}, {"i-1": 5, "i-2": 7}, {"i-1": 5, "i-3": 6}, {})
        assert len({digest, *map(digest_entries, others)}) == 5

    def test_unknown_revision_makes_it_unknown(self):
        assert digest_entries({"i-1": 5, "i-2": 0}) == 0
