"""The metrics page: counts by label, cumulative buckets, and figures read when asked."""

from __future__ import annotations

import unittest

from winchfork.router import metrics
from winchfork.router.metrics import RouterMetrics


class MetricsPageTest(unittest.TestCase):
    def test_the_page_shows_every_kind_of_figure(self) -> None:
        figures = RouterMetrics()
        figures.requests.labels("delivered_200").inc()
        figures.requests.labels("delivered_200").inc()
        figures.requests.labels("overloaded").inc()
        figures.request_seconds.labels("stream").observe(0.3)
        figures.first_event_seconds.observe(0.03)
        figures.first_event_seconds.observe(99.0)
        ready = [False]
        figures.add_gauge("ready", "Whether callers are wanted.", lambda: ready[0])
        ready[0] = True
        figures.sent_by_software.labels("models:v2").inc()
        figures.sent_by_region.labels("perth").inc(3)
        figures.software_shares = lambda: {"models": 0.25}
        figures.sent_under_limit.labels("i-1").inc(2)
        figures.limit_effects.labels("refused").inc()
        figures.replica_limits = lambda: {"i-1": 0.5}
        page = figures.render().decode()
        for line in (
            'winchfork_requests_total{outcome="delivered_200"} 2.0',
            'winchfork_requests_total{outcome="overloaded"} 1.0',
            'winchfork_request_seconds_bucket{kind="stream",le="0.2"} 0.0',
            'winchfork_request_seconds_bucket{kind="stream",le="0.4"} 1.0',
            'winchfork_request_seconds_bucket{kind="stream",le="+Inf"} 1.0',
            'winchfork_request_seconds_sum{kind="stream"} 0.3',
            'winchfork_first_event_seconds_bucket{le="0.05"} 1.0',
            "winchfork_first_event_seconds_count 2.0",
            "winchfork_bad_datagrams_total 0.0",
            "winchfork_ready 1.0",
            'winchfork_sent_by_software_total{software="models:v2"} 1.0',
            'winchfork_sent_by_region_total{region="perth"} 3.0',
            'winchfork_software_share{service="models"} 0.25',
            'winchfork_sent_under_limit_total{replica="i-1"} 2.0',
            'winchfork_limit_effects_total{effect="refused"} 1.0',
            'winchfork_replica_limit{replica="i-1"} 0.5',
        ):
            self.assertIn(line + "\n", page)

    def test_a_bound_belongs_to_its_bucket(self) -> None:
        figures = RouterMetrics()
        figures.first_event_seconds.observe(0.05)
        self.assertIn(
            'winchfork_first_event_seconds_bucket{le="0.05"} 1.0', figures.render().decode()
        )

    def test_the_page_writer_is_not_imported_with_the_router(self) -> None:
        self.assertNotIn("prometheus_client", vars(metrics))


if __name__ == "__main__":
    unittest.main()
