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
from winchfork.router.refusal_records import RefusalRecords, place_key

#: Ends from which on a request shares no replica with another such: what ended the second replica
#: is one of the few that ran on both.
ENDS_TO_RUN_ALONE = 2
#: Ends after which one try goes on at no further replica.
MOST_ENDS_IN_A_TRY = 2
#: Seconds that a try waits at most for it to be settled whether two replicas ended under it or only
#: lost its answers, and between two looks: a probe takes some tens of milliseconds.
SETTLE_PATIENCE_S = 0.5
SETTLE_PERIOD_S = 0.01


class RecordListener(Protocol):
    """Told of a request that is refused, or no longer; ``own``: this daemon sent its last run."""

    def __call__(self, digest: bytes, *, own: bool) -> None:
        """Take it in."""
        ...


class CrashGuard:
    """The beliefs of one process about requests that end replicas."""

    def __init__(self, daemon_id: str, clock: Callable[[], float]) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self.ledger = CrashHistory()
        self.records = RefusalRecords(self.ledger, clock)
        self._broken = BrokenRuns()
        self._runs = SuspectRuns()
        #: Told of each break on a replica that nothing explains yet.
        self.on_break: Callable[[RelayReplica], None] = lambda replica: None
        #: Told of the requests under which an incarnation ended, for the other daemons.
        self.on_ended: Callable[[int, tuple[bytes, ...]], None] = lambda incarnation, digests: None
        #: Told of a suspect that runs alone, and that its run is over (None).
        self.on_run: Callable[[bytes, SuspectRun | None], None] = lambda digest, run: None
        #: Told of a suspect that has ended well, and how many replicas had ended under it.
        self.on_cleared: Callable[[bytes, int], None] = lambda digest, ends: None
        #: Told of a request whose record in the store has to change.
        self.on_record: RecordListener = _ignore

    # Before a run

    def refusal(self, digest: bytes, ran: RunState = RunState.NOT_RUN) -> Failure | None:
        """Return why a request is not sent to any replica; None if it may be."""
        if not self.ledger.is_refused(digest, self._clock()):
            return None
        return FailureKind.ENDS_REPLICAS.because(
            f"{CRASHES_TO_REFUSE} replicas ended while they ran this request ({digest.hex()})",
            remedy="do not send it again; change it, or ask the operators to release it",
            ran=ran,
        )

    def ends(self, digest: bytes) -> int:
        """Return how many replicas have ended under a request, or may have just now."""
        now_s = self._clock()
        return self.ledger.crash_count(digest, now_s) + self._broken.count_unconfirmed(digest, now_s)

    async def settled(self, digest: bytes, ends_at_s: float) -> None:
        """Wait, where it matters to one try, until it is known whether replicas ended or live.

        The try is over at ``ends_at_s``.
        """
        until_s = min(self._clock() + SETTLE_PATIENCE_S, ends_at_s)
        while self._is_undecided(digest) and self._clock() < until_s:
            await asyncio.sleep(SETTLE_PERIOD_S)

    def _is_undecided(self, digest: bytes) -> bool:
        now_s = self._clock()
        unsettled = self._broken.count_unconfirmed(digest, now_s)
        return bool(unsettled) and self.ledger.crash_count(digest, now_s) + unsettled >= MOST_ENDS_IN_A_TRY

    def may_run(self, digest: bytes) -> bool:
        """Whether a request may be sent now; a suspect may not while a run of it is under way."""
        return not self.ends(digest) or not self._runs.is_running(digest, self._clock())

    def taken_for(self, digest: bytes, replicas: Iterable[RelayReplica]) -> set[str]:
        """Return the ids of the replicas that a request may not be sent to now."""
        if self.ends(digest) < ENDS_TO_RUN_ALONE:
            return set()
        taken = self._runs.exclusive_incarnations(self._clock())
        return {replica.replica_id for replica in replicas if replica.order_hash in taken}

    # A run

    def begin(self, digest: bytes, replica: RelayReplica, ends_s: float) -> None:
        """A request is about to be sent; its run is over by ``ends_s``."""
        ends = self.ends(digest)
        if not ends:
            return
        run = SuspectRun(replica.order_hash, ends_s, ends >= ENDS_TO_RUN_ALONE)
        self._runs.begin(self._daemon_id, digest, run)
        if run.is_exclusive:
            self.on_run(digest, run)

    def end(self, digest: bytes) -> None:
        """The run is over, however it ended."""
        run = self._runs.end(self._daemon_id, digest)
        if run is not None and run.is_exclusive:
            self.on_run(digest, None)

    def note_outlived(self, digest: bytes) -> None:
        """A replica has answered a request whole, and so outlived it."""
        now_s = self._clock()
        self.ledger.record_success(digest, now_s)
        self._broken.clear(digest)
        ends = self.ledger.crash_count(digest, now_s)
        if self.ledger.clear(digest):
            self.on_cleared(digest, ends)
            if self.records.revision(place_key(digest)):
                self.on_record(digest, own=True)

    def note_broken(self, replica: RelayReplica, digest: bytes, *, silent: bool) -> None:
        """The connection of a run broke before its answer was whole."""
        self._broken.record(replica.order_hash, digest, self._clock(), silent=silent)
        if not silent:
            self.on_break(replica)

    # What became of replicas

    def note_reached(self, replica: RelayReplica, asked_s: float) -> None:
        """A new connection to a replica's address came up, asked for at that time."""
        self._broken.mark_reached(replica.order_hash, asked_s)

    def note_ended(self, replica: RelayReplica, evidence: CrashEvidence) -> None:
        """An incarnation has ended: whatever this daemon had running there is suspected."""
        incarnation = replica.order_hash
        digests = self._broken.pop_crashed(incarnation, evidence, self._clock())
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
        self._note_ends(incarnation, digests, own=True)
        self.on_ended(incarnation, digests)

    # What the store and peers tell

    def take_record(
        self, key: str, value: bytes | None, revision: int, *, is_restored: bool = False
    ) -> Failure | None:
        """Take in what the store holds of a refused request; a failure if that cannot be read.

        ``is_restored``: it may be of a copy, and older than what is known.
        """
        later = self.records.take_outdated(key, value, revision) if is_restored else None
        if later is not None:
            self.on_record(later, own=False)
            return None
        unread = self.records.take(key, value, revision)
        digest = self.records.digest_at(key)
        now_s = self._clock()
        if digest is None or not self.ledger.is_refused(digest, now_s):
            return unread
        if self.ledger.succeeded_recently(digest, now_s):
            # Refused by a daemon that had not heard of it yet.
            self.ledger.clear(digest)
            self.on_cleared(digest, CRASHES_TO_REFUSE)
            self.on_record(digest, own=True)
        return unread

    def note_lost_record(self, key: str) -> None:
        """The store came back without a record: have it written again if it still matters."""
        digest = self.records.lose(key)
        if digest is not None and not self.records.are_current(digest):
            self.on_record(digest, own=False)

    def take_ended(self, incarnation: int, digests: Iterable[bytes]) -> None:
        """A peer's runs of these requests were on an incarnation when it ended."""
        self._note_ends(incarnation, digests, own=False)

    def take_run(self, daemon: str, digest: bytes, run: SuspectRun | None) -> None:
        """A peer runs a suspect that runs alone, or no longer (None)."""
        if run is None:
            self._runs.end(daemon, digest)
        else:
            self._runs.begin(daemon, digest, run)

    def take_cleared(self, digest: bytes) -> None:
        """A peer's run of a suspect has ended well."""
        self.ledger.clear(digest)

    def _note_ends(self, incarnation: int, digests: Iterable[bytes], *, own: bool) -> None:
        now_s = self._clock()
        for digest in digests:
            if not self.ledger.record_crash(digest, incarnation, now_s):
                continue
            ends = self.ledger.crash_count(digest, now_s)
            if self.ledger.succeeded_recently(digest, now_s):
                self.ledger.clear(digest)
                self.on_cleared(digest, ends)
                continue
            if ends >= ENDS_TO_RUN_ALONE:
                log_event("request_suspected", "WARNING", digest=digest.hex(), ends=ends, own=own)
            if ends >= CRASHES_TO_REFUSE and not self.ledger.is_refused(digest, now_s):
                self._refuse(digest, own=own)

    def _refuse(self, digest: bytes, *, own: bool) -> None:
        times = self.ledger.times_refused(digest) + 1
        for_s = self.ledger.refusal_s(times)
        log_event("digest_refused", "WARNING", digest=digest.hex(), times=times, for_s=for_s)
        self.ledger.refuse(digest, times, self._clock() + for_s)
        self.on_record(digest, own=own)


def _ignore(digest: bytes, *, own: bool) -> None:
    pass
