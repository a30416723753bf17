"""The stages of a software rollout: when the next one begins, and how many requests it may take.

Nobody knows beforehand whether a version is bad, nor when it turns bad: at once, late, under load,
or on one route. So the requests that it may get are a budget for the whole duration. A part of it
is spent slowly, on a few replicas that bear as much each as all will later, while the evidence is
thin. The rest of the move comes late and quickly, with the new replicas' capacity seen, so that a
version which turns bad then has little time left to be used.
"""

from __future__ import annotations

import math

import msgspec

from winchfork.core.software_state import SoftwarePhase, SoftwareState, StopCause
from winchfork.core.version_evidence import Assessment

#: Orders that leave less time than this cannot be judged and carried out; seconds.
MIN_DURATION_S = 3.0
#: Part of the exposure budget that the trial may spend; the rest is for the move, in which a bad
#: version is used fully until it is noticed, for up to a second.
TRIAL_BUDGET_SHARE = 0.25
#: Part of the duration after which an approved version moves: late, so that one that turns bad has
#: been seen to, and early enough that the last answers of the old replicas end in time.
MOVE_START_SHARE = 0.5
#: Part of the time before the move in which the trial spends most of what it may: early, so that a
#: version that is bad from the start is found soon; a little goes on being spent after that.
TRIAL_SPEND_TIME_SHARE = 0.6
#: What a trial may spend besides while its answers do not speak clearly: all of the service may
#: have been slow or failing at that time.
UNDECIDED_BUDGET_SHARE = 0.12
#: Most of the requests in a trial, where so few come that the allowance on top of the share counts.
MAX_TRIAL_SHARE = 0.3
#: Replicas in a trial at least, so that one which is slow or failing by itself can be told apart.
MIN_TRIAL_REPLICAS = 3
#: Shares of the stages between the trial and the whole, and how long each is watched.
MOVING_SHARES = (0.25, 0.5)
STAGE_S = 0.4
#: Seconds in which every daemon has heard of a stage, and the work that it sent before was told.
PROPAGATION_S = 1.0
#: Seconds before the time limit at which the last word is written.
FINAL_RECORD_MARGIN_S = 0.6
#: Capacity that the target must show before traffic moves, as a share of that of the others.
CAPACITY_SHARE = 0.9
#: Part of the budget after which a version that has moved without approval gets nothing more. The
#: rest is for requests under way and those sent until every daemon has heard, within 0.1 s: at 20
#: requests a second some 4 of the 7 that 0.15 of a slack of 50 leaves.
MAX_UNAPPROVED_BUDGET_SHARE = 0.85
#: Answers, and seconds since the order, after which the rate of requests is known well enough to
#: plan by it.
MIN_ANSWERS = 10
MIN_OBSERVED_S = 1.0
#: The record is written again after this part of the duration, so that a fleet that is killed knows
#: how much of it has passed; and not more often than this many seconds.
CHECKPOINT_SHARE = 0.125
MIN_CHECKPOINT_S = 1.0
#: A share is corrected when it is off by more than this part of it.
SHARE_TOLERANCE = 0.2


class ExposureLimits(msgspec.Struct, frozen=True):
    """What a bad version may get at most: ``share`` of the requests and ``slack`` on top.

    ``rollback_s`` is within what time after 50 bad answers it must get nothing more.
    """

    share: float = 0.1
    slack: float = 0.0
    rollback_s: float = 5.0


class RolloutView(msgspec.Struct, frozen=True):
    """What the leader sees of one service. Times in seconds; slots of replicas that take work.

    ``elapsed_s`` is how much of the plan has passed, by the records; ``left_s`` is until the time
    limit, by the order. ``old_running`` is all that is under way at the old replicas if
    ``everyone_heard``: work that a silent daemon has there is not known.
    """

    elapsed_s: float
    left_s: float
    stage_s: float
    new_replicas: int
    new_slots: int
    old_slots: int
    old_running: int
    all_daemons_reported: bool
    new_answers: int
    all_answers: int
    #: Answers a second of late, as this leader has counted them; None until it has for a while.
    recent_per_s: float | None
    assessment: Assessment
    #: Why the target gets nothing more, if that is so.
    stop_cause: StopCause | None
    longest_run_s: float


class RolloutStep(msgspec.Struct, frozen=True):
    """The next record to write, and why."""

    state: SoftwareState
    reason: str


def next_step(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    """Return the next record of a running rollout; None while nothing is to be written."""
    if state.returning:
        return _return(state, view, limits)
    if view.stop_cause is StopCause.BAD:
        return RolloutStep(state.rolled_back(judged_bad=True), "the version is bad")
    overspent = has_exhausted_budget(
        state, view.assessment, view.new_answers, view.all_answers, limits
    )
    if view.stop_cause is StopCause.BUDGET_EXHAUSTED or overspent:
        reason = "the budget is spent and the version not approved"
        return RolloutStep(state.rolled_back(judged_bad=False), reason)
    if state.duration_s < MIN_DURATION_S:
        return RolloutStep(state.rolled_back(judged_bad=False), "the duration is too short")
    if state.phase is SoftwarePhase.MOVED:
        return _finish(state, view, limits)
    if state.phase is SoftwarePhase.MOVING:
        return _move_on(state, view)
    if view.elapsed_s >= latest_move_s(state, view):
        return RolloutStep(state.rolled_back(judged_bad=False), _timeout_reason(state, view))
    return _begin_move(state, view, limits) or _advance_trial(state, view, limits)


def latest_move_s(state: SoftwareState, view: RolloutView) -> float:
    """Return how long after the order a move may still begin and end in time.

    One that has begun goes on: the old replicas then have less time for their last answers.
    """
    drain_s = PROPAGATION_S + min(view.longest_run_s, 0.2 * state.duration_s)
    stages_s = STAGE_S * len(MOVING_SHARES)
    floor_s = MOVE_START_SHARE * state.duration_s + stages_s
    return max(floor_s, state.duration_s - FINAL_RECORD_MARGIN_S - drain_s)


def _timeout_reason(state: SoftwareState, view: RolloutView) -> str:
    if not view.new_replicas:
        return "no replica of the version came"
    if not _has_capacity(view):
        return "too few replicas of the version came"
    if view.assessment is not Assessment.GOOD:
        return "the version was not approved in time"
    return "the time is up"


def _return(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> RolloutStep | None:
    """Stay at the version in force: others get nothing, and stop when they have finished."""
    if state.phase is not SoftwarePhase.MOVED:
        moved = state.advanced(SoftwarePhase.MOVED, 0.0, view.elapsed_s)
        return RolloutStep(moved, "the version in force is ordered")
    return _finish(state, view, limits)


def _finish(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> RolloutStep | None:
    # Silence is not idleness: operators stop the old replicas on this word.
    idle = view.all_daemons_reported and not view.old_running
    # Nothing bounds what a version gets once it is in force.
    bounded = state.unapproved and view.assessment is not Assessment.GOOD
    final = not bounded or _can_afford_all(state, view, limits)
    if view.stage_s >= PROPAGATION_S and idle and final:
        return RolloutStep(state.completed(), "the other versions are idle")
    if view.left_s > FINAL_RECORD_MARGIN_S:
        return None
    if state.returning or _has_capacity(view):
        return RolloutStep(state.completed(), "the time is up")
    return RolloutStep(state.rolled_back(judged_bad=False), "the new replicas are gone")


def _move_on(state: SoftwareState, view: RolloutView) -> RolloutStep | None:
    if view.left_s <= FINAL_RECORD_MARGIN_S:
        return RolloutStep(state.rolled_back(judged_bad=False), _timeout_reason(state, view))
    if view.stage_s < STAGE_S or not _has_capacity(view):
        return None
    for share in MOVING_SHARES:
        if share > state.share:
            moving = state.advanced(SoftwarePhase.MOVING, share, view.elapsed_s)
            return RolloutStep(moving, "no fault was seen")
    return RolloutStep(state.advanced(SoftwarePhase.MOVED, 1.0, view.elapsed_s), "all moves")


def _begin_move(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    in_time = view.elapsed_s >= MOVE_START_SHARE * state.duration_s
    if not (in_time and state.share and _has_capacity(view)):
        return None
    moving = state.advanced(SoftwarePhase.MOVING, MOVING_SHARES[0], view.elapsed_s)
    if view.assessment is Assessment.GOOD:
        return RolloutStep(moving, "the version is approved")
    # Fewer answers tell nothing: slow versions were put in force in 14 of 24 runs of real processes
    # on a machine with four times the work that it bears, which had let few requests through.
    if view.assessment is Assessment.PROBABLE and _can_afford_all(state, view, limits):
        unapproved = msgspec.structs.replace(moving, unapproved=True)
        return RolloutStep(unapproved, "what is left is within the budget")
    return None


def _can_afford_all(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> bool:
    """Whether a bad version might get everything from now on: a service with few requests.

    So few answers come there that no test could approve a version in time.
    """
    if not view.new_answers or view.elapsed_s <= 0.0 or view.recent_per_s is None:
        return False
    # The mean since the order is too low where faults kept requests away or lost their counts.
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
    """Whether a version that moved without approval has got about all that a bad one may.

    More requests may have come since than were expected. Counted in answers so far.
    """
    if not state.unapproved or assessment is Assessment.GOOD:
        return False
    return new_answers >= MAX_UNAPPROVED_BUDGET_SHARE * (limits.share * all_answers + limits.slack)


def _advance_trial(
    state: SoftwareState, view: RolloutView, limits: ExposureLimits
) -> RolloutStep | None:
    """Begin the trial, correct its share, or write down how much time has passed."""
    wanted = min(MIN_TRIAL_REPLICAS, max(1, view.new_replicas))
    if view.new_replicas < wanted or not view.new_slots:
        return None
    share = trial_share(state, view, limits)
    replicas = max(wanted, math.ceil(share * view.new_replicas))
    trial = state.advanced(SoftwarePhase.TRIAL, share, view.elapsed_s, replicas)
    if not state.share:
        return RolloutStep(trial, "replicas of the version take work")
    was_blind = state.share == _initial_share(limits) and _knows_rate(view)
    checkpoint_s = max(MIN_CHECKPOINT_S, CHECKPOINT_SHARE * state.duration_s)
    if view.stage_s < checkpoint_s and not was_blind:
        return None
    if abs(share - state.share) <= SHARE_TOLERANCE * state.share:
        trial = msgspec.structs.replace(trial, share=state.share)
    return RolloutStep(trial, "trial")


def trial_share(state: SoftwareState, view: RolloutView, limits: ExposureLimits) -> float:
    """Return the part of the requests that the trial may take from now until the move.

    Planned by the requests seen so far, less what the version has got already.
    """
    least = _initial_share(limits)
    if not _knows_rate(view):
        return least
    per_s = view.all_answers / view.elapsed_s
    budget = _budget(state, limits, per_s)
    move_s = MOVE_START_SHARE * state.duration_s
    left_s = TRIAL_SPEND_TIME_SHARE * move_s - view.elapsed_s
    spend = TRIAL_BUDGET_SHARE
    if left_s < STAGE_S and view.assessment is not Assessment.GOOD:
        left_s = move_s - view.elapsed_s
        spend += UNDECIDED_BUDGET_SHARE
    share = max(0.0, spend * budget - view.new_answers) / (per_s * max(STAGE_S, left_s))
    return min(MAX_TRIAL_SHARE, max(least / 4, share))


def _budget(state: SoftwareState, limits: ExposureLimits, per_s: float) -> float:
    """Return the requests that a bad version may get of a service that gets ``per_s`` a second."""
    return limits.share * per_s * state.duration_s + limits.slack


def _knows_rate(view: RolloutView) -> bool:
    """Whether enough was seen, for long enough: the first answers are told some tenths late."""
    return view.all_answers >= MIN_ANSWERS and view.elapsed_s >= MIN_OBSERVED_S


def _initial_share(limits: ExposureLimits) -> float:
    """Return the share of a trial while nobody knows how many requests come.

    It is corrected as soon as that is known: where few come, the allowance on top is worth more.
    """
    return TRIAL_BUDGET_SHARE * limits.share


def _has_capacity(view: RolloutView) -> bool:
    return view.new_slots > 0 and view.new_slots >= CAPACITY_SHARE * view.old_slots
