import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavawalk.connection.tasks.crash_news import apply_crash_news, apply_part_news
from guavawalk.process.gateway.crash_news import (
    CRASH_NEWS_TAG,
    MAX_SUSPICIONS,
    PART_NEWS_TAG,
    SENDS,
    CrashNews,
    CrashPartNews,
    create_crash_news_queue,
    decode_crash_news,
    decode_part_news,
    encode_crash_news,
    encode_part_news,
)
from guavawalk.process.part_suspicion import PartNews
from guavawalk.process.suspects import SuspicionNews
from tests.crash_fleet import running_fleet
from tests.gateway_standins import GatewayHarness, run_with_timeout

NUMBERS = st.integers(-(2**63), 2**64 - 1)
NEWS = SuspicionNews(5, ((11, 100, True), (12, 200, False)), 300)


async def until(condition):
    while not condition():
        await anyio.sleep(0.01)


def is_blocked_by_all(fleet, fingerprint):
    return all(one.gateway.suspects.is_blocked(fingerprint) for one in fleet.gateways)


def record_deaths(story, fingerprint, *targets):
    for target in targets:
        story.gateway.suspects.record_target_death(fingerprint, target)


class TestDatagram:
    def test_is_read_as_it_was_written(self):
        news = CrashNews("a", (NEWS,))
        assert decode_crash_news(encode_crash_news(news)) == news

    def test_largest_fits_one_packet_where_requests_have_ended_few_targets(self):
        deaths = ((2**62, 9_000, True), (2**62, 9_000, True))
        suspicions = (SuspicionNews(2**62, deaths, 9_000),) * MAX_SUSPICIONS
        assert len(encode_crash_news(CrashNews("a", suspicions))) < 1_400

    def test_of_parts_is_read_as_it_was_written_and_fits_one_packet(self):
        deaths = ((2**62, 9_000),) * 3
        news = CrashPartNews("a", (PartNews(2**62, deaths, 9_000, 1, 9_000),) * MAX_SUSPICIONS)
        data = encode_part_news(news)
        assert decode_part_news(data) == news
        assert len(data) < 1_400

    @given(st.binary(max_size=200))
    def test_of_parts_with_any_bytes_raises_nothing_but_a_decode_error(self, data):
        async def run():
            gateway = GatewayHarness().gateway
            try:
                apply_part_news(gateway, PART_NEWS_TAG + data)
            except msgspec.DecodeError:
                assert not len(gateway.part_suspects)

        run_with_timeout(run)

    @given(st.binary(max_size=200))
    def test_bytes_of_any_kind_raise_nothing_but_a_decode_error(self, data):
        async def run():
            gateway = GatewayHarness().gateway
            try:
                apply_crash_news(gateway, CRASH_NEWS_TAG + data)
            except msgspec.DecodeError:
                assert not len(gateway.suspects)

        run_with_timeout(run)

    @given(
        st.lists(
            st.tuples(
                NUMBERS,
                st.lists(
                    st.tuples(NUMBERS, NUMBERS, st.booleans()),
                    max_size=12,
                ),
                NUMBERS,
            ),
            max_size=4,
        )
    )
    def test_numbers_of_any_size_leave_news_that_can_be_sent_on(self, suspicions):
        async def run():
            gateway = GatewayHarness().gateway
            apply_crash_news(gateway, encode_crash_news(CrashNews("b", tuple(suspicions))))
            for fingerprint in gateway.crash_news.take()[1]:
                news = gateway.suspects.news_of(fingerprint)
                assert decode_crash_news(encode_crash_news(CrashNews("a", (news,))))

        run_with_timeout(run)


class TestQueue:
    def test_news_is_sent_several_times(self):
        queue = create_crash_news_queue()
        queue.add((1,))
        sends = [queue.take()[0] for _ in range(SENDS + 1)]
        assert sends == [[1]] * SENDS + [[]]

    def test_newest_goes_first_among_many(self):
        queue = create_crash_news_queue()
        queue.add(range(100))
        assert queue.take()[0][0] == 99

    def test_news_of_another_data_centre_stays_in_this_one(self):
        queue = create_crash_news_queue()
        queue.add((1,), is_for_all=False)
        assert queue.take()[:2] == ([], [1])
        queue.add((1,))
        assert queue.take()[:2] == ([1], [])

    def test_greeted_gateways_are_taken_once(self):
        queue = create_crash_news_queue()
        queue.greet("127.0.0.1:1")
        assert queue.arrived.is_set()
        assert queue.take()[2] == {"127.0.0.1:1"}
        assert queue.take()[2] == set() and not queue.arrived.is_set()


class TestSpreading:
    def test_reaches_the_gateways_of_all_data_centres(self):
        async def run():
            async with running_fleet(gateways=5, targets=0) as fleet:
                record_deaths(fleet.gateways[1], 5, "i-1", "i-2", "i-3")
                fleet.gateways[1].gateway.crash_news.add((5,))
                await until(lambda: is_blocked_by_all(fleet, 5))
            return fleet

        fleet = run_with_timeout(run)
        assert fleet.gateways[0].log.named("call_blocked")

    @pytest.mark.parametrize("number", (0, 1))
    def test_reaches_a_gateway_that_starts_later_among_much_other_news(self, number):
        async def run():
            async with running_fleet(gateways=4, targets=0) as fleet:
                record_deaths(fleet.gateways[2], 5, "i-1", "i-2", "i-3")
                fleet.gateways[2].gateway.crash_news.add((5,))
                await until(lambda: is_blocked_by_all(fleet, 5))
                others = range(100, 300)
                for other in others:
                    record_deaths(fleet.gateways[2], other, "i-9")
                fleet.gateways[2].gateway.crash_news.add(others)
                await anyio.sleep(1.0)
                await fleet.replace_gateway(number)
                await until(lambda: is_blocked_by_all(fleet, 5))

        run_with_timeout(run)

    def test_old_news_is_repeated_without_a_change(self):
        async def run():
            async with running_fleet(gateways=2, targets=0) as fleet:
                record_deaths(fleet.gateways[0], 5, "i-1", "i-2", "i-3")
                await until(lambda: is_blocked_by_all(fleet, 5))

        run_with_timeout(run)
