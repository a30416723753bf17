"""Round-trip time to other regions, estimated from peers' replies, and the cost of crossing."""

from __future__ import annotations

#: The estimate until the first measurement.
PRIOR_ROUND_TRIP_S = 0.03
#: Weight of a new sample in the exponential moving average.
SAMPLE_WEIGHT = 0.1
#: Samples are capped at this many times the average, since a longer delay is due to the peer.
OUTLIER_RATIO = 4.0
#: Round trips charged for a prompt: request and answer, TCP window growth, a new connection.
PROMPT_ROUND_TRIPS = 3.0
#: Round trips charged for a request without a prompt, which fits into one packet.
TASK_ROUND_TRIPS = 1.0


class RegionDelay:
    """One daemon's estimate of the round-trip time to other regions, in seconds."""

    def __init__(self) -> None:
        self.round_trip_s = PRIOR_ROUND_TRIP_S

    def record_reply(self, took_s: float) -> None:
        """Update the estimate with the round trip of a reply from another region."""
        bounded_s = min(took_s, OUTLIER_RATIO * self.round_trip_s)
        self.round_trip_s += SAMPLE_WEIGHT * (bounded_s - self.round_trip_s)

    @property
    def prompt_crossing_s(self) -> float:
        """Seconds charged for sending a prompt to another region."""
        return PROMPT_ROUND_TRIPS * self.round_trip_s

    @property
    def task_crossing_s(self) -> float:
        """Seconds charged for sending a request without a prompt to another region."""
        return TASK_ROUND_TRIPS * self.round_trip_s
