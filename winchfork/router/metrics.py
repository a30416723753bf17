"""Counters, gauges and latency histograms of one router process, and their exposition page.

Values are plain numbers until the page is rendered by ``prometheus_client``. That library is
imported on the first page only, since it loads an HTTP server and client.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Generic, TypeVar

import msgspec

if TYPE_CHECKING:
    from prometheus_client.core import Metric

#: Upper bounds of the latency buckets, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class CounterChild:
    """The count for one value of the label."""

    def __init__(self) -> None:
        self.value = 0

    def inc(self, amount: int = 1) -> None:
        """Increase the count."""
        self.value += amount


class Counter(CounterChild):
    """A count without a label."""

    def __init__(self, name: str, description: str) -> None:
        super().__init__()
        self.name = name
        self.description = description


class HistogramChild:
    """The durations observed for one value of the label, by bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Record one duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return each bucket's upper bound and its cumulative count."""
        rows: list[tuple[str, float]] = []
        total = 0
        for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), self.counts, strict=True):
            total += count
            rows.append((bound, total))
        return rows


_Child = TypeVar("_Child", CounterChild, HistogramChild)


class LabelledMetric(Generic[_Child]):
    """A metric with one child for each value of its label; an empty ``label`` means none."""

    def __init__(
        self, child_type: type[_Child], name: str, description: str, label: str = ""
    ) -> None:
        self.name = name
        self.description = description
        self.label = label
        self.children: defaultdict[str, _Child] = defaultdict(child_type)

    def labels(self, value: str) -> _Child:
        """Return the child for one label value."""
        return self.children[value]


class _Gauge(msgspec.Struct, frozen=True):
    """A value that is read when the page is rendered."""

    name: str
    description: str
    read: Callable[[], float]


class RouterMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self.requests = LabelledMetric(
            CounterChild, "winchfork_requests", "Finished requests, by outcome.", "outcome"
        )
        self.request_seconds = LabelledMetric(
            HistogramChild,
            "winchfork_request_seconds",
            "Seconds from the first byte of a request to the end of its answer, by kind of route.",
            "kind",
        )
        self._first_event = LabelledMetric(
            HistogramChild,
            "winchfork_first_event_seconds",
            "Seconds from the first byte of a request to the first event of its stream.",
        )
        self.first_event_seconds = self._first_event.labels("")
        self.calls = LabelledMetric(
            CounterChild, "winchfork_calls", "Calls to the store and to replicas.", "call"
        )
        self.bad_datagrams = Counter(
            "winchfork_bad_datagrams", "Received datagrams that are not valid peer messages."
        )
        self.datagrams_refused = Counter(
            "winchfork_datagrams_refused", "Sent datagrams that the receiving machine refused."
        )
        self.documents_refused = Counter(
            "winchfork_documents_refused", "Entries of the store that could not be decoded."
        )
        self.late_starts = Counter(
            "winchfork_late_starts",
            "Streams whose first event came after the weights they run on had expired.",
        )
        self.mixed_streams = Counter(
            "winchfork_mixed_streams",
            "Answers with events of several versions of a service's software.",
        )
        self.continued_streams = LabelledMetric(
            CounterChild,
            "winchfork_continued_streams",
            "Requests that continue a stream, by where the software that began it was known.",
            "origin",
        )
        self.truncated_answers = LabelledMetric(
            CounterChild,
            "winchfork_truncated_answers",
            "Answers that had begun and were not completed, by who broke them off.",
            "by",
        )
        self.updates_relayed = LabelledMetric(
            CounterChild,
            "winchfork_updates_relayed",
            "Updates of the store's entries received from peers, by outcome.",
            "outcome",
        )
        self.updates_dropped = LabelledMetric(
            CounterChild,
            "winchfork_updates_dropped",
            "Answers of the store and updates of peers that were not applied, by reason.",
            "why",
        )
        self.store_refusals = LabelledMetric(
            CounterChild,
            "winchfork_store_refusals",
            "Answers of the store other than success, by status.",
            "status",
        )
        self.quota_used = LabelledMetric(
            CounterChild,
            "winchfork_quota_used",
            "Quota units of admitted requests, by tenant.",
            "tenant",
        )
        self.quota_refused = LabelledMetric(
            CounterChild,
            "winchfork_quota_refused",
            "Quota units of refused requests, by tenant.",
            "tenant",
        )
        self.sent_by_software = LabelledMetric(
            CounterChild,
            "winchfork_sent_by_software",
            "Requests sent to replicas, by service and version of its software.",
            "software",
        )
        self.sent_by_region = LabelledMetric(
            CounterChild,
            "winchfork_sent_by_region",
            "Requests sent to replicas, by region of the replica.",
            "region",
        )
        self.notices = LabelledMetric(
            CounterChild,
            "winchfork_notices",
            "Notices of draining, backoffs and limits in replicas' answers, by kind.",
            "notice",
        )
        self.sent_under_limit = LabelledMetric(
            CounterChild,
            "winchfork_sent_under_limit",
            "Requests sent to replicas with a limit, by replica.",
            "replica",
        )
        self.limit_effects = LabelledMetric(
            CounterChild,
            "winchfork_limit_effects",
            "Requests that were placed elsewhere, queued or refused while replicas were at their "
            "limits, by effect.",
            "effect",
        )
        self.unknown_headers = LabelledMetric(
            CounterChild,
            "winchfork_unknown_notices",
            "Answers with a notice header that this build does not know, by header.",
            "header",
        )
        #: Share of requests that a new software version may get now, by service.
        self.software_shares: Callable[[], Mapping[str, float]] = dict
        #: Limit in requests a second, by replica.
        self.replica_limits: Callable[[], Mapping[str, float]] = dict
        #: Buffered bytes of other processes, by what they are part of.
        self.buffered_bytes: Callable[[], Mapping[str, float]] = dict
        #: Quota units that may be used now, by tenant.
        self.remaining_quotas: Callable[[], Mapping[str, float]] = dict
        self._gauges: list[_Gauge] = []

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the page is rendered."""
        self._gauges.append(_Gauge(f"winchfork_{name}", description, read))

    def render(self) -> bytes:
        """Return the page in the text exposition format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families; called by ``prometheus_client`` for each page."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        single = (self.bad_datagrams, self.datagrams_refused, self.documents_refused)
        for counter in (*single, self.late_starts, self.mixed_streams):
            yield CounterMetricFamily(counter.name, counter.description, value=counter.value)
        counters = (
            self.requests,
            self.truncated_answers,
            self.continued_streams,
            self.calls,
            self.updates_relayed,
            self.updates_dropped,
            self.store_refusals,
            self.notices,
            self.unknown_headers,
        )
        sent = (self.sent_by_software, self.sent_by_region, self.sent_under_limit)
        quotas = (self.quota_used, self.quota_refused)
        for labelled in (*counters, *sent, *quotas, self.limit_effects):
            counts = CounterMetricFamily(
                labelled.name, labelled.description, labels=[labelled.label]
            )
            for value, child in labelled.children.items():
                counts.add_metric([value], child.value)
            yield counts
        for histogram in (self.request_seconds, self._first_event):
            labels = [histogram.label] if histogram.label else []
            family = HistogramMetricFamily(histogram.name, histogram.description, labels=labels)
            for value, durations in histogram.children.items():
                family.add_metric(
                    [value] if labels else [], durations.cumulative(), durations.sum_s
                )
            yield family
        yield from self._labelled_gauges()
        for gauge in self._gauges:
            yield GaugeMetricFamily(gauge.name, gauge.description, value=float(gauge.read()))

    def _labelled_gauges(self) -> Iterator[Metric]:
        """Yield the labelled gauges, which are read when the page is rendered."""
        from prometheus_client.core import GaugeMetricFamily

        rows = (
            (
                "winchfork_quota_left",
                "Remaining quota units as estimated by this daemon, by tenant.",
                "tenant",
                self.remaining_quotas(),
            ),
            (
                "winchfork_software_share",
                "Share of requests that a new software version may get, by service.",
                "service",
                self.software_shares(),
            ),
            (
                "winchfork_replica_limit",
                "Limit of requests a second from all daemons together, by replica.",
                "replica",
                self.replica_limits(),
            ),
            (
                "winchfork_buffered_bytes_by_kind",
                "Buffered bytes of other processes, by what they are part of.",
                "kind",
                self.buffered_bytes(),
            ),
        )
        for name, description, label, values in rows:
            family = GaugeMetricFamily(name, description, labels=[label])
            for labelled, value in values.items():
                family.add_metric([labelled], value)
            yield family
