"""Runs the attempts of one request that are in progress: one, or one and its backup.

A replica that is only suspected to be unreachable may still answer. So the attempt there goes on
while a backup attempt is opened at another replica, and is abandoned only when the backup has
begun. If it makes progress first, or the backup is refused, the backup is dropped instead:

==========================  ==========================================================
event                       with a backup
==========================  ==========================================================
first is answered           the backup is dropped, unless that is a refusal or a failure
first attempt ends          dropped after a whole answer, else it takes the first's place;
                            one that is not connected yet is dropped in any case
backup begins               it takes the first's place, which is abandoned
backup ends                 the first goes on, unless the answer is whole and no failure
weights of one expire       it is abandoned if it has not begun, the other goes on
deadline, caller is gone    both are abandoned
==========================  ==========================================================

A stream begins with its first event, any other answer when it is whole. A daemon that is stopping
starts no backup, and a request that is suspected of crashing replicas gets none.
"""

from __future__ import annotations

import asyncio

import msgspec

from winchfork.core.placement_request import RelayDecision
from winchfork.core.relay_replica import RelayReplica
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt
from winchfork.router.attempt_launcher import AttemptLauncher
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.attempted_replicas import AttemptedReplicas
from winchfork.router.http_types import (
    AttemptPart,
    BackupReady,
    CallerDisconnected,
    RequestEvent,
    TimerFired,
    WeightsExpired,
)
from winchfork.router.inbox import Inbox
from winchfork.router.outcome_recorder import MIN_FAILURE_STATUS
from winchfork.router.outcomes import (
    Delivered,
    MayHaveRun,
    Moved,
    NotRun,
    Outcome,
    StopCause,
    Stopped,
)
from winchfork.router.replica_connection import ReplicaConnection
from winchfork.router.replica_search import DEADLINE, ReplicaSearch
from winchfork.router.request_retries import RequestRetries
from winchfork.router.state import RouterState
from winchfork.router.weights_expiry import WeightsExpiryCheck

#: Seconds without data after which an attempt at a replica reported as unreachable gets a backup.
MIN_SILENCE_S = 0.3


class EndedAttempt(msgspec.Struct, frozen=True):
    """The attempt that decided the outcome, after which none is in progress."""

    replica: RelayReplica
    outcome: Outcome


class _BackupOpening:
    """The connection for a backup attempt, which is opened while the first one goes on."""

    def __init__(
        self, launcher: AttemptLauncher, decision: RelayDecision, inbox: Inbox[RequestEvent]
    ) -> None:
        self.decision = decision
        #: None while it is being opened, and if that failed.
        self.connection: ReplicaConnection | None = None
        self._launcher = launcher
        self._inbox = inbox
        self._task = asyncio.get_running_loop().create_task(self._connect())

    def cancel(self) -> None:
        """Stop opening the connection, or put it back unused."""
        self._task.cancel()
        if self.connection is not None:
            self._launcher.release(self.decision.replica, self.connection)

    async def _connect(self) -> None:
        try:
            connection = await self._launcher.connect(self.decision.replica)
            if isinstance(connection, ReplicaConnection):
                self.connection = connection
        finally:
            self._inbox.put(BackupReady(self))


def _is_final(outcome: Outcome | None) -> bool:
    """Whether an outcome is an answer that another attempt would not better."""
    if isinstance(outcome, MayHaveRun) and outcome.answer is not None:
        return outcome.answer.head.status < MIN_FAILURE_STATUS
    return isinstance(outcome, Delivered)


class AttemptRunner:
    """Runs attempts of one request, at most two at a time."""

    def __init__(
        self,
        state: RouterState,
        planner: AttemptPlanner,
        search: ReplicaSearch,
        retries: RequestRetries,
        launcher: AttemptLauncher,
        attempted: AttemptedReplicas,
        inbox: Inbox[RequestEvent],
    ) -> None:
        self._state = state
        self._planner = planner
        self._search = search
        self._retries = retries
        self._route = retries.route
        self._launcher = launcher
        self._attempted = attempted
        self._inbox = inbox
        self._first: Attempt | None = None
        self._backup: Attempt | None = None
        self._opening: _BackupOpening | None = None
        self._paused = False
        self._expiry_checks: dict[int, WeightsExpiryCheck] = {}

    # Requests of others

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the replicas (backpressure)."""
        self._paused = paused
        for attempt in self._attempts():
            attempt.set_paused(paused)

    @property
    def first(self) -> Attempt | None:
        """The first attempt in progress; None while none is."""
        return self._first

    def offer_backup(self, attempt: Attempt) -> None:
        """Open a backup for an attempt that has been silent for long, at most once."""
        if not attempt.backup_offered:
            attempt.backup_offered = True
            self.replica_unreachable(attempt.replica)

    def replica_unreachable(self, replica: RelayReplica) -> None:
        """Open a backup for a repeatable request at a replica that is suspected to be unreachable.

        The connection to it may take seconds to time out.
        """
        first = self._first
        if first is None or first.replica is not replica or not self._may_have_backup(first):
            return
        decision = self._planner.place(self._search.excluded() | {replica.replica_id})
        # A permit of a rationed replica belongs to the next request in its queue.
        is_rationed = self._state.replica_selector.is_rationed
        if decision is not None and not is_rationed(decision.replica):
            self._open_backup(first, decision)

    # Running

    async def run(self, attempt: Attempt) -> EndedAttempt:
        """Run a launched attempt until it, or a backup in its place, has ended."""
        self._first = attempt
        self._watch(attempt)
        try:
            while True:
                ended = self._handle(await self._inbox.get())
                if ended is not None:
                    return ended
        finally:
            self._abandon_all(Stopped(StopCause.ABANDONED))

    def _attempts(self) -> list[Attempt]:
        return [attempt for attempt in (self._first, self._backup) if attempt is not None]

    def _watch(self, attempt: Attempt) -> None:
        """Apply backpressure to a new attempt, and watch the expiry of its weights."""
        if self._paused:
            attempt.set_paused(True)
        self._expiry_checks[attempt.number] = WeightsExpiryCheck(
            self._state, self._route.kind, attempt, self._inbox
        )

    def _handle(self, event: RequestEvent) -> EndedAttempt | None:
        if isinstance(event, AttemptPart):
            return self._handle_part(event)
        if isinstance(event, BackupReady):
            self._handle_backup_ready(event)
            return None
        if isinstance(event, CallerDisconnected):
            return self._stop(StopCause.CALLER_DISCONNECTED)
        if isinstance(event, TimerFired):
            return self._stop(StopCause.DEADLINE) if event.name == DEADLINE else None
        return self._handle_expiry(event.attempt, expired=isinstance(event, WeightsExpired))

    def _handle_part(self, event: AttemptPart) -> EndedAttempt | None:
        for attempt in self._attempts():
            if attempt.number == event.attempt:
                outcome = attempt.handle(event.part)
                if attempt is self._backup:
                    return self._handle_backup(attempt, outcome)
                return self._handle_first(attempt, outcome)
        return None  # The attempt has been abandoned.

    def _handle_first(self, first: Attempt, outcome: Outcome | None) -> EndedAttempt | None:
        if outcome is not None:
            return self._end_first(first, outcome)
        if first.is_answering:
            self._drop_backup("the first attempt made progress")
        return None

    def _handle_backup(self, backup: Attempt, outcome: Outcome | None) -> EndedAttempt | None:
        if _is_final(outcome) or (outcome is None and backup.has_first_event):
            self._abandon_first()
        if outcome is None:
            return None
        if self._first is backup:
            return self._end_first(backup, outcome)
        self._finish(backup, outcome)
        self._backup = None
        return None

    def _end_first(self, first: Attempt, outcome: Outcome) -> EndedAttempt | None:
        """Finish the first attempt; its backup takes its place unless the answer is whole."""
        self._first = None
        self._finish(first, outcome)
        ended = EndedAttempt(first.replica, outcome)
        if _is_final(outcome):
            self._drop_backup("the first attempt was answered")
            return ended
        if self._backup is not None:
            self._promote_backup()
            return None
        self._drop_backup("the first attempt ended while the backup connected")
        return ended

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        self._expiry_checks.pop(attempt.number).cancel()
        refused = isinstance(outcome, NotRun)
        if not (isinstance(outcome, NotRun) and outcome.allows_same_replica):
            self._attempted.add(attempt.replica.replica_id, refused=refused)
        self._launcher.finish(attempt, outcome)

    def _stop(self, cause: StopCause) -> EndedAttempt:
        """Abandon all attempts."""
        assert self._first is not None
        ended = EndedAttempt(self._first.replica, Stopped(cause))
        self._abandon_all(ended.outcome)
        return ended

    def _abandon_all(self, outcome: Outcome) -> None:
        self._cancel_opening()
        for attempt in self._attempts():
            attempt.abandon()
            self._finish(attempt, outcome)
        self._first = self._backup = None

    # The backup

    def _may_have_backup(self, first: Attempt) -> bool:
        if not self._route.repeatable or self._state.stopping:
            return False
        if self._backup is not None or self._opening is not None:
            return False
        if self._launcher.is_suspect:
            return False
        if not self._retries.has_attempts_left(self._route.max_attempts):
            return False
        return first.silent_s >= MIN_SILENCE_S

    def _open_backup(self, first: Attempt, decision: RelayDecision) -> None:
        log_event(
            "backup_opened",
            id=self._retries.record.request_id,
            replica=decision.replica.replica_id,
            silent_replica=first.replica.replica_id,
            silent_s=first.silent_s,
        )
        self._opening = _BackupOpening(self._launcher, decision, self._inbox)

    def _handle_backup_ready(self, event: BackupReady) -> None:
        opening = self._opening
        if opening is None or event.opening is not opening:
            return  # It was dropped meanwhile.
        self._opening = None
        connection = opening.connection
        if connection is None or not self._may_launch_backup(opening.decision.replica):
            self._log_dropped("it could not be sent")
            opening.cancel()
            return
        self._backup = self._launcher.launch(opening.decision, connection)
        self._watch(self._backup)

    def _may_launch_backup(self, replica: RelayReplica) -> bool:
        """Check again what may have changed while the connection was opened; spend a retry."""
        if self._state.stopping or self._launcher.is_suspect:
            return False
        if not self._planner.is_available(replica, self._search.excluded()):
            return False
        return self._retries.try_spend(self._route.max_attempts)

    def _promote_backup(self) -> None:
        self._first, self._backup = self._backup, None

    def _abandon_first(self) -> None:
        """Abandon the first attempt in favour of its backup."""
        first = self._first
        assert first is not None
        log_event(
            "answer_given_up",
            id=self._retries.record.request_id,
            replica=first.replica.replica_id,
        )
        first.abandon()
        self._promote_backup()
        self._finish(first, Moved())

    def _drop_backup(self, reason: str) -> None:
        backup = self._backup
        if backup is None and self._opening is None:
            return
        self._log_dropped(reason)
        self._cancel_opening()
        if backup is not None:
            backup.abandon()
            self._finish(backup, Moved())
            self._backup = None

    def _log_dropped(self, reason: str) -> None:
        log_event("backup_dropped", id=self._retries.record.request_id, reason=reason)

    def _cancel_opening(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None

    # Weights that expire

    def _handle_expiry(self, number: int, *, expired: bool) -> EndedAttempt | None:
        """Withdraw a stream whose weights expire, unless it has begun; or cancel it in the end."""
        for attempt in self._attempts():
            if attempt.number == number and not attempt.has_first_event:
                if len(self._attempts()) > 1 or self._may_withdraw(attempt):
                    return self._end_before_expiry(attempt, "stream_withdrawn", Moved())
                if expired:
                    cancelled = Stopped(StopCause.WEIGHTS_EXPIRED)
                    return self._end_before_expiry(attempt, "stream_cancelled", cancelled)
        return None

    def _may_withdraw(self, attempt: Attempt) -> bool:
        """Spend a retry to send the request elsewhere."""
        if not self._route.resumable or not self._may_search_without(attempt):
            return False
        return self._retries.try_spend(self._route.max_attempts)

    def _may_search_without(self, attempt: Attempt) -> bool:
        """Whether another replica accepts now; a begun answer may wait for one, also in a stop."""
        if self._retries.answer_begun:
            return True
        excluded = self._search.excluded_by_attempts() | {attempt.replica.replica_id}
        return not self._state.stopping and self._planner.has_candidates(excluded)

    def _end_before_expiry(
        self, attempt: Attempt, event: str, outcome: Outcome
    ) -> EndedAttempt | None:
        replica_id = attempt.replica.replica_id
        log_event(event, id=self._retries.record.request_id, replica=replica_id)
        attempt.abandon()
        if attempt is self._first:
            return self._end_first(attempt, outcome)
        self._backup = None
        self._finish(attempt, outcome)
        return None
