"""Rules of claim voters: restarts, clock margins, held keys, certification, seals and epochs."""

from __future__ import annotations

import unittest

from winchfork.core.claims import (
    ClaimMargins,
    ClaimVoter,
    SealReply,
    SealRequest,
    Verdict,
    VoteRequest,
    VoterPanel,
    VouchRequest,
    epoch_is_sealed,
    issue_time_of_key,
)
from winchfork.emulator.load import new_command_key

_PANEL = VoterPanel("p0", 1, ("a", "b", "c"))
_MARGINS = ClaimMargins(future_s=0.5, restart_s=1.0, retention_s=600.0)
_START_S = 1_000.0


def _voter(name: str = "a", incarnation: int = 1, *, certified: bool = True) -> ClaimVoter:
    voter = ClaimVoter(name, incarnation, _START_S, _PANEL, _MARGINS)
    if certified:
        voter.on_store_read(_PANEL, change_intended=False)
    return voter


def _verdict(voter: ClaimVoter, stamp_s: float | None, attempt: str = "x") -> Verdict:
    request = VoteRequest("p0", 1, f"key-{stamp_s}", stamp_s, attempt)
    return voter.on_vote_request(request, _START_S + 10.0).verdict


class VoterTest(unittest.TestCase):
    def test_restarted_voter_abstains_on_keys_that_it_may_have_granted_before(self) -> None:
        voter = _voter()
        self.assertIs(_verdict(voter, _START_S + 1.0), Verdict.ABSTAINED)
        self.assertIs(_verdict(voter, _START_S - 5.0), Verdict.ABSTAINED)
        self.assertIs(_verdict(voter, None), Verdict.ABSTAINED)
        self.assertIs(_verdict(voter, _START_S + 1.1), Verdict.GRANTED)

    def test_voter_abstains_on_keys_stamped_ahead_of_its_clock(self) -> None:
        self.assertIs(_verdict(_voter(), _START_S + 10.6), Verdict.ABSTAINED)
        self.assertIs(_verdict(_voter(), _START_S + 10.4), Verdict.GRANTED)

    def test_voter_holds_a_key_for_its_first_attempt(self) -> None:
        voter = _voter()
        self.assertIs(_verdict(voter, _START_S + 5.0, "first"), Verdict.GRANTED)
        self.assertIs(_verdict(voter, _START_S + 5.0, "second"), Verdict.HELD)
        self.assertIs(_verdict(voter, _START_S + 5.0, "first"), Verdict.GRANTED)

    def test_uncertified_voter_neither_votes_nor_vouches(self) -> None:
        voter = _voter(certified=False)
        self.assertIs(_verdict(voter, _START_S + 5.0), Verdict.ABSTAINED)
        self.assertFalse(voter.on_vouch_request(VouchRequest("p0", 1, "b", 2)).vouches)
        voter.on_store_read(_PANEL, change_intended=True)
        self.assertIs(_verdict(voter, _START_S + 5.0), Verdict.ABSTAINED)

    def test_both_other_voters_must_vouch(self) -> None:
        restarted = _voter("a", 2, certified=False)
        for number, name in enumerate(("b", "c")):
            self.assertEqual(restarted.may_vote, False, number)
            restarted.on_vouch_reply(_voter(name).on_vouch_request(VouchRequest("p0", 1, "a", 2)))
        self.assertTrue(restarted.may_vote)

    def test_vouches_for_an_earlier_incarnation_do_not_count(self) -> None:
        restarted = _voter("a", 3, certified=False)
        for name in ("b", "c"):
            restarted.on_vouch_reply(_voter(name).on_vouch_request(VouchRequest("p0", 1, "a", 2)))
        self.assertFalse(restarted.may_vote)

    def test_sealed_voter_stops_voting_and_reports_whom_it_vouched_for(self) -> None:
        voter = _voter("b")
        voter.on_vouch_request(VouchRequest("p0", 1, "a", 2))
        reply = voter.on_seal_request(SealRequest("p0", 1))
        assert reply is not None
        self.assertEqual(dict(reply.seen), {"a": 2})
        self.assertIs(_verdict(voter, _START_S + 5.0), Verdict.ABSTAINED)
        voter.on_store_read(_PANEL, change_intended=False)
        self.assertIs(_verdict(voter, _START_S + 5.0), Verdict.ABSTAINED)

    def test_seal_of_an_earlier_incarnation_does_not_count(self) -> None:
        old = SealReply("p0", 1, "a", 1, True, {})
        saw_restart = SealReply("p0", 1, "b", 1, True, {"a": 2})
        unaware = SealReply("p0", 1, "b", 1, True, {})
        uncertified = SealReply("p0", 1, "b", 2, False, {})
        self.assertTrue(epoch_is_sealed(_PANEL, {"a": old, "b": unaware}))
        self.assertFalse(epoch_is_sealed(_PANEL, {"a": old, "b": saw_restart}))
        self.assertFalse(epoch_is_sealed(_PANEL, {"a": old, "b": uncertified}))

    def test_new_epoch_has_authority_only_after_its_activation(self) -> None:
        voter = _voter()
        _verdict(voter, _START_S + 5.0)
        successor = VoterPanel("p0", 2, ("a", "b", "d"), _START_S + 8.0)
        voter.on_store_read(successor, change_intended=False)
        for stamp_s, expected in ((8.9, Verdict.ABSTAINED), (9.1, Verdict.GRANTED)):
            request = VoteRequest("p0", 2, f"k{stamp_s}", _START_S + stamp_s, "x")
            self.assertIs(voter.on_vote_request(request, _START_S + 10.0).verdict, expected)

    def test_issue_time_is_read_from_uuid7_keys_only(self) -> None:
        self.assertIsNotNone(issue_time_of_key(new_command_key()))
        self.assertIsNone(issue_time_of_key("2f1b0c6e-7a55-4c1e-9d59-1f6a3c1f9f10"))
        self.assertIsNone(issue_time_of_key("stop-turbine-9"))


if __name__ == "__main__":
    unittest.main()
