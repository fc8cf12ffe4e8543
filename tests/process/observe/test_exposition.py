from guavawalk.process.observe.exposition import MAX_SERIES, create_metric_set


class TestMetricSet:
    def test_counter_is_the_sum_of_its_amounts(self):
        metrics = create_metric_set()
        metrics.count("calls_total", code="COMPLETED")
        metrics.count("calls_total", 2, code="COMPLETED")
        assert 'guavawalk_calls_total{code="COMPLETED"} 3' in metrics.render()

    def test_gauge_is_read_when_rendered(self):
        metrics = create_metric_set()
        values = {(): 1.0}
        metrics.gauge("waiting", lambda: values)
        values[()] = 7.0
        assert "guavawalk_waiting 7" in metrics.render()

    def test_histogram_is_cumulative(self):
        metrics = create_metric_set()
        for seconds in (0.003, 0.3, 100.0):
            metrics.observe("first_event_seconds", seconds, rank="0")
        text = metrics.render()
        assert 'guavawalk_first_event_seconds_bucket{rank="0",le="0.005"} 1' in text
        assert 'guavawalk_first_event_seconds_bucket{rank="0",le="0.5"} 2' in text
        assert 'guavawalk_first_event_seconds_bucket{rank="0",le="+Inf"} 3' in text
        assert 'guavawalk_first_event_seconds_count{rank="0"} 3' in text

    def test_series_are_bounded(self):
        metrics = create_metric_set()
        for number in range(2 * MAX_SERIES):
            metrics.count("calls_total", workspace=str(number))
        text = metrics.render()
        assert text.count("guavawalk_calls_total{") == MAX_SERIES + 1
        assert f'workspace="other"}} {MAX_SERIES}' in text

    def test_values_are_escaped(self):
        metrics = create_metric_set()
        metrics.count("calls_total", workspace='a"b\\c\nd')
        assert r'workspace="a\"b\\c\nd"' in metrics.render()
