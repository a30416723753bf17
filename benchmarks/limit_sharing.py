"""Ways of sharing one replica's limit over all daemons, in virtual time.

    python -m benchmarks.limit_sharing [--seed N]

`buckets`: each daemon has an equal part and a bucket of one request. `holders`: as the router does,
a few daemons share the limit (the real `winchfork.core.request_limit`). `grants`: the first daemon
in the order gives a place to whoever asks for one, which takes a round trip.
Requests for the replica come to each daemon at random, `demand` a second; printed are the most that
were sent in 4 s, what was used of the limit, how long it took from the word to the first request,
and the messages a second that places cost the busiest daemon.
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
USED_SHARE = 0.95
DAEMONS = (7, 15, 79, 420)
LIMITS_PER_S = (1.0, 3.0, 8.0)
DEMANDS_PER_S = (10.0, 1.0)


class Outcome(msgspec.Struct, frozen=True):
    """When requests were sent, and the messages that this took."""

    sent_s: list[float]
    messages: int = 0


def arrivals(
    daemons: int, demand_per_s: float, generator: random.Random
) -> list[tuple[float, int]]:
    """Return when requests come to which daemon."""
    found = []
    now_s = 0.0
    while now_s < SECONDS:
        now_s += generator.expovariate(daemons * demand_per_s)
        found.append((now_s, generator.randrange(daemons)))
    return found


def buckets(daemons: int, per_s: float, asked: list[tuple[float, int]]) -> Outcome:
    """An equal part for each daemon."""
    interval_s = daemons / per_s
    due_s = [0.0] * daemons
    sent_s = []
    for at_s, daemon in asked:
        if at_s >= due_s[daemon]:
            due_s[daemon] = max(at_s, due_s[daemon]) + interval_s
            sent_s.append(at_s)
    return Outcome(sent_s)


def holders(daemons: int, per_s: float, asked: list[tuple[float, int]]) -> Outcome:
    """A few daemons share it."""
    limits = [RequestLimit() for _ in range(daemons)]
    for place, limit in enumerate(limits):
        limit.set_position(LimitPosition(place, daemons), 0.0)
        limit.update(per_s, SECONDS)
    sent_s = []
    for at_s, daemon in asked:
        if limits[daemon].available_in_s(at_s) <= 0.0:
            limits[daemon].record_sent(at_s)
            sent_s.append(at_s)
    return Outcome(sent_s)


def grants(daemons: int, per_s: float, asked: list[tuple[float, int]]) -> Outcome:
    """One daemon gives places to who asks."""
    interval_s = 1.0 / (USED_SHARE * per_s)
    due_s = 0.0
    sent_s = []
    for at_s, _ in asked:
        granted_s = at_s + ROUND_TRIP_S / 2
        if granted_s >= due_s:
            due_s = max(granted_s, due_s) + interval_s
            sent_s.append(at_s + ROUND_TRIP_S)
    return Outcome(sent_s, 2 * len(asked))


Strategy = Callable[[int, float, list[tuple[float, int]]], Outcome]
STRATEGIES: dict[str, Strategy] = {"buckets": buckets, "holders": holders, "grants": grants}


def max_in_window(sent_s: list[float]) -> int:
    """Return the most requests of any 4 s."""
    counts = [end + 1 - bisect.bisect_right(sent_s, at - WINDOW_S) for end, at in enumerate(sent_s)]
    return max(counts, default=0)


def main() -> None:
    """Print a line for each way, size, limit and demand."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for demand_per_s in DEMANDS_PER_S:
        for daemons in DAEMONS:
            asked = arrivals(daemons, demand_per_s, random.Random(arguments.seed))
            for per_s in LIMITS_PER_S:
                told = []
                for name, way in STRATEGIES.items():
                    outcome = way(daemons, per_s, asked)
                    most = max_in_window(outcome.sent_s)
                    used = len(outcome.sent_s) / SECONDS / per_s
                    first_s = outcome.sent_s[0] if outcome.sent_s else SECONDS
                    cost = outcome.messages / SECONDS
                    told.append(
                        f"{name} {most} used {used:.2f} first {first_s:.2f} s msgs {cost:.0f}"
                    )
                allowed = 1.5 * per_s * WINDOW_S + 5
                print(
                    f"demand {demand_per_s:g} daemons {daemons} limit {per_s:g} "
                    f"(allowed {allowed:g}): {'; '.join(told)}"
                )


if __name__ == "__main__":
    main()
