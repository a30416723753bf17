"""The metrics page, in the text exposition format."""

from __future__ import annotations

from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.http_call import HttpCaller
from winchfork.router.metrics import BUCKETS_S
from winchfork.router.state import RouterState

_PREFIX = "winchfork_"


def render_metrics(state: RouterState, pool: ConnectionPool, calls: HttpCaller) -> bytes:
    """Return the page."""
    lines = _gauges(state, pool)
    for (name, label), value in sorted(state.metrics.counters.items()):
        lines.append(f'{_PREFIX}{name}_total{{outcome="{label}"}} {value}')
    for label, value in sorted(calls.calls.items()):
        lines.append(f'{_PREFIX}calls_total{{call="{label}"}} {value}')
    lines += _histograms(state)
    return ("\n".join(lines) + "\n").encode()


def _gauges(state: RouterState, pool: ConnectionPool) -> list[str]:
    now_s = state.clock()
    values = {
        "configuration_version": state.table.version if state.table else 0,
        "configuration_age_seconds": min(1e9, state.freshness.age_s(now_s)),
        "replicas": len(state.fleet),
        "parts_believed": len(state.parts),
        "ready": int(state.ready),
        "connections_opened": pool.counters.opened,
        "connections_failed": pool.counters.failed,
        **state.metrics.gauges,
    }
    return [f"{_PREFIX}{name} {value}" for name, value in values.items()]


def _histograms(state: RouterState) -> list[str]:
    lines: list[str] = []
    for (name, label), histogram in sorted(state.metrics.histograms.items()):
        total = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), histogram.counts, strict=True):
            total += count
            lines.append(f'{_PREFIX}{name}_bucket{{kind="{label}",le="{bound}"}} {total}')
        lines.append(f'{_PREFIX}{name}_sum{{kind="{label}"}} {histogram.total_s:.6f}')
        lines.append(f'{_PREFIX}{name}_count{{kind="{label}"}} {total}')
    return lines
