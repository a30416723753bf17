"""Keeps requests that end replicas away from them, at what it costs requests that were only near.

A run whose connection breaks is remembered until it is settled whether its replica ended. An end
makes every request that ran there a suspect. A suspect runs once at a time; from the second end on
it shares no replica with another such suspect; at the third it is refused, on every daemon and
after every restart. A run that ends well clears it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from winchfork.core.broken_runs import BrokenRuns, CrashEvidence
from winchfork.core.crash_history import CRASHES_TO_REFUSE, CrashHistory
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.suspect_runs import SuspectRun, SuspectRuns
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.refusal_records import RefusalRecords, bucket_key

#: Ends from which on a request shares no replica with another such: what ended the second replica
#: is one of the few that ran on both.
CRASHES_TO_RUN_ALONE = 2
#: Ends after which one try goes on at no further replica.
MAX_CRASHES_PER_ATTEMPT = 2
#: Seconds that a try waits at most for it to be settled whether two replicas ended under it or only
#: lost its answers, and between two looks: a probe takes some tens of milliseconds.
MAX_RESOLVE_WAIT_S = 0.5
RESOLVE_POLL_S = 0.01


class RecordListener(Protocol):
    """Told of a request that is refused, or no longer; ``own``: this daemon sent its last run."""

    def __call__(self, digest: bytes, *, own: bool) -> None:
        """Take it in."""
        ...


class CrashTracker:
    """The beliefs of one process about requests that end replicas."""

    def __init__(self, daemon_id: str, clock: Callable[[], float]) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self.ledger = CrashHistory()
        self.records = RefusalRecords(self.ledger, clock)
        self._broken_runs = BrokenRuns()
        self._suspect_runs = SuspectRuns()
        #: Told of each break on a replica that nothing explains yet.
        self.on_connection_broken: Callable[[RelayReplica], None] = lambda replica: None
        #: Told of the requests under which an incarnation ended, for the other daemons.
        self.on_crash: Callable[[int, tuple[bytes, ...]], None] = lambda incarnation, digests: None
        #: Told of a suspect that runs alone, and that its run is over (None).
        self.on_suspect_run: Callable[[bytes, SuspectRun | None], None] = lambda digest, run: None
        #: Told of a suspect that has ended well, and how many replicas had ended under it.
        self.on_cleared: Callable[[bytes, int], None] = lambda digest, ends: None
        #: Told of a request whose record in the store has to change.
        self.on_record_changed: RecordListener = _ignore

    # Before a run

    def refusal(self, digest: bytes, ran: RunState = RunState.NOT_RUN) -> Failure | None:
        """Return why a request is not sent to any replica; None if it may be."""
        if not self.ledger.is_refused(digest, self._clock()):
            return None
        return FailureKind.CRASHES_REPLICAS.because(
            f"{CRASHES_TO_REFUSE} replicas ended while they ran this request ({digest.hex()})",
            remedy="do not send it again; change it, or ask the operators to release it",
            ran=ran,
        )

    def crash_count(self, digest: bytes) -> int:
        """Return how many replicas have ended under a request, or may have just now."""
        now_s = self._clock()
        return self.ledger.crash_count(digest, now_s) + self._broken_runs.count_unconfirmed(
            digest, now_s
        )

    async def wait_until_resolved(self, digest: bytes, ends_at_s: float) -> None:
        """Wait, where it matters to one try, until it is known whether replicas ended or live.

        The try is over at ``ends_at_s``.
        """
        until_s = min(self._clock() + MAX_RESOLVE_WAIT_S, ends_at_s)
        while self._is_unresolved(digest) and self._clock() < until_s:
            await asyncio.sleep(RESOLVE_POLL_S)

    def _is_unresolved(self, digest: bytes) -> bool:
        now_s = self._clock()
        unsettled = self._broken_runs.count_unconfirmed(digest, now_s)
        return (
            bool(unsettled)
            and self.ledger.crash_count(digest, now_s) + unsettled >= MAX_CRASHES_PER_ATTEMPT
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
        taken = self._suspect_runs.exclusive_incarnations(self._clock())
        return {replica.replica_id for replica in replicas if replica.order_hash in taken}

    # A run

    def begin_run(self, digest: bytes, replica: RelayReplica, until_s: float) -> None:
        """A request is about to be sent; its run is over by ``ends_s``."""
        ends = self.crash_count(digest)
        if not ends:
            return
        run = SuspectRun(replica.order_hash, until_s, ends >= CRASHES_TO_RUN_ALONE)
        self._suspect_runs.begin(self._daemon_id, digest, run)
        if run.is_exclusive:
            self.on_suspect_run(digest, run)

    def end_run(self, digest: bytes) -> None:
        """The run is over, however it ended."""
        run = self._suspect_runs.end(self._daemon_id, digest)
        if run is not None and run.is_exclusive:
            self.on_suspect_run(digest, None)

    def record_success(self, digest: bytes) -> None:
        """A replica has answered a request whole, and so outlived it."""
        now_s = self._clock()
        self.ledger.record_success(digest, now_s)
        self._broken_runs.clear(digest)
        ends = self.ledger.crash_count(digest, now_s)
        if self.ledger.clear(digest):
            self.on_cleared(digest, ends)
            if self.records.revision(bucket_key(digest)):
                self.on_record_changed(digest, own=True)

    def record_broken_run(self, replica: RelayReplica, digest: bytes, *, silent: bool) -> None:
        """The connection of a run broke before its answer was whole."""
        self._broken_runs.record(replica.order_hash, digest, self._clock(), silent=silent)
        if not silent:
            self.on_connection_broken(replica)

    # What became of replicas

    def record_connected(self, replica: RelayReplica, asked_s: float) -> None:
        """A new connection to a replica's address came up, asked for at that time."""
        self._broken_runs.mark_reached(replica.order_hash, asked_s)

    def record_crash(self, replica: RelayReplica, evidence: CrashEvidence) -> None:
        """An incarnation has ended: whatever this daemon had running there is suspected."""
        incarnation = replica.order_hash
        digests = self._broken_runs.pop_crashed(incarnation, evidence, self._clock())
        if not digests:
            return
        log_event(
            "replica_ended",
            "WARNING",
            replica=replica.replica_id,
            born_ms=replica.listing.started_at_ms or None,
            evidence=evidence.value,
            requests=len(digests),
        )
        self._record_crashes(incarnation, digests, own=True)
        self.on_crash(incarnation, digests)

    # What the store and peers tell

    def apply_record(
        self, key: str, value: bytes | None, revision: int, *, is_restored: bool = False
    ) -> Failure | None:
        """Take in what the store holds of a refused request; a failure if that cannot be read.

        ``is_restored``: it may be of a copy, and older than what is known.
        """
        later = self.records.install_outdated(key, value, revision) if is_restored else None
        if later is not None:
            self.on_record_changed(later, own=False)
            return None
        unread = self.records.install(key, value, revision)
        digest = self.records.digest_at(key)
        now_s = self._clock()
        if digest is None or not self.ledger.is_refused(digest, now_s):
            return unread
        if self.ledger.succeeded_recently(digest, now_s):
            # Refused by a daemon that had not heard of it yet.
            self.ledger.clear(digest)
            self.on_cleared(digest, CRASHES_TO_REFUSE)
            self.on_record_changed(digest, own=True)
        return unread

    def handle_lost_record(self, key: str) -> None:
        """The store came back without a record: have it written again if it still matters."""
        digest = self.records.remove_lost(key)
        if digest is not None and not self.records.matches_ledger(digest):
            self.on_record_changed(digest, own=False)

    def handle_crash_report(self, incarnation: int, digests: Iterable[bytes]) -> None:
        """A peer's runs of these requests were on an incarnation when it ended."""
        self._record_crashes(incarnation, digests, own=False)

    def handle_suspect_run(self, daemon: str, digest: bytes, run: SuspectRun | None) -> None:
        """A peer runs a suspect that runs alone, or no longer (None)."""
        if run is None:
            self._suspect_runs.end(daemon, digest)
        else:
            self._suspect_runs.begin(daemon, digest, run)

    def handle_cleared(self, digest: bytes) -> None:
        """A peer's run of a suspect has ended well."""
        self.ledger.clear(digest)

    def _record_crashes(self, incarnation: int, digests: Iterable[bytes], *, own: bool) -> None:
        now_s = self._clock()
        for digest in digests:
            if not self.ledger.record_crash(digest, incarnation, now_s):
                continue
            ends = self.ledger.crash_count(digest, now_s)
            if self.ledger.succeeded_recently(digest, now_s):
                self.ledger.clear(digest)
                self.on_cleared(digest, ends)
                continue
            if ends >= CRASHES_TO_RUN_ALONE:
                log_event("request_suspected", "WARNING", digest=digest.hex(), ends=ends, own=own)
            if ends >= CRASHES_TO_REFUSE and not self.ledger.is_refused(digest, now_s):
                self._refuse(digest, own=own)

    def _refuse(self, digest: bytes, *, own: bool) -> None:
        times = self.ledger.times_refused(digest) + 1
        for_s = self.ledger.refusal_s(times)
        log_event("digest_refused", "WARNING", digest=digest.hex(), times=times, for_s=for_s)
        self.ledger.refuse(digest, times, self._clock() + for_s)
        self.on_record_changed(digest, own=own)


def _ignore(digest: bytes, *, own: bool) -> None:
    pass
