"""The metrics page: counters by label, cumulative buckets, and gauges read on rendering."""

from __future__ import annotations

import unittest

from winchfork.router import metrics
from winchfork.router.metrics import RouterMetrics


class MetricsPageTest(unittest.TestCase):
    def test_the_page_shows_every_kind_of_metric(self) -> None:
        router_metrics = RouterMetrics()
        router_metrics.requests.labels("delivered_200").inc()
        router_metrics.requests.labels("delivered_200").inc()
        router_metrics.requests.labels("overloaded").inc()
        router_metrics.truncated_answers.labels("router").inc()
        router_metrics.request_seconds.labels("stream").observe(0.3)
        router_metrics.first_event_seconds.observe(0.03)
        router_metrics.first_event_seconds.observe(99.0)
        ready = [False]
        router_metrics.add_gauge("ready", "Whether callers are wanted.", lambda: ready[0])
        ready[0] = True
        router_metrics.sent_by_software.labels("models:v2").inc()
        router_metrics.sent_by_region.labels("perth").inc(3)
        router_metrics.software_shares = lambda: {"models": 0.25}
        router_metrics.sent_under_limit.labels("i-1").inc(2)
        router_metrics.limit_effects.labels("refused").inc()
        router_metrics.replica_limits = lambda: {"i-1": 0.5}
        page = router_metrics.render().decode()
        for line in (
            'winchfork_requests_total{outcome="delivered_200"} 2.0',
            'winchfork_requests_total{outcome="overloaded"} 1.0',
            'winchfork_truncated_answers_total{by="router"} 1.0',
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

    def test_a_buckets_upper_bound_is_inclusive(self) -> None:
        router_metrics = RouterMetrics()
        router_metrics.first_event_seconds.observe(0.05)
        self.assertIn(
            'winchfork_first_event_seconds_bucket{le="0.05"} 1.0', router_metrics.render().decode()
        )

    def test_the_prometheus_client_is_not_imported_with_the_router(self) -> None:
        self.assertNotIn("prometheus_client", vars(metrics))


if __name__ == "__main__":
    unittest.main()
