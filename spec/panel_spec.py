"""Specification of a panel change: two epochs never both decide the same key.

The old epoch has three voters, which lose their state in a restart. The new epoch decides only keys
stamped after its activation, and no old voter can have granted such a key before (``clock_spec``).
It therefore suffices to check that no majority of old voters grants a key after the activation. The
model gives old voters authority for such a key, so that only a seal prevents their votes.

A voter's state: its incarnation; whether it is certified, sealed, has ever granted a vote, and has
a store read pending; the incarnations that it has seen of the others; the vouchers of its current
incarnation; the vouch replies in flight.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

VOTERS = 3
MAJORITY = 2
VOUCHES_NEEDED = 2

#: (incarnation, certified, sealed, granted, read pending, seen, vouchers, vouches in flight)
Voter = tuple[int, int, int, int, int, tuple[int, ...], int, tuple[int, ...]]
#: (incarnation, certified, seen)
Seal = tuple[int, int, tuple[int, ...]]
#: (voters, intent, seals, activated, restarts, store up)
State = tuple[tuple[Voter, ...], int, tuple[Seal | None, ...], int, int, int]
Steps = list[tuple[str, State]]

_NO_SEEN = (0, 0, 0)
_NO_VOUCH = (-1, -1, -1)
FIRST_VOTER: Voter = (0, 1, 0, 0, 0, _NO_SEEN, 0, _NO_VOUCH)


@dataclasses.dataclass(frozen=True)
class PanelRules:
    """The protocol's rules; each mutant violates one."""

    max_restarts: int = 2
    restart_needs_certificate: bool = True
    seals_before_activation: bool = True
    writes_intent_first: bool = True
    seal_reports_seen: bool = True
    uncertified_seal_counts_less: bool = True
    vouch_needs_all: bool = True
    sealed_voter_stops: bool = True
    store_up: bool = True
    starts_restarted: int = 0


class _Model:
    def __init__(self, rules: PanelRules) -> None:
        self._rules = rules

    def transitions(self, state: State) -> Steps:
        _, intent, _, activated, _, store_up = state
        steps: Steps = []
        if store_up and not intent:
            steps.append(("write_intent", _with_field(state, 1, 1)))
        can_seal = intent or not self._rules.writes_intent_first
        for number in range(VOTERS):
            steps += self._voter_steps(state, number, bool(can_seal))
        for subject in range(VOTERS):
            for voucher in range(VOTERS):
                if voucher != subject:
                    steps += self._vouch_steps(state, subject, voucher)
        if store_up and intent and not activated and self._is_sealed(state):
            steps.append(("activate", _with_field(state, 3, 1)))
        return [(label, after) for label, after in steps if after != state]

    def _voter_steps(self, state: State, number: int, can_seal: bool) -> Steps:
        voter = state[0][number]
        incarnation, certified, sealed, granted, read_pending, seen, vouchers, in_flight = voter
        steps: Steps = []
        if state[4] < self._rules.max_restarts:
            certified_after = 0 if self._rules.restart_needs_certificate else 1
            fresh: Voter = (incarnation + 1, certified_after, 0, granted, 0, _NO_SEEN, 0, _NO_VOUCH)
            restarted = _with_field(_with_voter(state, number, fresh), 4, state[4] + 1)
            steps.append((f"restart(v{number})", restarted))
        stopped = sealed and self._rules.sealed_voter_stops
        if state[3] and certified and not stopped:
            granting: Voter = (
                incarnation, certified, sealed, 1, read_pending, seen, vouchers, in_flight,
            )  # fmt: skip
            steps.append((f"vote(v{number})", _with_voter(state, number, granting)))
        if can_seal and not state[3]:
            sealing: Voter = (
                incarnation, certified, 1, granted, read_pending, seen, vouchers, in_flight,
            )  # fmt: skip
            reported = seen if self._rules.seal_reports_seen else _NO_SEEN
            replies = list(state[2])
            replies[number] = (incarnation, certified, reported)
            sealed_state = _with_voter(state, number, sealing)
            steps.append((f"seal(v{number})", _with_field(sealed_state, 2, tuple(replies))))
            steps.append((f"seal_reply_lost(v{number})", sealed_state))
        if not certified and not sealed:
            if state[5] and not state[1] and not read_pending:
                asking: Voter = (
                    incarnation, certified, sealed, granted, 1, seen, vouchers, in_flight,
                )  # fmt: skip
                steps.append((f"read_store(v{number})", _with_voter(state, number, asking)))
            if read_pending:
                read: Voter = (incarnation, 1, sealed, granted, 0, seen, vouchers, in_flight)
                steps.append((f"hear_store(v{number})", _with_voter(state, number, read)))
        return steps

    def _vouch_steps(self, state: State, subject: int, voucher: int) -> Steps:
        asking, other = state[0][subject], state[0][voucher]
        steps: Steps = []
        if not asking[1] and not asking[2] and asking[7][voucher] < 0:
            if not other[1] or other[2]:
                return steps
            seen = _with_value(other[5], voucher_index(subject), asking[0])
            vouching: Voter = (*other[:5], seen, other[6], other[7])
            in_flight = _with_value(asking[7], voucher, other[0])
            waiting: Voter = (*asking[:7], in_flight)
            after = _with_voter(_with_voter(state, voucher, vouching), subject, waiting)
            steps.append((f"vouch(v{voucher} for v{subject})", after))
        if asking[7][voucher] >= 0 and not asking[6] & (1 << voucher):
            needed = VOUCHES_NEEDED if self._rules.vouch_needs_all else 1
            seen = _with_value(asking[5], voucher, max(asking[5][voucher], asking[7][voucher]))
            vouchers = asking[6] | (1 << voucher)
            certified = int(asking[1] or (vouchers.bit_count() >= needed and not asking[2]))
            received: Voter = (
                asking[0], certified, asking[2], asking[3], asking[4], seen, vouchers, asking[7],
            )  # fmt: skip
            steps.append(
                (f"hear_vouch(v{subject} of v{voucher})", _with_voter(state, subject, received))
            )
        return steps

    def _is_sealed(self, state: State) -> bool:
        """Return whether the old epoch is sealed; mirrors ``core.claims.epoch_is_sealed``."""
        if not self._rules.seals_before_activation:
            return True
        replies = state[2]
        counted = [
            reply
            for number, reply in enumerate(replies)
            if reply is not None
            and all(reply[0] >= other[2][number] for other in replies if other is not None)
        ]
        majority_replies = [
            reply for reply in counted if reply[1] or not self._rules.uncertified_seal_counts_less
        ]
        return len(majority_replies) >= MAJORITY or len(counted) == VOTERS


def voucher_index(subject: int) -> int:
    """Return the index of a voter in the others' ``seen``."""
    return subject


def _with_value(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_field(state: State, index: int, value: object) -> State:
    changed = list(state)
    changed[index] = value
    return tuple(changed)  # type: ignore[return-value]


def _with_voter(state: State, number: int, voter: Voter) -> State:
    voters = list(state[0])
    voters[number] = voter
    return _with_field(state, 0, tuple(voters))


def panel_protocol(rules: PanelRules) -> Protocol:
    """Return the protocol for minicheck."""
    restarted: Voter = (1, 0, 0, 0, 0, _NO_SEEN, 0, _NO_VOUCH)
    voters = tuple(
        restarted if number < rules.starts_restarted else FIRST_VOTER for number in range(VOTERS)
    )
    return Protocol(
        name="panel",
        candidate=False,
        fields=(
            "voters",
            "intent",
            "seals",
            "activated",
            "restarts",
            "store_up",
        ),  # fmt: skip
        initial=(voters, 0, (None,) * VOTERS, 0, 0, int(rules.store_up)),
        transitions=_Model(rules).transitions,
        invariants={
            "old_epoch_decides_nothing_after_activation": lambda state: (
                not (state["activated"] and sum(voter[3] for voter in state["voters"]) >= MAJORITY)
            )
        },
    )


def voters_able_to_vote(state: dict[str, object]) -> int:
    """Return how many voters of the old epoch are certified and not sealed."""
    voters = state["voters"]
    assert isinstance(voters, tuple)
    return sum(1 for voter in voters if voter[1] and not voter[2])


MUTANTS = {
    "restarted_voter_votes_at_once": PanelRules(1, restart_needs_certificate=False),
    "new_epoch_without_seals": PanelRules(1, seals_before_activation=False),
    "seals_asked_before_the_intent": PanelRules(1, writes_intent_first=False),
    "seal_does_not_report_seen": PanelRules(1, seal_reports_seen=False),
    "uncertified_seals_are_a_majority": PanelRules(2, uncertified_seal_counts_less=False),
    "one_vouch_is_enough": PanelRules(1, vouch_needs_all=False),
    "sealed_voter_goes_on_voting": PanelRules(1, sealed_voter_stops=False),
}
