"""Checks the claim specification, its mutants, and that the code conforms to it."""

from __future__ import annotations

import random
import unittest

from spec import claim_spec
from spec.check import run_checks
from spec.claim_spec import FRESH_VOTER, A, Phase, claim_protocol
from winchfork.core.claims import (
    Claim,
    ClaimPhase,
    ClaimVoter,
    OutcomeRecord,
    Verdict,
    VoteRelease,
    VoteReply,
    VoterPanel,
)

_STAMP_S = 1_000.0
_NOW_S = 1_000.1
_PANEL = VoterPanel("p0", 1, ("v0", "v1", "v2"))


class SpecificationTest(unittest.TestCase):
    def test_all_specification_checks_pass(self) -> None:
        results = run_checks(deep=False)
        self.assertEqual([result.name for result in results if not result.passed], [])
        self.assertGreaterEqual(sum("mutant" in result.name for result in results), 6)
        proofs = [
            result
            for result in results
            if result.name.startswith(("clock:", "claim:", "relay:", "suspension:"))
        ]
        self.assertTrue(all(result.exhaustive for result in proofs))


class _CodeWalk:
    """Drives the code's voters and claims by the specification's action labels.

    The specification keeps voters sorted and the walk does not: it applies each action to a voter
    of the code whose abstract state equals that of the specification's voter.
    """

    def __init__(self) -> None:
        self.voters = [self._voter(f"v{number}", 1, 0.0) for number in range(3)]
        self.claims: list[Claim | None] = [self._claim("A"), None]
        self.replies: dict[tuple[int, int], VoteReply] = {}
        self.received: set[tuple[int, int]] = set()
        self.released: set[tuple[int, int]] = set()
        self.authority = [1, 1, 1]
        self.outcomes: set[int] = set()

    @staticmethod
    def _voter(name: str, incarnation: int, started_s: float) -> ClaimVoter:
        voter = ClaimVoter(name, incarnation, started_s, _PANEL)
        voter.on_store_read(_PANEL, change_intended=False)
        return voter

    @staticmethod
    def _claim(attempt: str) -> Claim:
        return Claim(_PANEL, "key", _STAMP_S, attempt)

    def abstract_voter(self, number: int) -> claim_spec.Voter:
        vote = self.voters[number]._votes.get("key")
        reply = [
            0 if (number, i) not in self.replies else 2 if (number, i) in self.received else 1
            for i in (0, 1)
        ]
        released = [int((number, i) in self.released) for i in (0, 1)]
        return (
            claim_spec.NO_VOTE if vote is None else "AB".index(vote.attempt),
            self.authority[number],
            int(vote is not None and vote.outcome is not None),
            released[0],
            released[1],
            reply[0],
            reply[1],
        )

    def abstract(self) -> tuple[claim_spec.Voter, ...]:
        return tuple(sorted(self.abstract_voter(number) for number in range(3)))

    def act(self, label: str, state: claim_spec.State) -> None:
        action, _, rest = label.rstrip(")").partition("(")
        names = rest.split(",")
        if action == "send_again":
            self.claims[1] = self._claim("B")
        elif names[0].startswith("v"):
            number = self._find_voter(state[5][int(names[0][1:])])
            attempt = "AB".index(names[1]) if len(names) > 1 else A
            getattr(self, f"_{action}")(number, attempt)
        else:
            getattr(self, f"_{action}", lambda attempt: None)("AB".index(names[0]))

    def _find_voter(self, voter: claim_spec.Voter) -> int:
        return next(number for number in range(3) if self.abstract_voter(number) == voter)

    def claim(self, attempt: int) -> Claim:
        found = self.claims[attempt]
        assert found is not None
        return found

    def _vote(self, number: int, attempt: int) -> None:
        reply = self.voters[number].on_vote_request(self.claim(attempt).request, _NOW_S)
        assert reply.verdict is Verdict.GRANTED, reply
        self.replies[number, attempt] = reply

    def _hear(self, number: int, attempt: int) -> None:
        self.claim(attempt).on_vote_reply(self.replies[number, attempt])
        self.received.add((number, attempt))

    def _replay(self, number: int, attempt: int) -> None:
        reply = self.voters[number].on_vote_request(self.claim(attempt).request, _NOW_S)
        assert reply.verdict is Verdict.HELD and reply.outcome is not None, reply
        self.claim(attempt).on_vote_reply(reply)
        assert self.claim(attempt).recorded_outcome == b"answer"

    def _release(self, number: int, attempt: int) -> None:
        self.voters[number].on_release(VoteRelease("p0", "key", "AB"[attempt]))
        self.released.add((number, attempt))

    def _record_outcome(self, number: int, attempt: int) -> None:
        record = OutcomeRecord("p0", "key", "AB"[attempt], b"answer")
        self.voters[number].on_outcome(record)

    def _restart(self, number: int, _attempt: int) -> None:
        self.voters[number] = self._voter(f"v{number}", 2, _NOW_S)
        self.authority[number] = 0
        self.released -= {(number, 0), (number, 1)}

    def _give_up(self, attempt: int) -> None:
        self.claim(attempt).give_up(first_send=attempt == A)

    def _abandon(self, attempt: int) -> None:
        assert self.claim(attempt).abandon()

    def _dispatch(self, attempt: int) -> None:
        assert self.claim(attempt).dispatch()


_CODE_PHASE = {
    Phase.GATHERING: ClaimPhase.GATHERING,
    Phase.WON: ClaimPhase.WON,
    Phase.GIVEN_UP: ClaimPhase.GIVEN_UP,
    Phase.ABANDONED: ClaimPhase.GIVEN_UP,
    Phase.DISPATCHED: ClaimPhase.DISPATCHED,
    Phase.ANSWERED: ClaimPhase.DISPATCHED,
}


class ConformanceTest(unittest.TestCase):
    WALKS = 400

    def test_code_and_specification_agree_over_random_walks(self) -> None:
        protocol = claim_protocol(claim_spec.ClaimRules())
        steps_taken = 0
        for seed in range(self.WALKS):
            generator = random.Random(seed)
            walk = _CodeWalk()
            state = protocol.initial
            self.assertEqual(walk.abstract(), (FRESH_VOTER,) * 3)
            while steps := protocol.transitions(state):
                label, after = generator.choice(steps)
                walk.act(label, state)
                self.assertEqual(walk.abstract(), after[5], (seed, label))
                self._compare_phases(walk, after, label)
                state = after
                steps_taken += 1
                if steps_taken % 60 == 0:
                    break
        self.assertGreater(steps_taken, 4_000)

    def _compare_phases(self, walk: _CodeWalk, state: claim_spec.State, label: str) -> None:
        for attempt, phase in enumerate(state[:2]):
            expected = _CODE_PHASE.get(Phase(phase))
            claim = walk.claims[attempt]
            if expected is not None and claim is not None:
                self.assertIs(claim.phase, expected, label)

    def test_claim_dispatches_once_and_never_after_giving_up(self) -> None:
        walk = _CodeWalk()
        claim = walk.claim(A)
        for number in (0, 1):
            walk._vote(number, A)
            walk._hear(number, A)
        self.assertEqual(
            [claim.dispatch(), claim.dispatch(), claim.abandon()], [True, False, False]
        )
        other = walk._claim("C")
        other.give_up(first_send=False)
        self.assertFalse(other.dispatch())


if __name__ == "__main__":
    unittest.main()
