"""Compares strategies for sharing one replica's request limit among daemons, in virtual time.

    python -m benchmarks.limit_sharing [--seed N]

`buckets`: each daemon has an equal share, in a token bucket of one request. `holders`: a few
daemons share the limit, as in the router (`winchfork.core.request_limit`). `grants`: one daemon
grants permits to the others on request, which takes a round trip.
Requests arrive at each daemon at random, `demand` a second. Printed for each strategy: the maximum
number of requests sent within 4 s, the share of the limit used, the seconds until the first
request, and the messages a second at the daemon that grants permits.
"""

from __future__ import annotations

import argparse
import bisect
import random
from collections.abc import Callable

import msgspec

from winchfork.core.request_limit import LimitPosition, RequestLimit

SECONDS = 120.0
WINDOW_S = 4.0
ROUND_TRIP_S = 0.01
#: Share of the limit that `grants` gives out.
USED_SHARE = 0.95
DAEMONS = (7, 15, 79, 420)
LIMITS_PER_S = (1.0, 3.0, 8.0)
DEMANDS_PER_S = (10.0, 1.0)


class Outcome(msgspec.Struct, frozen=True):
    """The times at which requests were sent, in seconds, and the number of permit messages."""

    sent_s: list[float]
    messages: int = 0


def arrivals(
    daemons: int, demand_per_s: float, generator: random.Random
) -> list[tuple[float, int]]:
    """Return the time of each request's arrival and the number of the daemon it arrives at."""
    found = []
    now_s = 0.0
    while now_s < SECONDS:
        now_s += generator.expovariate(daemons * demand_per_s)
        found.append((now_s, generator.randrange(daemons)))
    return found


def buckets(daemons: int, per_s: float, requests: list[tuple[float, int]]) -> Outcome:
    """Give each daemon an equal share of the limit."""
    interval_s = daemons / per_s
    due_s = [0.0] * daemons
    sent_s = []
    for at_s, daemon in requests:
        if at_s >= due_s[daemon]:
            due_s[daemon] = max(at_s, due_s[daemon]) + interval_s
            sent_s.append(at_s)
    return Outcome(sent_s)


def holders(daemons: int, per_s: float, requests: list[tuple[float, int]]) -> Outcome:
    """Share the limit among a few daemons, as the router does."""
    limits = [RequestLimit() for _ in range(daemons)]
    for rank, limit in enumerate(limits):
        limit.set_position(LimitPosition(rank, daemons), 0.0)
        limit.update(per_s, SECONDS)
    sent_s = []
    for at_s, daemon in requests:
        if limits[daemon].available_in_s(at_s) <= 0.0:
            limits[daemon].record_sent(at_s)
            sent_s.append(at_s)
    return Outcome(sent_s)


def grants(daemons: int, per_s: float, requests: list[tuple[float, int]]) -> Outcome:
    """Let one daemon grant a permit for each request."""
    interval_s = 1.0 / (USED_SHARE * per_s)
    due_s = 0.0
    sent_s = []
    for at_s, _ in requests:
        granted_s = at_s + ROUND_TRIP_S / 2
        if granted_s >= due_s:
            due_s = max(granted_s, due_s) + interval_s
            sent_s.append(at_s + ROUND_TRIP_S)
    return Outcome(sent_s, 2 * len(requests))


Strategy = Callable[[int, float, list[tuple[float, int]]], Outcome]
STRATEGIES: dict[str, Strategy] = {"buckets": buckets, "holders": holders, "grants": grants}


def max_in_window(sent_s: list[float]) -> int:
    """Return the maximum number of requests in any window of ``WINDOW_S``."""
    counts = [end + 1 - bisect.bisect_right(sent_s, at - WINDOW_S) for end, at in enumerate(sent_s)]
    return max(counts, default=0)


def main() -> None:
    """Print a line for each demand, number of daemons and limit."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for demand_per_s in DEMANDS_PER_S:
        for daemons in DAEMONS:
            requests = arrivals(daemons, demand_per_s, random.Random(arguments.seed))
            for per_s in LIMITS_PER_S:
                figures = []
                for name, strategy in STRATEGIES.items():
                    outcome = strategy(daemons, per_s, requests)
                    max_sent = max_in_window(outcome.sent_s)
                    used = len(outcome.sent_s) / SECONDS / per_s
                    first_s = outcome.sent_s[0] if outcome.sent_s else SECONDS
                    cost = outcome.messages / SECONDS
                    figures.append(
                        f"{name} {max_sent} used {used:.2f} first {first_s:.2f} s msgs {cost:.0f}"
                    )
                allowed = 1.5 * per_s * WINDOW_S + 5
                print(
                    f"demand {demand_per_s:g} daemons {daemons} limit {per_s:g} "
                    f"(allowed {allowed:g}): {'; '.join(figures)}"
                )


if __name__ == "__main__":
    main()
