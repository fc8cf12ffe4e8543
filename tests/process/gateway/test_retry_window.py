from hypothesis import given
from hypothesis import strategies as st

from guavawalk.process.gateway.retry_window import RetryBounds, create_retry_windows

BOUNDS = RetryBounds(ratio=0.2, slack=50.0, window_s=10.0)


class TestRetryWindows:
    def test_stays_within_its_share_of_the_slack(self):
        windows = create_retry_windows(BOUNDS)
        spent = sum(windows.try_spend("s", 5, 0.0) for _ in range(100))
        assert 0 < spent <= 10

    def test_requests_allow_further_retries(self):
        windows = create_retry_windows(BOUNDS)
        for _ in range(100):
            windows.record_request("s", 0.0)
        assert sum(windows.try_spend("s", 5, 1.0) for _ in range(100)) > 10

    def test_services_are_limited_separately(self):
        windows = create_retry_windows(BOUNDS)
        while windows.try_spend("a", 5, 0.0):
            pass
        assert windows.try_spend("b", 5, 0.0)

    def test_window_slides(self):
        windows = create_retry_windows(BOUNDS)
        while windows.try_spend("s", 5, 0.0):
            pass
        assert not windows.try_spend("s", 5, 9.9)
        assert windows.try_spend("s", 5, 10.1)

    @given(st.lists(st.tuples(st.integers(0, 4), st.booleans(), st.floats(0.0, 0.5)), max_size=300))
    def test_all_gateways_together_stay_within_the_bound(self, calls):
        gateways = [create_retry_windows(BOUNDS) for _ in range(5)]
        requests, retries, now_s = [], [], 0.0
        for index, is_retry, pause_s in calls:
            now_s += pause_s
            if not is_retry:
                gateways[index].record_request("s", now_s)
                requests.append(now_s)
            elif gateways[index].try_spend("s", 5, now_s):
                retries.append(now_s)
        for end_s in retries:
            inside = sum(end_s - 10.0 <= at_s <= end_s for at_s in retries)
            asked = sum(end_s - 10.0 <= at_s <= end_s for at_s in requests)
            assert inside <= 0.2 * asked + 50.0
