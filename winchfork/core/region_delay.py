"""How long a message to another region takes, there and back, learned from peers' replies."""

from __future__ import annotations

#: Seconds there and back to another region until one was measured.
PRIOR_ROUND_TRIP_S = 0.03
#: Share of a new sample in the moving average.
SAMPLE_WEIGHT = 0.1
#: A reply that took this many times the average says more about the peer than about the way.
OUTLIER_RATIO = 4.0
#: Round trips that a prompt sent to another region costs: the request with its answer, a window
#: that opens for some kilobytes of prompt, and often a new connection.
PROMPT_ROUND_TRIPS = 3.0
#: The same for a request without a prompt, which fits into one packet.
TASK_ROUND_TRIPS = 1.0


class RegionDelay:
    """The round trip to other regions as one daemon sees it."""

    def __init__(self) -> None:
        self.round_trip_s = PRIOR_ROUND_TRIP_S

    def record_reply(self, took_s: float) -> None:
        """Learn from a reply of a daemon in another region."""
        bounded_s = min(took_s, OUTLIER_RATIO * self.round_trip_s)
        self.round_trip_s += SAMPLE_WEIGHT * (bounded_s - self.round_trip_s)

    @property
    def prompt_crossing_s(self) -> float:
        """The charge for sending a prompt to another region."""
        return PROMPT_ROUND_TRIPS * self.round_trip_s

    @property
    def task_crossing_s(self) -> float:
        """The charge for sending another request there."""
        return TASK_ROUND_TRIPS * self.round_trip_s
