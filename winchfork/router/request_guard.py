"""What is known of replica crashes under one request: by its whole content and by its parts."""

from __future__ import annotations

from collections.abc import Iterable

from winchfork.core.relay_replica import RelayReplica
from winchfork.errors import Failure, RunState
from winchfork.router.crash_tracker import MAX_CRASHES_PER_ATTEMPT, CrashTracker
from winchfork.router.request_admission import AdmittedRequest


class RequestGuard:
    """Decides whether one request may be sent, and records its runs."""

    def __init__(self, crashes: CrashTracker, admitted: AdmittedRequest) -> None:
        self._crashes = crashes
        self._digest = admitted.digest
        self._shared_parts = admitted.shared_parts

    # Before a run

    def refusal(self, ran: RunState = RunState.NOT_RUN) -> Failure | None:
        """Return why the request must not be sent to any replica; None if it may be sent."""
        refusal = self._crashes.refusal(self._digest, ran)
        return refusal or self._crashes.parts.refusal(self._shared_parts, ran)

    def may_run(self) -> bool:
        """Whether the request may be sent now, beside the runs that are under way."""
        may_run = self._crashes.may_run(self._digest)
        return may_run and self._crashes.parts.may_run(self._shared_parts)

    def excluded_replicas(self, replicas: Iterable[RelayReplica]) -> set[str]:
        """Return the ids of the replicas that the request may not be sent to now."""
        if self._crashes.parts.is_limited(self._shared_parts):
            return self._crashes.exclusive_replicas(replicas)
        return self._crashes.excluded_replicas(self._digest, replicas)

    @property
    def is_suspect(self) -> bool:
        """Whether the request may have crashed a replica."""
        if self._crashes.crash_count(self._digest) > 0:
            return True
        return self._crashes.parts.is_limited(self._shared_parts)

    @property
    def crashed_repeatedly(self) -> bool:
        """Whether the request may have crashed as many replicas as one attempt of a caller may."""
        return self._crashes.crash_count(self._digest) >= MAX_CRASHES_PER_ATTEMPT

    async def wait_until_resolved(self, deadline_s: float) -> None:
        """Wait until it is known whether replicas crashed, if that decides on a retry."""
        await self._crashes.wait_until_resolved(
            self._digest, deadline_s, lambda: self._crashes.parts.is_unresolved(self._shared_parts)
        )

    # A run

    def begin_run(self, replica: RelayReplica, until_s: float) -> None:
        """Record that the request is about to be sent; its run ends by ``until_s``."""
        self._crashes.begin_run(self._digest, replica, until_s)
        self._crashes.parts.begin_run(self, self._shared_parts, replica, until_s)

    def end_run(self, replica: RelayReplica) -> None:
        """Record that a run is over, after its outcome was recorded."""
        self._crashes.end_run(self._digest)
        self._crashes.parts.end_run(self, self._shared_parts, replica)

    def record_success(self, *, complete: bool) -> None:
        """Record a whole answer; only a ``complete`` run clears the parts of the prompt."""
        self._crashes.record_success(self._digest)
        if complete:
            self._crashes.parts.record_success(self._shared_parts)

    def record_end_in_order(self, replica: RelayReplica) -> None:
        """Record an answer without framing, which is complete if the replica did not crash."""
        self._crashes.parts.record_broken_run(
            self, self._shared_parts, replica, silent=False, in_order=True
        )
        self._crashes.record_end_in_order(replica, self._digest)

    def record_broken_run(self, replica: RelayReplica, *, silent: bool) -> None:
        """Record that a run's connection broke before its answer was complete."""
        self._crashes.parts.record_broken_run(self, self._shared_parts, replica, silent=silent)
        self._crashes.record_broken_run(replica, self._digest, silent=silent)
