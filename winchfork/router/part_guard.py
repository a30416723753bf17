"""Limits and refuses requests with a prompt part that crashes replicas.

Every shared part of the prompts that were running on a replica when it crashed is counted. Parts of
sound requests soon succeed in another run, which clears them; a part that crashes replicas never
does. By crashes since the last success, all requests with a part are, on all daemons together:

==============================  ===============================================
crashes                         requests with the part
==============================  ===============================================
fewer than two                  not limited
two                             one at a time: each run is a trial of the part
under one or two trials         held back for a second, then one at a time
under each further trial        refused for a time that grows with each of them,
                                then one at a time
==============================  ===============================================

Only crashes under trials lead to a refusal, since of all requests that were aboard at another crash
most are sound, and only under three of them, since the replica of a trial may crash for another
cause. The daemon that sent the run decides and tells the others, each of which objects if the part
has succeeded there recently.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec

from winchfork.core.broken_runs import EVIDENCE_WINDOW_S, BrokenRuns, CrashEvidence
from winchfork.core.crash_history import CRASHES_TO_LIMIT_PART, PART_POLICY, CrashHistory
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.suspect_runs import SuspectRun, SuspectRuns
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.refusal_ledger import RefusalLedger
from winchfork.router.refusal_records import PART_PREFIX, RefusalRecords

#: Seconds after which another trial of a part may begin although one is still running.
MAX_TRIAL_S = 3.0
#: Seconds for which a trial whose connection broke keeps others back, until a crash is confirmed.
RESOLVE_S = 1.0
#: Number of a part's refusals from which on its requests are refused; until then they wait.
LONG_REFUSAL_TIMES = 4
#: Parts that may be refused for long at the same time: if more crash replicas, the parts are not
#: the cause.
MAX_LONG_REFUSALS = 16


class _Trial(msgspec.Struct):
    """A run of the request ``owner``; ``broke_at_s`` is None while its connection is intact."""

    owner: object
    broke_at_s: float | None = None


class PartGuard(RefusalLedger):
    """One process's record of prompt parts that may crash replicas, by digest."""

    def __init__(
        self, daemon_id: str, clock: Callable[[], float], suspect_runs: SuspectRuns
    ) -> None:
        history = CrashHistory(policy=PART_POLICY)
        super().__init__(history, RefusalRecords(history, clock, prefix=PART_PREFIX), clock)
        self._daemon_id = daemon_id
        self._suspect_runs = suspect_runs
        self._broken_runs = BrokenRuns()
        #: By part and incarnation.
        self._trials: dict[tuple[bytes, int], _Trial] = {}
        #: Called with an incarnation that crashed and the parts of this daemon's runs there.
        self.on_crash: Callable[[int, tuple[bytes, ...]], None] = lambda incarnation, parts: None
        #: Called with parts that this daemon has limited or refused.
        self.on_refused: Callable[[tuple[bytes, ...]], None] = lambda parts: None
        #: Called when a trial begins, and with None when it ends.
        self.on_trial: Callable[[bytes, SuspectRun | None], None] = lambda part, run: None

    # Before a run

    def refusal(self, parts: Sequence[bytes], ran: RunState = RunState.NOT_RUN) -> Failure | None:
        """Return why a request with these parts may be sent to no replica, or None."""
        now_s = self._clock()
        for part in parts:
            refused_long = self.history.times_refused(part) >= LONG_REFUSAL_TIMES
            if refused_long and self.history.is_refused(part, now_s):
                return FailureKind.CRASHES_REPLICAS.because(
                    f"replicas crash while running requests with a part of this prompt "
                    f"({part.hex()})",
                    remedy="leave the part out, or ask the operators to release it",
                    ran=ran,
                )
        return None

    def is_limited(self, parts: Iterable[bytes]) -> bool:
        """Whether requests with one of these parts run one at a time."""
        return any(self.history.times_refused(part) for part in parts)

    def may_run(self, parts: Iterable[bytes]) -> bool:
        """Whether none of these parts is refused, and no trial of them is under way."""
        now_s = self._clock()
        return not any(
            self.history.is_refused(part, now_s) or self._suspect_runs.is_running(part, now_s)
            for part in parts
            if self.history.times_refused(part)
        )

    def is_unresolved(self, parts: Iterable[bytes]) -> bool:
        """Whether it is not known yet if a replica crashed, and such a crash may limit a part."""
        now_s = self._clock()
        return any(
            self.history.crash_count(part, now_s)
            and self._broken_runs.count_unconfirmed(part, now_s)
            for part in parts
        )

    # A run

    def begin_run(
        self, owner: object, parts: Iterable[bytes], replica: RelayReplica, until_s: float
    ) -> None:
        """Record that the request ``owner`` is about to be sent; its run ends by ``until_s``."""
        now_s = self._clock()
        for part in parts:
            if self.history.times_refused(part):
                self._forget_trials(now_s)
                self._trials[part, replica.incarnation_hash] = _Trial(owner)
                trial_until_s = min(until_s, now_s + MAX_TRIAL_S)
                self._announce_trial(part, replica.incarnation_hash, trial_until_s)

    def end_run(self, owner: object, parts: Iterable[bytes], replica: RelayReplica) -> None:
        """Record that a run is over; one whose connection broke stays until that is resolved."""
        for part in parts:
            trial = self._trials.get((part, replica.incarnation_hash))
            if trial is not None and trial.owner is owner and trial.broke_at_s is None:
                self._end_trial(part, replica.incarnation_hash)

    def record_success(self, parts: Iterable[bytes]) -> None:
        """Record a complete answer, and clear the parts."""
        now_s = self._clock()
        for part in parts:
            self.history.record_success(part, now_s)
            self._broken_runs.clear(part)
            if self.history.times_refused(part):
                log_event("part_cleared", part=part.hex())
                self.clear(part)
            else:
                # The count of a part that is not limited only matters here.
                self.history.clear(part)

    def record_broken_run(
        self,
        owner: object,
        parts: Iterable[bytes],
        replica: RelayReplica,
        *,
        silent: bool,
        in_order: bool = False,
    ) -> None:
        """Record that a run's connection broke, or ended ``in_order`` without framing."""
        incarnation = replica.incarnation_hash
        now_s = self._clock()
        for part in parts:
            self._broken_runs.record(incarnation, part, now_s, silent=silent, in_order=in_order)
            trial = self._trials.get((part, incarnation))
            if trial is not None and trial.owner is owner:
                trial.broke_at_s = now_s
                self._announce_trial(part, incarnation, now_s + RESOLVE_S)

    # Replicas

    def record_connected(self, replica: RelayReplica, asked_s: float) -> None:
        """Record that a connection to a replica, requested at ``asked_s``, was established."""
        incarnation = replica.incarnation_hash
        self.record_success(self._broken_runs.mark_reached(incarnation, asked_s))
        for part, trial in self._trials_at(incarnation):
            if trial.broke_at_s is not None and trial.broke_at_s <= asked_s:
                self._end_trial(part, incarnation)

    def record_crash(
        self, replica: RelayReplica, evidence: CrashEvidence, *, announced: bool
    ) -> None:
        """Record a crashed incarnation, unless the replica had ``announced`` its end."""
        incarnation = replica.incarnation_hash
        parts = self._broken_runs.pop_crashed(incarnation, evidence, self._clock())
        trials = [part for part, _ in self._trials_at(incarnation) if part in parts]
        for part in trials:
            self._end_trial(part, incarnation)
        if announced or not parts:
            return
        self._count_crash(incarnation, parts)
        self.on_crash(incarnation, parts)
        self._limit(parts)
        self._decide(self._most_suspect(trials))

    # Peers

    def handle_crash_report(self, incarnation: int, parts: Iterable[bytes]) -> None:
        """Record that a peer's runs with these parts were on an incarnation that crashed."""
        self._count_crash(incarnation, parts)

    def handle_refusal(self, part: bytes, times: int, remaining_s: float) -> None:
        """Record that a peer has limited or refused a part, or object."""
        now_s = self._clock()
        if times < self.history.times_refused(part):
            return
        self.history.refuse(part, times, now_s + remaining_s)
        if self.history.succeeded_recently(part, now_s):
            self.clear(part)

    # Verdicts

    def _count_crash(self, incarnation: int, parts: Iterable[bytes]) -> None:
        now_s = self._clock()
        for part in parts:
            self.history.record_crash(part, incarnation, now_s)

    def _limit(self, parts: Iterable[bytes]) -> None:
        """Limit the parts, unless they are limited, under which several replicas have crashed."""
        now_s = self._clock()
        limited = []
        for part in parts:
            crashes = len(self.history.crashed_incarnations(part, now_s))
            if crashes < CRASHES_TO_LIMIT_PART or self.history.times_refused(part):
                continue
            if self.history.succeeded_recently(part, now_s):
                self.history.clear(part)
            else:
                limited.append(part)
        self._decide(limited)

    def _most_suspect(self, parts: Sequence[bytes]) -> list[bytes]:
        """Return those of a trial's parts that were refused most often: one cause is enough."""
        most = max(map(self.history.times_refused, parts), default=0)
        return [part for part in parts if self.history.times_refused(part) == most]

    def _decide(self, parts: Iterable[bytes]) -> None:
        """Limit parts, or refuse those under whose trial a replica has crashed."""
        decided = []
        now_s = self._clock()
        for part in parts:
            times = self._next_times(part, now_s)
            for_s = self.history.refusal_s(times)
            self.history.refuse(part, times, now_s + for_s)
            log_event("part_refused", "WARNING", part=part.hex(), times=times, for_s=for_s)
            self.on_record_changed(part, own=True)
            decided.append(part)
        if decided:
            self.on_refused(tuple(decided))

    def _next_times(self, part: bytes, now_s: float) -> int:
        times = self.history.times_refused(part)
        if times + 1 < LONG_REFUSAL_TIMES:
            return times + 1
        refused_long = self.history.count_refused(LONG_REFUSAL_TIMES, now_s)
        return times + 1 if refused_long < MAX_LONG_REFUSALS else times

    # Trials

    def _trials_at(self, incarnation: int) -> list[tuple[bytes, _Trial]]:
        return [(part, trial) for (part, at), trial in self._trials.items() if at == incarnation]

    def _announce_trial(self, part: bytes, incarnation: int, until_s: float) -> None:
        run = SuspectRun(incarnation, until_s, is_exclusive=True)
        self._suspect_runs.begin(self._daemon_id, part, run)
        self.on_trial(part, run)

    def _end_trial(self, part: bytes, incarnation: int) -> None:
        del self._trials[part, incarnation]
        run = self._suspect_runs.end(self._daemon_id, part)
        if run is not None and run.incarnation != incarnation:
            # A later trial of the part has begun.
            self._suspect_runs.begin(self._daemon_id, part, run)
            return
        self.on_trial(part, None)

    def _forget_trials(self, now_s: float) -> None:
        for key, trial in list(self._trials.items()):
            if trial.broke_at_s is not None and now_s - trial.broke_at_s > EVIDENCE_WINDOW_S:
                del self._trials[key]
