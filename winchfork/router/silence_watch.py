"""Checks the replicas of attempts that have received nothing for longer than expected.

A silent connection may be dead, or its replica may be slow or silent for a moment. Silence ends no
attempt. It is a reason to check whether a new connection comes up, and, if it lasts, to offer a
backup to a request that may be repeated.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from winchfork.router.attempt import Attempt
from winchfork.router.replica_probes import ReplicaProbes

if TYPE_CHECKING:
    from collections.abc import Callable

    from winchfork.router.attempt_runner import AttemptRunner

#: Seconds between two looks at the attempts in progress.
WATCH_PERIOD_S = 0.1
#: Shortest silence in seconds after which a replica is checked, and a backup is offered.
CHECK_AFTER_S = 0.5
BACKUP_AFTER_S = 0.9
#: Multiple of the expected time to the first event that counts as longer than expected.
EXPECTED_FACTOR = 2.0
#: Seconds between two checks of one replica.
CHECK_INTERVAL_S = 1.0


class SilenceWatch:
    """Watches the attempts of one process."""

    def __init__(self, clock: Callable[[], float], probes: ReplicaProbes) -> None:
        self._clock = clock
        self._probes = probes
        #: When each incarnation was last checked, by its hash.
        self._checked_at_s: dict[int, float] = {}

    def look(self, runners: Iterable[AttemptRunner]) -> None:
        """Check the replicas of silent attempts, and offer backups."""
        now_s = self._clock()
        self._forget_checks(now_s)
        for runner in runners:
            attempt = runner.first
            if attempt is None or attempt.silent_s < CHECK_AFTER_S:
                continue
            excess_s = attempt.silent_s - _expected_silence_s(attempt)
            if excess_s < CHECK_AFTER_S:
                continue
            self._check(attempt, now_s)
            if excess_s >= BACKUP_AFTER_S:
                runner.offer_backup(attempt)

    def _check(self, attempt: Attempt, now_s: float) -> None:
        incarnation = attempt.replica.incarnation_hash
        if incarnation not in self._checked_at_s:
            self._checked_at_s[incarnation] = now_s
            self._probes.schedule(attempt.replica)

    def _forget_checks(self, now_s: float) -> None:
        for key in [
            key for key, at_s in self._checked_at_s.items() if now_s - at_s > CHECK_INTERVAL_S
        ]:
            del self._checked_at_s[key]


def _expected_silence_s(attempt: Attempt) -> float:
    """Return how long an attempt is expected to receive nothing, in seconds."""
    plan = attempt.plan
    if attempt.has_first_event or not plan.model:
        return 0.0
    return EXPECTED_FACTOR * plan.expected_s
