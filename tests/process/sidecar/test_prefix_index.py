"""The prefix index against a naive list."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from guavawalk.connection.target import CacheEvent, CacheEvents
from guavawalk.process.sidecar.prefix_index import BLOCK_TOKENS, PrefixIndex, create_prefix_index

CAPACITY = 5
# A prompt is a path in a small tree, so that prompts share prefixes like real ones.
PATHS = st.lists(st.integers(0, 2), max_size=4)


def hashes_of(path):
    return tuple(hash(tuple(path[:end])) for end in range(1, len(path) + 1))


class NaiveIndex:
    """Two lists in order of use."""

    def __init__(self):
        self.cached = []
        self.sent = []
        self.last = 0

    def record_computed(self, hashes):
        for block in hashes:
            self.cached = [*(b for b in self.cached if b != block), block]
            self.sent = [*(b for b in self.sent if b != block), block]
        self.cached, self.sent = self.cached[-CAPACITY:], self.sent[-4 * CAPACITY :]

    def apply(self, sequence, stored, block):
        if sequence <= self.last:
            return
        self.last = sequence
        if stored and block not in self.cached:
            self.cached = [*self.cached, block][-CAPACITY:]
        elif not stored:
            self.cached = [b for b in self.cached if b != block]

    def tokens(self, blocks, hashes):
        longest = 0
        while longest < len(hashes) and hashes[longest] in blocks:
            longest += 1
        return longest * BLOCK_TOKENS


SENT = st.tuples(st.just("sent"), PATHS)
EVENT = st.tuples(
    st.just("event"), st.integers(1, 30), st.booleans(), PATHS.filter(lambda path: path)
)
STEPS = st.lists(SENT | EVENT, max_size=40)


def check_agreement(steps):
    index, naive = create_prefix_index(CAPACITY), NaiveIndex()
    for step in steps:
        hashes = hashes_of(step[-1])
        assert index.cached_tokens(hashes) == naive.tokens(naive.cached, hashes)
        assert index.seen_tokens(hashes) == naive.tokens(naive.sent, hashes)
        if step[0] == "sent":
            index.record_computed(hashes)
            naive.record_computed(hashes)
        else:
            _, sequence, stored, _ = step
            event = CacheEvent(sequence, stored, hashes[-1], BLOCK_TOKENS)
            index.apply_events(CacheEvents(0, (event,)))
            naive.apply(sequence, stored, hashes[-1])
        assert index.total_cached_tokens == len(naive.cached) * BLOCK_TOKENS


class TestPrefixIndex:
    @given(STEPS)
    def test_agrees_with_a_naive_list(self, steps):
        check_agreement(steps)

    @pytest.mark.parametrize(
        ("name", "broken"),
        [
            ("_trim", lambda self: None),
            ("apply_events", lambda self, received: None),
            ("seen_tokens", PrefixIndex.cached_tokens),
        ],
    )
    def test_a_mutant_is_caught(self, monkeypatch, name, broken):
        monkeypatch.setattr(PrefixIndex, name, broken)
        with pytest.raises(AssertionError):
            settings(phases=[Phase.generate])(given(STEPS)(check_agreement))()

    def test_a_gap_in_the_events_is_counted_and_removes_no_other_block(self):
        index = create_prefix_index(CAPACITY)
        index.record_computed((1, 2))
        index.apply_events(CacheEvents(oldest=10, events=(CacheEvent(10, False, 2, BLOCK_TOKENS),)))
        assert index.gaps == 1
        assert index.cached_tokens((1, 2)) == BLOCK_TOKENS

    def test_a_restarted_engine_holds_nothing_but_what_was_sent_is_remembered(self):
        index = create_prefix_index(CAPACITY)
        index.record_computed((1, 2))
        index.clear()
        assert index.cached_tokens((1, 2)) == 0
        assert index.seen_tokens((1, 2)) == 2 * BLOCK_TOKENS
