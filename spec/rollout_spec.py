"""Specification of a software rollout's record: two leaders, late writes, a daemon that restarts.

One version is on trial and is found bad at some time. Two daemons act as leader, one of them
wrongly. A write reaches the store at any later time, once, twice or never. A third daemon assigns
requests to the version by its own copy of the record. Mirrors ``SoftwareState``,
``SoftwareRollout`` and ``SoftwareVersions``, with two simplifications that only add behaviour:
writes are not conditional on the leader's entry, and a leader may take a step at any time, without
waiting for idle replicas, capacity or reports.

Checked: a version judged bad never returns to the trial, moved or completed phase, whoever writes
and however late; and once the bound on rollbacks has passed since the judgement, no daemon assigns
requests to it.

State: the record's revision and phase, whether it marks the version as bad, the number of orders,
whether the version was found bad, whether the bound on rollbacks has passed, what each leader
knows, one write in flight, what the daemon knows.
"""

from __future__ import annotations

import dataclasses
import enum

from minicheck import Protocol

NONE = -1
MAX_REVISIONS = 4
State = tuple[int, ...]
Steps = list[tuple[str, State]]
FIELDS = (
    "revision",
    "phase",
    "judged_bad",
    "orders",
    "found_bad",
    "bound_passed",
    "known_0",
    "phase_0",
    "bad_0",
    "known_1",
    "phase_1",
    "bad_1",
    "write_by",
    "write_on",
    "write_phase",
    "daemon_behind",
    "daemon_phase",
    "daemon_stopped",
    "daemon_proof",
)
LEADERS = (0, 1)


class Phase(enum.IntEnum):
    """Phases of the record; ROLLED_BACK is distinct from SETTLED, the state before a rollout."""

    SETTLED = 0
    TRIAL = 1
    MOVED = 2
    COMPLETED = 3
    ROLLED_BACK = 4


_RUNNING = (Phase.TRIAL, Phase.MOVED)


@dataclasses.dataclass(frozen=True)
class RolloutRules:
    """The protocol's rules; each mutant violates one."""

    #: A write is conditional on the record's revision.
    names_revision: bool = True
    #: The record remembers a version that was judged bad, and a new order for it is refused.
    remembers_bad: bool = True
    #: A share of requests is void once its proof is older than the bound.
    proof_expires: bool = True
    #: A restarted daemon assigns no share until it has a proof.
    starts_without_proof: bool = True


def rollout_protocol(rules: RolloutRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        now = dict(zip(FIELDS, state, strict=True))
        return [
            *_environment_steps(rules, now),
            *_leader_steps(now),
            *_write_steps(rules, now),
            *_daemon_steps(rules, now),
        ]

    initial = dict.fromkeys(FIELDS, 0) | {
        "phase": Phase.TRIAL,
        "revision": 1,
        "orders": 1,
        "write_by": NONE,
        "write_on": NONE,
        "write_phase": NONE,
    }
    return Protocol(
        name="rollout",
        candidate=False,
        fields=FIELDS,
        initial=tuple(int(initial[field]) for field in FIELDS),
        transitions=transitions,
        invariants={
            "a_bad_version_stays_rolled_back": _stays_rolled_back,
            "a_bad_version_gets_nothing_after_the_bound": _gets_nothing_late,
        },
    )


def _stays_rolled_back(state: dict[str, int]) -> bool:
    return not state["judged_bad"] or state["phase"] == Phase.ROLLED_BACK


def _gets_nothing_late(state: dict[str, int]) -> bool:
    return not (state["judged_bad"] and state["bound_passed"] and _gives_share(state))


def _gives_share(state: dict[str, int]) -> bool:
    """Return whether the daemon assigns requests; mirrors ``SoftwareVersions.assign_to_target``."""
    is_trial = state["daemon_phase"] == Phase.TRIAL
    return bool(is_trial and state["daemon_proof"] and not state["daemon_stopped"])


def _with(now: dict[str, int], **changes: int) -> State:
    after = {**now, **changes}
    return tuple(int(after[field]) for field in FIELDS)


def _environment_steps(rules: RolloutRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    if now["phase"] in _RUNNING and not now["found_bad"]:
        steps.append(("find_bad", _with(now, found_bad=1)))
    if now["judged_bad"] and not now["bound_passed"]:
        lapsed = {"daemon_proof": 0} if now["daemon_behind"] and rules.proof_expires else {}
        steps.append(("bound_passes", _with(now, bound_passed=1, **lapsed)))
    may_reorder = now["phase"] == Phase.ROLLED_BACK and now["orders"] < 2
    if may_reorder and now["revision"] < MAX_REVISIONS:
        phase = Phase.ROLLED_BACK if rules.remembers_bad and now["judged_bad"] else Phase.TRIAL
        changes = {"orders": 2, "revision": now["revision"] + 1, "phase": phase, "daemon_behind": 1}
        ordered = _with(now, **changes)
        steps.append(("order_again", ordered))
    return steps


def _leader_steps(now: dict[str, int]) -> Steps:
    steps: Steps = []
    for leader in LEADERS:
        known = {f"known_{leader}": now["revision"], f"phase_{leader}": now["phase"]}
        steps.append((f"read({leader})", _with(now, **known)))
        if now["found_bad"]:
            steps.append((f"hear_bad({leader})", _with(now, **{f"bad_{leader}": 1})))
        next_phase = _next_phase(now, leader)
        if now["write_by"] == NONE and next_phase is not None:
            write = {
                "write_by": leader,
                "write_on": now[f"known_{leader}"],
                "write_phase": next_phase,
            }
            steps.append((f"write({leader}:{next_phase.name})", _with(now, **write)))
    return steps


def _next_phase(now: dict[str, int], leader: int) -> Phase | None:
    """Return the leader's next phase: back if it knows that the version is bad, else forward.

    Mirrors ``core.software_plan.next_step``.
    """
    phase = now[f"phase_{leader}"]
    if phase not in _RUNNING:
        return None
    if now[f"bad_{leader}"]:
        return Phase.ROLLED_BACK
    return Phase.MOVED if phase == Phase.TRIAL else Phase.COMPLETED


def _write_steps(rules: RolloutRules, now: dict[str, int]) -> Steps:
    if now["write_by"] == NONE:
        return []
    cleared = {"write_by": NONE, "write_on": NONE, "write_phase": NONE}
    applied = _apply_write(rules, now)
    return [
        ("lose", _with(now, **cleared)),
        ("arrive", _with(now, **cleared, **applied)),
        ("arrive_and_come_again", _with(now, **applied)),
    ]


def _apply_write(rules: RolloutRules, now: dict[str, int]) -> dict[str, int]:
    """Return the changes of a write to the store; empty if its condition fails."""
    if rules.names_revision and now["write_on"] != now["revision"]:
        return {}
    if now["revision"] >= MAX_REVISIONS:
        return {}
    changes = {
        "revision": now["revision"] + 1,
        "phase": now["write_phase"],
        "daemon_behind": 1,
    }
    if now["write_phase"] == Phase.ROLLED_BACK:
        changes["judged_bad"] = 1
    return changes


def _daemon_steps(rules: RolloutRules, now: dict[str, int]) -> Steps:
    learned = {
        "daemon_behind": 0,
        "daemon_phase": now["phase"],
        "daemon_proof": 1,
    }
    steps = [("learn", _with(now, **learned))]
    if now["found_bad"]:
        steps.append(("hear_stop", _with(now, daemon_stopped=1)))
    proof = 0 if rules.starts_without_proof else 1
    restarted = {"daemon_stopped": 0, "daemon_proof": proof}
    if rules.starts_without_proof:
        restarted |= {"daemon_phase": 0, "daemon_behind": 1}
    steps.append(("restart", _with(now, **restarted)))
    return steps


MUTANTS = {
    "write_without_revision": RolloutRules(names_revision=False),
    "bad_version_is_forgotten": RolloutRules(remembers_bad=False),
    "share_without_proof": RolloutRules(proof_expires=False),
    "start_with_the_old_share": RolloutRules(starts_without_proof=False),
}
