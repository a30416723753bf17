"""Detects requests that crash replicas, and refuses them.

Requests that differ, but share a prompt part that crashes replicas, are the task of
:mod:`winchfork.router.part_guard`.

A run whose connection breaks is remembered until it is known whether its replica crashed. A crash
makes every request that was running there a suspect. A suspect runs once at a time; after two
crashes it shares no replica with another such suspect; after three it is refused, by every daemon
and across restarts. A run that succeeds clears the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from winchfork.core.broken_runs import BrokenRuns, CrashEvidence
from winchfork.core.crash_history import CRASHES_TO_REFUSE, CrashHistory
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.suspect_runs import SuspectRun, SuspectRuns
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.part_guard import PartGuard
from winchfork.router.refusal_ledger import RefusalLedger
from winchfork.router.refusal_records import RefusalRecords

#: Crashes after which a request shares no replica with another such request: the cause of the
#: second crash is among the few requests that ran on both replicas.
CRASHES_TO_RUN_ALONE = 2
#: Crashes under one attempt of a caller after which it is not retried on a further replica.
MAX_CRASHES_PER_ATTEMPT = 2
#: Seconds that an attempt waits at most to learn whether replicas crashed or only lost its answers;
#: a probe takes some hundredths of a second.
MAX_RESOLVE_WAIT_S = 0.5
RESOLVE_POLL_S = 0.01


class CrashTracker(RefusalLedger):
    """One process's record of requests that may crash replicas."""

    def __init__(self, daemon_id: str, clock: Callable[[], float]) -> None:
        history = CrashHistory()
        super().__init__(history, RefusalRecords(history, clock), clock)
        self._daemon_id = daemon_id
        self._broken_runs = BrokenRuns()
        self._suspect_runs = SuspectRuns()
        self.parts = PartGuard(daemon_id, clock, self._suspect_runs)
        #: Called for each broken connection whose cause is not known yet.
        self.on_connection_broken: Callable[[RelayReplica], None] = lambda replica: None
        #: Called with an incarnation that crashed and the requests that it was running.
        self.on_crash: Callable[[int, tuple[bytes, ...]], None] = lambda incarnation, digests: None
        #: Called when an exclusive run of a suspect begins, and with None when it ends.
        self.on_suspect_run: Callable[[bytes, SuspectRun | None], None] = lambda digest, run: None

    # Before a run

    def refusal(self, digest: bytes, ran: RunState = RunState.NOT_RUN) -> Failure | None:
        """Return why a request must not be sent to any replica; None if it may be sent."""
        if not self.history.is_refused(digest, self._clock()):
            return None
        return FailureKind.CRASHES_REPLICAS.because(
            f"{CRASHES_TO_REFUSE} replicas crashed while running this request ({digest.hex()})",
            remedy="do not resend it unchanged; change it, or ask the operators to release it",
            ran=ran,
        )

    def crash_count(self, digest: bytes) -> int:
        """Return how many replicas have crashed under a request, unconfirmed crashes included."""
        now_s = self._clock()
        return self.history.crash_count(digest, now_s) + self._broken_runs.count_unconfirmed(
            digest, now_s
        )

    async def wait_until_resolved(
        self, digest: bytes, deadline_s: float, parts_unresolved: Callable[[], bool]
    ) -> None:
        """Wait until it is known whether replicas crashed, if that decides on a retry.

        Wait at most ``MAX_RESOLVE_WAIT_S`` seconds, and not beyond ``deadline_s``, at which the
        attempt ends. ``parts_unresolved`` returns whether it is open for the request's parts.
        """
        until_s = min(self._clock() + MAX_RESOLVE_WAIT_S, deadline_s)
        while (self._is_unresolved(digest) or parts_unresolved()) and self._clock() < until_s:
            await asyncio.sleep(RESOLVE_POLL_S)

    def _is_unresolved(self, digest: bytes) -> bool:
        now_s = self._clock()
        unconfirmed = self._broken_runs.count_unconfirmed(digest, now_s)
        return (
            bool(unconfirmed)
            and self.history.crash_count(digest, now_s) + unconfirmed >= MAX_CRASHES_PER_ATTEMPT
        )

    def may_run(self, digest: bytes) -> bool:
        """Whether a request may be sent now; a suspect may not while a run of it is under way."""
        return not self.crash_count(digest) or not self._suspect_runs.is_running(
            digest, self._clock()
        )

    def excluded_replicas(self, digest: bytes, replicas: Iterable[RelayReplica]) -> set[str]:
        """Return the ids of the replicas that a request may not be sent to now."""
        if self.crash_count(digest) < CRASHES_TO_RUN_ALONE:
            return set()
        return self.exclusive_replicas(replicas)

    def exclusive_replicas(self, replicas: Iterable[RelayReplica]) -> set[str]:
        """Return the ids of the replicas with an exclusive run of a suspect."""
        exclusive = self._suspect_runs.exclusive_incarnations(self._clock())
        return {replica.replica_id for replica in replicas if replica.incarnation_hash in exclusive}

    # A run

    def begin_run(self, digest: bytes, replica: RelayReplica, until_s: float) -> None:
        """Record that a request is about to be sent; its run ends by ``until_s``."""
        crashes = self.crash_count(digest)
        if not crashes:
            return
        run = SuspectRun(replica.incarnation_hash, until_s, crashes >= CRASHES_TO_RUN_ALONE)
        self._suspect_runs.begin(self._daemon_id, digest, run)
        if run.is_exclusive:
            self.on_suspect_run(digest, run)

    def end_run(self, digest: bytes) -> None:
        """Record that a run is over, with any outcome."""
        run = self._suspect_runs.end(self._daemon_id, digest)
        if run is not None and run.is_exclusive:
            self.on_suspect_run(digest, None)

    def record_success(self, digest: bytes) -> None:
        """Record a complete answer, and clear the request."""
        self.history.record_success(digest, self._clock())
        self._broken_runs.clear(digest)
        self.clear(digest)

    def record_broken_run(self, replica: RelayReplica, digest: bytes, *, silent: bool) -> None:
        """Record that a run's connection broke before its answer was complete.

        ``silent``: the replica had stopped acknowledging data, so the network may have failed.
        """
        self._broken_runs.record(replica.incarnation_hash, digest, self._clock(), silent=silent)
        if not silent:
            self.on_connection_broken(replica)

    def record_end_in_order(self, replica: RelayReplica, digest: bytes) -> None:
        """Record an answer without framing, which is complete if the replica did not crash."""
        self._broken_runs.record(
            replica.incarnation_hash, digest, self._clock(), silent=False, in_order=True
        )
        self.on_connection_broken(replica)

    # Replicas

    def record_connected(self, replica: RelayReplica, asked_s: float) -> None:
        """Record that a connection to a replica, requested at ``asked_s``, was established."""
        for digest in self._broken_runs.mark_reached(replica.incarnation_hash, asked_s):
            self.record_success(digest)
        self.parts.record_connected(replica, asked_s)

    def record_crash(self, replica: RelayReplica, evidence: CrashEvidence) -> None:
        """Record a crashed incarnation, and suspect this daemon's requests that ran there.

        An end that the replica had announced is no crash. A peer may report the announcement only
        after the runs broke. The entry is not considered here, since it may have changed after a
        crash.
        """
        incarnation = replica.incarnation_hash
        now_s = self._clock()
        was_announced = replica.notice.is_draining(now_s)
        self.parts.record_crash(replica, evidence, announced=was_announced)
        digests = self._broken_runs.pop_crashed(incarnation, evidence, now_s)
        if not digests:
            return
        log_event(
            "replica_ended",
            "WARNING",
            replica=replica.replica_id,
            born_ms=replica.listing.started_at_ms or None,
            incarnation=f"{incarnation:016x}",
            evidence=evidence.value,
            announced=was_announced,
            requests=len(digests),
        )
        if was_announced:
            return
        self._record_crashes(incarnation, digests, own=True)
        self.on_crash(incarnation, digests)

    # Store and peers

    def handle_crash_report(self, incarnation: int, digests: Iterable[bytes]) -> None:
        """Record that a peer was running these requests on an incarnation that crashed."""
        self._record_crashes(incarnation, digests, own=False)

    def handle_suspect_run(self, daemon: str, digest: bytes, run: SuspectRun | None) -> None:
        """Record that a peer's exclusive run of a suspect has begun, or has ended (None)."""
        if run is None:
            self._suspect_runs.end(daemon, digest)
        else:
            self._suspect_runs.begin(daemon, digest, run)

    def _record_crashes(self, incarnation: int, digests: Iterable[bytes], *, own: bool) -> None:
        now_s = self._clock()
        for digest in digests:
            if not self.history.record_crash(digest, incarnation, now_s):
                continue
            crashes = self.history.crash_count(digest, now_s)
            if self.history.succeeded_recently(digest, now_s):
                self.history.clear(digest)
                self.on_cleared(digest, crashes)
                continue
            if crashes >= CRASHES_TO_RUN_ALONE:
                log_event(
                    "request_suspected", "WARNING", digest=digest.hex(), ends=crashes, own=own
                )
            if crashes >= CRASHES_TO_REFUSE and not self.history.is_refused(digest, now_s):
                self._refuse(digest, own=own)

    def _refuse(self, digest: bytes, *, own: bool) -> None:
        times = self.history.times_refused(digest) + 1
        for_s = self.history.refusal_s(times)
        incarnations = self.history.crashed_incarnations(digest, self._clock())
        log_event(
            "digest_refused",
            "WARNING",
            digest=digest.hex(),
            times=times,
            for_s=for_s,
            incarnations=",".join(f"{incarnation:016x}" for incarnation in incarnations),
        )
        self.history.refuse(digest, times, self._clock() + for_s)
        self.on_record_changed(digest, own=own)
