"""Specification of the claim protocol for one key in one epoch.

The model has two attempts and three voters. A is the caller's first send; B is its retry through
another daemon, after which the caller ignores the result of A. A message that was sent stays
available for ever, which covers loss, delay, duplication and reordering: a vote request may be
processed at any time after its attempt began, also after the attempt was given up.

A restarted voter has no authority for this key (``clock_spec``) and only abstains. Voters are
interchangeable; they are sorted within a state, which merges permutations.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Final

from minicheck import Protocol

A: Final = 0
B: Final = 1
NO_VOTE = -1


class Phase(enum.IntEnum):
    """The phases of an attempt, named as in ``core.claims.ClaimPhase`` where both have them."""

    IDLE = 0
    GATHERING = 1
    WON = 2
    GIVEN_UP = 3
    DISPATCHED = 4
    ANSWERED = 5
    CRASHED = 6
    #: The ingress crashed after dispatch: the engine may still execute.
    CRASHED_DISPATCHED = 7
    ABANDONED = 8
    #: The dispatch is known to have reached no engine.
    UNSENT = 9
    REPLAYED = 10


class Reply(enum.IntEnum):
    """The state of a voter's grant message to an attempt."""

    NONE = 0
    SENT = 1
    RECEIVED = 2


#: (vote, authority, has outcome, released A, released B, reply to A, reply to B)
Voter = tuple[int, int, int, int, int, int, int]
#: (phase A, phase B, runs of A, runs of B, "not run" reported, voters)
State = tuple[int, int, int, int, int, tuple[Voter, ...]]
Steps = list[tuple[str, State]]
FRESH_VOTER: Voter = (NO_VOTE, 1, 0, 0, 0, 0, 0)


@dataclasses.dataclass(frozen=True)
class ClaimRules:
    """The protocol's rules; each mutant violates one."""

    voters: int = 3
    majority: int = 2
    #: Whether ingresses crash and voters restart; most mutants are found without.
    failures: bool = True
    voter_remembers_restart: bool = True
    voter_keeps_first_vote: bool = True
    given_up_never_dispatches: bool = True
    abandon_keeps_votes: bool = True
    retry_needs_proof: bool = True
    dispatches_once: bool = True


class _Model:
    """The transition relation of the claim protocol."""

    def __init__(self, rules: ClaimRules) -> None:
        self._rules = rules

    def transitions(self, state: State) -> Steps:
        steps: Steps = []
        if state[B] == Phase.IDLE and state[A] != Phase.IDLE and not state[4]:
            steps.append(("send_again(B)", _with_phase(state, B, Phase.GATHERING)))
        for attempt in (A, B):
            steps += self._ingress_steps(state, attempt)
        for number, voter in enumerate(state[5]):
            steps += self._voter_steps(state, number, voter)
        return steps

    def _ingress_steps(self, state: State, attempt: int) -> Steps:
        name = "AB"[attempt]
        phase = _phase_of(state, attempt)
        steps: Steps = []
        if phase is Phase.GATHERING:
            steps.append((f"give_up({name})", self._give_up(state, attempt)))
        if self._rules.failures and phase in (Phase.GATHERING, Phase.WON):
            steps.append((f"crash({name})", _with_phase(state, attempt, Phase.CRASHED)))
        late = not self._rules.given_up_never_dispatches and phase is Phase.GIVEN_UP
        if phase is Phase.WON or (
            late and _received_grants(state, attempt) >= self._rules.majority
        ):
            steps.append((f"dispatch({name})", _with_phase(state, attempt, Phase.DISPATCHED)))
        if phase is Phase.WON:
            steps.append((f"abandon({name})", self._abandon(state, attempt)))
        if phase in (Phase.DISPATCHED, Phase.CRASHED_DISPATCHED):
            if not state[2 + attempt]:
                steps.append((f"run({name})", _with_run(state, attempt)))
            elif not self._rules.dispatches_once:
                steps.append((f"resend_run({name})", _with_run(state, attempt)))
        if phase is Phase.DISPATCHED:
            if self._rules.failures:
                crashed = _with_phase(state, attempt, Phase.CRASHED_DISPATCHED)
                steps.append((f"crash({name})", crashed))
            if state[2 + attempt]:
                steps.append((f"answer({name})", _with_phase(state, attempt, Phase.ANSWERED)))
            else:
                unsent = _report_not_run(_with_phase(state, attempt, Phase.UNSENT), attempt)
                steps.append((f"unsent({name})", unsent))
        return steps

    def _give_up(self, state: State, attempt: int) -> State:
        given_up = _with_phase(state, attempt, Phase.GIVEN_UP)
        # A first send that gives up proves that nothing ran. A retry does not: A may have run.
        if attempt == A or not self._rules.retry_needs_proof:
            return _report_not_run(given_up, attempt)
        return given_up

    def _abandon(self, state: State, attempt: int) -> State:
        phase = Phase.ABANDONED if self._rules.abandon_keeps_votes else Phase.GIVEN_UP
        return _report_not_run(_with_phase(state, attempt, phase), attempt)

    def _voter_steps(self, state: State, number: int, voter: Voter) -> Steps:
        steps: Steps = []
        vote, authority, outcome = voter[:3]
        if self._rules.failures and voter != (NO_VOTE, 0, 0, 0, 0, voter[5], voter[6]):
            authority_after = 0 if self._rules.voter_remembers_restart else authority
            restarted: Voter = (NO_VOTE, authority_after, 0, 0, 0, voter[5], voter[6])
            steps.append((f"restart(v{number})", _with_voter(state, number, restarted)))
        for attempt in (A, B):
            name = "AB"[attempt]
            phase = _phase_of(state, attempt)
            if phase is Phase.IDLE:
                continue
            free = vote == NO_VOTE and authority and not voter[3 + attempt]
            overwrite = not self._rules.voter_keeps_first_vote and authority
            if (free or overwrite or vote == attempt) and voter[5 + attempt] == Reply.NONE:
                granted = _with_value(_with_value(voter, 0, attempt), 5 + attempt, Reply.SENT)
                steps.append((f"vote(v{number},{name})", _with_voter(state, number, granted)))
            if vote not in (NO_VOTE, attempt) and outcome and phase is Phase.GATHERING:
                steps.append(
                    (f"replay(v{number},{name})", _with_phase(state, attempt, Phase.REPLAYED))
                )
            if voter[5 + attempt] == Reply.SENT:
                received = _with_voter(
                    state, number, _with_value(voter, 5 + attempt, Reply.RECEIVED)
                )
                won = (
                    phase is Phase.GATHERING
                    and _received_grants(received, attempt) >= self._rules.majority
                )
                after = _with_phase(received, attempt, Phase.WON) if won else received
                steps.append((f"hear(v{number},{name})", after))
            if phase is Phase.GIVEN_UP and not voter[3 + attempt]:
                released = _with_value(voter, 3 + attempt, 1)
                if vote == attempt:
                    released = _with_value(_with_value(released, 0, NO_VOTE), 2, 0)
                steps.append((f"release(v{number},{name})", _with_voter(state, number, released)))
            if phase is Phase.ANSWERED and vote == attempt and not outcome:
                recorded = _with_value(voter, 2, 1)
                steps.append(
                    (f"record_outcome(v{number},{name})", _with_voter(state, number, recorded))
                )
        return steps


def _with_value(voter: Voter, index: int, value: int) -> Voter:
    changed = list(voter)
    changed[index] = int(value)
    return (changed[0], changed[1], changed[2], changed[3], changed[4], changed[5], changed[6])


def _phase_of(state: State, attempt: int) -> Phase:
    return Phase(state[A] if attempt == A else state[B])


def _with_phase(state: State, attempt: int, phase: Phase) -> State:
    phases = [state[A], state[B]]
    phases[attempt] = int(phase)
    return (phases[A], phases[B], state[2], state[3], state[4], state[5])


def _with_run(state: State, attempt: int) -> State:
    ran = [state[2], state[3]]
    ran[attempt] += 1
    return (state[0], state[1], ran[A], ran[B], state[4], state[5])


def _report_not_run(state: State, attempt: int) -> State:
    """Report "not run" to the caller, which ignores attempt A once B has begun."""
    is_awaited = attempt == B or state[B] == Phase.IDLE
    reported = 1 if is_awaited else state[4]
    return (state[0], state[1], state[2], state[3], reported, state[5])


def _with_voter(state: State, number: int, voter: Voter) -> State:
    voters = list(state[5])
    voters[number] = voter
    return (state[0], state[1], state[2], state[3], state[4], tuple(sorted(voters)))


def _received_grants(state: State, attempt: int) -> int:
    return sum(1 for voter in state[5] if voter[5 + attempt] == Reply.RECEIVED)


def claim_protocol(rules: ClaimRules) -> Protocol:
    """Return the protocol for minicheck."""
    return Protocol(
        name="claim",
        candidate=False,
        fields=("phase_a", "phase_b", "ran_a", "ran_b", "told_not_run", "voters"),
        initial=(Phase.GATHERING, Phase.IDLE, 0, 0, 0, (FRESH_VOTER,) * rules.voters),
        transitions=_Model(rules).transitions,
        invariants={
            "runs_at_most_once": lambda state: state["ran_a"] + state["ran_b"] <= 1,
            "not_run_is_true_and_stays_true": lambda state: (
                not state["told_not_run"] or state["ran_a"] + state["ran_b"] == 0
            ),
            "replayed_answer_exists": lambda state: (
                state["phase_b"] != Phase.REPLAYED or state["ran_a"] == 1
            ),
        },
    )


#: Situations that must be reachable, since a protocol that runs nothing satisfies the invariants.
WITNESSES = {
    "first_send_runs": lambda state: state["ran_a"] == 1,
    "retry_runs_after_first_gave_up": lambda state: (
        state["phase_a"] == Phase.GIVEN_UP and state["ran_b"] == 1
    ),
    "retry_wins_after_split_vote": lambda state: (
        state["phase_a"] == Phase.GIVEN_UP
        and state["ran_b"] == 1
        and any(voter[3] and voter[5] == Reply.RECEIVED for voter in state["voters"])
    ),
    "retry_replays_kept_answer": lambda state: state["phase_b"] == Phase.REPLAYED,
    "runs_with_one_voter_restarted": lambda state: (
        state["ran_a"] == 1 and any(not voter[1] and not voter[5] for voter in state["voters"])
    ),
}

MUTANTS = {
    "voter_forgets_that_it_restarted": ClaimRules(voter_remembers_restart=False),
    "one_vote_is_enough": ClaimRules(majority=1, failures=False),
    "voter_changes_its_vote": ClaimRules(voter_keeps_first_vote=False, failures=False),
    "given_up_attempt_dispatches": ClaimRules(given_up_never_dispatches=False, failures=False),
    "abandon_releases_votes": ClaimRules(abandon_keeps_votes=False, failures=False),
    "retry_says_not_run_unproved": ClaimRules(retry_needs_proof=False, failures=False),
    "command_sent_twice": ClaimRules(dispatches_once=False, failures=False),
}
