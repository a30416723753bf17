"""Plans the stages of a software rollout: when the next stage begins and what share it gets.

The requests that an unapproved version may get form a budget for the whole rollout. The trial
spends a part of it slowly on a few replicas, which get the per-replica load that all will have
later. The move to full traffic is late and fast, which limits the exposure to a version that turns
bad after the trial. Times are in seconds.
"""

from __future__ import annotations

import math

import msgspec

from winchfork.core.software_state import SoftwarePhase, SoftwareState, StopCause
from winchfork.core.version_evidence import Assessment

#: Shortest duration, in seconds, of an order that is carried out; in less time a version cannot be
#: assessed and moved to.
MIN_DURATION_S = 3.0
#: Share of the exposure budget that the trial may spend. The rest is reserved for the move, in
#: which a bad version is fully used for up to a second until it is noticed.
TRIAL_BUDGET_SHARE = 0.25
#: Share of the duration after which an approved version may move: late, so that a version that
#: turns bad is found before, but in time for the last answers of the old replicas to end.
MOVE_START_SHARE = 0.5
#: Share of the time before the move in which the trial spends its budget share; early, so that a
#: version that is bad from the start is found soon.
TRIAL_SPEND_TIME_SHARE = 0.6
#: Additional share of the exposure budget for a trial that is still inconclusive after that time.
#: The whole service may have been slow or failing until then.
UNDECIDED_BUDGET_SHARE = 0.12
#: Upper bound on the share of requests that a trial gets; takes effect where requests are so few
#: that the allowance on top of the share counts.
MAX_TRIAL_SHARE = 0.3
#: Smallest number of trial replicas, if as many exist, so that a single faulty replica can be
#: distinguished from a bad version.
MIN_TRIAL_REPLICAS = 3
#: Traffic shares of the stages between the trial and full traffic.
MOVING_SHARES = (0.25, 0.5)
#: Shortest duration of a moving stage, in seconds.
STAGE_S = 0.4
#: Upper bound, in seconds, on the time until every daemon follows a new stage and has reported its
#: load.
PROPAGATION_S = 1.0
#: Seconds before the time limit at which the final record is written.
FINAL_RECORD_MARGIN_S = 0.6
#: Slots that the target needs before traffic moves, as a share of the old replicas' slots.
CAPACITY_SHARE = 0.9
#: Share of the budget at which an unapproved version is stopped; the rest covers requests that are
#: in flight or sent before every daemon knows of the stop, within 0.1 s.
MAX_UNAPPROVED_BUDGET_SHARE = 0.85
#: Smallest number of answers from which the request rate is estimated.
MIN_ANSWERS = 10
#: Shortest time, in seconds since the order, over which the request rate is estimated.
MIN_OBSERVED_S = 1.0
#: Interval between checkpoints of the elapsed time, as a share of the duration. From a checkpoint a
#: fleet that was killed knows how much of the duration has passed.
CHECKPOINT_SHARE = 0.125
#: Shortest interval between checkpoints, in seconds.
MIN_CHECKPOINT_S = 1.0
#: Relative deviation from the planned share above which the share is corrected.
SHARE_TOLERANCE = 0.2


class ExposureLimits(msgspec.Struct, frozen=True):
    """Bounds on the requests that a bad version may get.

    ``share`` is their share of all requests and ``slack`` the number allowed in addition.
    ``rollback_s`` is the time after 50 bad answers within which requests to it must stop.
    """

    share: float = 0.1
    slack: float = 0.0
    rollback_s: float = 5.0


class RolloutView(msgspec.Struct, frozen=True):
    """The leader's view of one service. Times are in seconds.

    ``elapsed_s`` is the time since the order according to the records, ``remaining_s`` the time
    until its time limit, ``stage_s`` the time since the current record. Replicas and slots are
    those that accept requests and are not ejected. ``old_running`` is the number of requests in
    flight on replicas of all versions but the target; it is complete only if
    ``all_daemons_reported``.
    """

    elapsed_s: float
    remaining_s: float
    stage_s: float
    new_replicas: int
    new_slots: int
    old_slots: int
    old_running: int
    all_daemons_reported: bool
    new_answers: int
    all_answers: int
    #: Recent answers per second as counted by this leader; None while it has too few samples.
    recent_per_s: float | None
    assessment: Assessment
    #: Why the target gets no more requests; None if it is not stopped.
    stop_cause: StopCause | None
    longest_run_s: float


class RolloutStep(msgspec.Struct, frozen=True):
    """The next record to write, and why."""

    state: SoftwareState
    reason: str


def next_step(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    """Return the next record of a running rollout; None if none is due."""
    if state.targets_version_in_force:
        return _keep_version_in_force(state, view, limits)
    if view.stop_cause is StopCause.BAD:
        return RolloutStep(state.rolled_back(judged_bad=True), "the version was found bad")
    overspent = has_exhausted_budget(
        state, view.assessment, view.new_answers, view.all_answers, limits
    )
    if view.stop_cause is StopCause.BUDGET_EXHAUSTED or overspent:
        reason = "the exposure budget is exhausted and the version is not approved"
        return RolloutStep(state.rolled_back(judged_bad=False), reason)
    if state.duration_s < MIN_DURATION_S:
        return RolloutStep(
            state.rolled_back(judged_bad=False), "the ordered duration is below the minimum"
        )
    if state.phase is SoftwarePhase.MOVED:
        return _finish(state, view, limits)
    if state.phase is SoftwarePhase.MOVING:
        return _move_on(state, view)
    if view.elapsed_s >= latest_move_s(state, view):
        return RolloutStep(state.rolled_back(judged_bad=False), _timeout_reason(state, view))
    return _begin_move(state, view, limits) or _advance_trial(state, view, limits)


def latest_move_s(state: SoftwareState, view: RolloutView) -> float:
    """Return the latest time since the order at which a move may begin and still end in time.

    A move that has already begun continues after that.
    """
    drain_s = PROPAGATION_S + min(view.longest_run_s, 0.2 * state.duration_s)
    stages_s = STAGE_S * len(MOVING_SHARES)
    floor_s = MOVE_START_SHARE * state.duration_s + stages_s
    return max(floor_s, state.duration_s - FINAL_RECORD_MARGIN_S - drain_s)


def _timeout_reason(state: SoftwareState, view: RolloutView) -> str:
    if not view.new_replicas:
        return "no replica of the version accepted requests in time"
    if not _has_capacity(view):
        return "too few replicas of the version accepted requests in time"
    if view.assessment is not Assessment.GOOD:
        return "the version was not approved in time"
    return "the time limit has passed"


def _keep_version_in_force(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    """Send all requests to the version in force and finish once the others are idle."""
    if state.phase is not SoftwarePhase.MOVED:
        moved = state.advanced(SoftwarePhase.MOVED, 0.0, view.elapsed_s)
        return RolloutStep(moved, "the order names the version in force")
    return _finish(state, view, limits)


def _finish(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> RolloutStep | None:
    # Operators stop the old replicas once the rollout is completed, so a missing report must not
    # count as idle.
    idle = view.all_daemons_reported and not view.old_running
    # Once a version is in force, its requests are no longer limited.
    bounded = state.unapproved and view.assessment is not Assessment.GOOD
    final = not bounded or _can_afford_all(state, view, limits)
    if view.stage_s >= PROPAGATION_S and idle and final:
        return RolloutStep(state.completed(), "the other versions are idle")
    if view.remaining_s > FINAL_RECORD_MARGIN_S:
        return None
    if state.targets_version_in_force or _has_capacity(view):
        return RolloutStep(state.completed(), "the time limit has passed")
    return RolloutStep(
        state.rolled_back(judged_bad=False),
        "too few replicas of the version accept requests at the time limit",
    )


def _move_on(state: SoftwareState, view: RolloutView) -> RolloutStep | None:
    if view.remaining_s <= FINAL_RECORD_MARGIN_S:
        return RolloutStep(state.rolled_back(judged_bad=False), _timeout_reason(state, view))
    if view.stage_s < STAGE_S or not _has_capacity(view):
        return None
    for share in MOVING_SHARES:
        if share > state.share:
            moving = state.advanced(SoftwarePhase.MOVING, share, view.elapsed_s)
            return RolloutStep(moving, "no fault was found at the previous stage")
    return RolloutStep(
        state.advanced(SoftwarePhase.MOVED, 1.0, view.elapsed_s),
        "no fault was found at the last stage",
    )


def _begin_move(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    in_time = view.elapsed_s >= MOVE_START_SHARE * state.duration_s
    if not (in_time and state.share and _has_capacity(view)):
        return None
    moving = state.advanced(SoftwarePhase.MOVING, MOVING_SHARES[0], view.elapsed_s)
    if view.assessment is Assessment.GOOD:
        return RolloutStep(moving, "the version is approved")
    # Anything weaker than PROBABLE rests on too few answers to move an unapproved version. On an
    # overloaded machine few requests get through, and slow versions would be put in force.
    if view.assessment is Assessment.PROBABLE and _can_afford_all(state, view, limits):
        unapproved = msgspec.structs.replace(moving, unapproved=True)
        return RolloutStep(unapproved, "the remaining requests fit into the exposure budget")
    return None


def _can_afford_all(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> bool:
    """Whether all remaining requests of the rollout fit into the exposure budget.

    This is so for services with few requests, where answers are too few to approve a version.
    """
    if not view.new_answers or view.elapsed_s <= 0.0 or view.recent_per_s is None:
        return False
    # The mean since the order is too low if faults blocked requests or lost counts in that time.
    per_s = max(view.all_answers / view.elapsed_s, view.recent_per_s)
    left = per_s * (state.duration_s - view.elapsed_s)
    return view.new_answers + left <= _budget(state, limits, per_s)


def has_exhausted_budget(
    state: SoftwareState,
    assessment: Assessment,
    new_answers: int,
    all_answers: int,
    limits: ExposureLimits,
) -> bool:
    """Whether a version that moved without approval has nearly used up its exposure budget.

    The budget is computed from the answers so far, since more requests than expected may arrive.
    """
    if not state.unapproved or assessment is Assessment.GOOD:
        return False
    return new_answers >= MAX_UNAPPROVED_BUDGET_SHARE * (limits.share * all_answers + limits.slack)


def _advance_trial(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    """Begin the trial, correct its share, or record the elapsed time."""
    min_replicas = min(MIN_TRIAL_REPLICAS, max(1, view.new_replicas))
    if view.new_replicas < min_replicas or not view.new_slots:
        return None
    share = trial_share(state, view, limits)
    replicas = max(min_replicas, math.ceil(share * view.new_replicas))
    trial = state.advanced(SoftwarePhase.TRIAL, share, view.elapsed_s, replicas)
    if not state.share:
        return RolloutStep(trial, "replicas of the version accept requests")
    rate_became_known = state.share == _initial_share(limits) and _is_rate_known(view)
    checkpoint_s = max(MIN_CHECKPOINT_S, CHECKPOINT_SHARE * state.duration_s)
    if view.stage_s < checkpoint_s and not rate_became_known:
        return None
    if abs(share - state.share) <= SHARE_TOLERANCE * state.share:
        trial = msgspec.structs.replace(trial, share=state.share)
    return RolloutStep(trial, "the trial continues")


def trial_share(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> float:
    """Return the share of requests that the trial may get from now until the move.

    It is computed from the request rate so far and the unspent part of the budget.
    """
    initial = _initial_share(limits)
    if not _is_rate_known(view):
        return initial
    per_s = view.all_answers / view.elapsed_s
    budget = _budget(state, limits, per_s)
    move_s = MOVE_START_SHARE * state.duration_s
    left_s = TRIAL_SPEND_TIME_SHARE * move_s - view.elapsed_s
    spend = TRIAL_BUDGET_SHARE
    if left_s < STAGE_S and view.assessment is not Assessment.GOOD:
        left_s = move_s - view.elapsed_s
        spend += UNDECIDED_BUDGET_SHARE
    share = max(0.0, spend * budget - view.new_answers) / (per_s * max(STAGE_S, left_s))
    return min(MAX_TRIAL_SHARE, max(initial / 4, share))


def _budget(state: SoftwareState, limits: ExposureLimits, per_s: float) -> float:
    """Return the exposure budget, in requests, of a service that gets ``per_s`` requests/s."""
    return limits.share * per_s * state.duration_s + limits.slack


def _is_rate_known(view: RolloutView) -> bool:
    """Whether answers are numerous enough, over a long enough time, to estimate the rate."""
    return view.all_answers >= MIN_ANSWERS and view.elapsed_s >= MIN_OBSERVED_S


def _initial_share(limits: ExposureLimits) -> float:
    """Return the trial's share while the request rate is not known."""
    return TRIAL_BUDGET_SHARE * limits.share


def _has_capacity(view: RolloutView) -> bool:
    return view.new_slots > 0 and view.new_slots >= CAPACITY_SHARE * view.old_slots
