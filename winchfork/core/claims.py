"""Claims: at-most-once execution of requests that must not be repeated.

Before an ingress dispatches such a request, it needs votes from a majority of the key's voter
panel: three daemons, one per zone. Each panel has its own epoch, so replacing a daemon affects only
its panels. A voter holds its votes in memory only, and votes for one attempt per key. The action
names are those of the checked specifications ``spec/claim_spec.py`` and ``spec/panel_spec.py``.

Safety of a restart: keys carry their issue time. A voter grants a key only if its stamp is at most
the voter's clock plus ``future_s``. Every vote of an earlier incarnation is therefore for a stamp
of at most S + ``future_s`` (plus the clock difference between a machine and its replacement), where
S is the start of the new incarnation. The new incarnation has authority only for stamps above
S + ``restart_s``, which covers both, and abstains from the rest (``spec/clock_spec.py``).

Safety of a panel change: the next epoch takes effect only after the old one is sealed, and its
voters have authority only for stamps above the activation time plus ``restart_s``. A restarted
voter may have sealed the epoch and lost that state. It is certified to vote, to vouch and to seal
with full weight only (a) by a read of the store, made after its start, that shows the epoch and no
intent to change it (the intent is written before seals are requested), or (b) by vouches of other
certified voters, so many that any majority of seals contains one of theirs. A seal reports the
incarnations that its voter has seen, and a seal of an earlier incarnation does not count. An epoch
is sealed by a majority of certified seals, or by seals of all voters.
"""

from __future__ import annotations

import dataclasses
import enum
import uuid
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from winchfork.constants import (
    CLAIM_FUTURE_MARGIN_S,
    CLAIM_RESTART_MARGIN_S,
    CLAIM_RETENTION_S,
)
from winchfork.core.peer_message import PeerMessage
from winchfork.core.rendezvous import rendezvous_owner
from winchfork.errors import Failure, FailureKind, RunState

#: Votes held by one voter; beyond this the oldest is dropped, and the voter abstains on its key.
MAX_VOTES = 50_000


class Verdict(enum.Enum):
    """A voter's answer to a vote request."""

    GRANTED = "granted"
    HELD = "held"
    ABSTAINED = "abstained"


@dataclasses.dataclass(frozen=True)
class ClaimMargins:
    """Clock margins in seconds; ``restart_s`` must exceed ``future_s`` plus the clock skew.

    Keys older than ``retention_s`` receive no votes.
    """

    future_s: float = CLAIM_FUTURE_MARGIN_S
    restart_s: float = CLAIM_RESTART_MARGIN_S
    retention_s: float = CLAIM_RETENTION_S


@dataclasses.dataclass(frozen=True)
class VoterPanel:
    """One epoch of a panel: its voters and the time at which it was activated."""

    panel_id: str
    epoch: int
    voters: tuple[str, ...]
    activated_at_s: float = 0.0

    @property
    def majority(self) -> int:
        """Number of votes, or of certified seals, that decides."""
        return len(self.voters) // 2 + 1

    @property
    def vouches_needed(self) -> int:
        """Number of vouches with which every majority of seals contains a voucher's."""
        return len(self.voters) - self.majority + 1


def panel_of_key(key: str, panel_ids: Iterable[str]) -> str | None:
    """Return the panel that votes on ``key``; panel ids are fixed and equal on every daemon."""
    return rendezvous_owner(key, panel_ids)


class VoteRequest(PeerMessage, frozen=True):
    """Asks a voter to vote for an attempt. ``stamp_s`` is the key's issue time, or None."""

    panel_id: str
    epoch: int
    key: str
    stamp_s: float | None
    attempt: str


class VoteReply(PeerMessage, frozen=True):
    """A voter's answer; ``outcome`` is the recorded answer of the attempt that holds the key."""

    panel_id: str
    epoch: int
    key: str
    attempt: str
    voter: str
    verdict: Verdict
    outcome: bytes | None = None


class VoteRelease(PeerMessage, frozen=True):
    """Reports that the ingress gave the attempt up before dispatch and will never dispatch it."""

    panel_id: str
    key: str
    attempt: str


class OutcomeRecord(PeerMessage, frozen=True):
    """The answer of a dispatched attempt, stored with the vote for later retries of the key."""

    panel_id: str
    key: str
    attempt: str
    outcome: bytes


class SealRequest(PeerMessage, frozen=True):
    """Asks a voter to stop voting in ``epoch``; sent after the intent is written."""

    panel_id: str
    epoch: int


class SealReply(PeerMessage, frozen=True):
    """Confirms a seal. ``seen`` maps other voters to the newest incarnations seen by the voter."""

    panel_id: str
    epoch: int
    voter: str
    incarnation: int
    certified: bool
    seen: Mapping[str, int]


class VouchRequest(PeerMessage, frozen=True):
    """Asks another voter of the panel to vouch for a restarted voter."""

    panel_id: str
    epoch: int
    voter: str
    incarnation: int


class VouchReply(PeerMessage, frozen=True):
    """Answers a :class:`VouchRequest`.

    ``vouches`` is False if the answering voter is uncertified or sealed, or knows another epoch.
    """

    panel_id: str
    epoch: int
    voter: str
    incarnation: int
    subject_incarnation: int
    vouches: bool


@dataclasses.dataclass
class _Vote:
    attempt: str
    outcome: bytes | None = None


def issue_time_of_key(idempotency_key: str) -> float | None:
    """Return the issue time in seconds carried by a UUIDv7 key, or None for any other key."""
    try:
        parsed = uuid.UUID(idempotency_key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000.0


class ClaimVoter:
    """One daemon's votes in one panel. Not thread-safe; time is the daemon's own clock."""

    def __init__(
        self,
        voter_id: str,
        incarnation: int,
        started_at_s: float,
        panel: VoterPanel,
        margins: ClaimMargins | None = None,
    ) -> None:
        self.voter_id = voter_id
        self.incarnation = incarnation
        self.panel = panel
        self._margins = margins or ClaimMargins()
        self._authority_from_s = max(started_at_s, panel.activated_at_s)
        self._certified = False
        self._sealed = False
        self._votes: OrderedDict[str, _Vote] = OrderedDict()
        self._released: OrderedDict[str, None] = OrderedDict()
        self._vouchers: set[str] = set()
        self._seen: dict[str, int] = {}

    @property
    def may_vote(self) -> bool:
        """Whether this incarnation may vote in the epoch that it knows."""
        return self._certified and not self._sealed

    def install_panel(self, panel: VoterPanel) -> None:
        """Install a newer epoch (action ``activate``), without votes and uncertified."""
        if panel.epoch <= self.panel.epoch:
            return
        self.panel = panel
        self._authority_from_s = max(self._authority_from_s, panel.activated_at_s)
        self._certified = False
        self._sealed = False
        self._votes.clear()
        self._vouchers.clear()
        self._seen.clear()

    def on_store_read(self, panel: VoterPanel, *, change_intended: bool) -> None:
        """Handle a store read made by this incarnation (action ``read_store``)."""
        self.install_panel(panel)
        if panel.epoch == self.panel.epoch and not change_intended and not self._sealed:
            self._certified = True

    def on_vote_request(self, request: VoteRequest, now_s: float) -> VoteReply:
        """Answer a vote request (action ``vote``)."""
        vote = self._votes.get(request.key)
        if request.epoch != self.panel.epoch or not self.may_vote:
            return self._reply(request, Verdict.ABSTAINED, vote)
        if vote is not None:
            held = vote.attempt != request.attempt
            return self._reply(request, Verdict.HELD if held else Verdict.GRANTED, vote)
        if request.attempt in self._released or not self._has_authority(request.stamp_s, now_s):
            return self._reply(request, Verdict.ABSTAINED, None)
        self._votes[request.key] = _Vote(request.attempt)
        self._evict_oldest_vote(now_s)
        return self._reply(request, Verdict.GRANTED, None)

    def on_release(self, release: VoteRelease) -> None:
        """Free the vote of an attempt that will never be dispatched (action ``release``)."""
        self._released[release.attempt] = None
        while len(self._released) > MAX_VOTES:
            self._released.popitem(last=False)
        vote = self._votes.get(release.key)
        if vote is not None and vote.attempt == release.attempt and vote.outcome is None:
            del self._votes[release.key]

    def on_outcome(self, record: OutcomeRecord) -> None:
        """Store the answer of the attempt that holds the key (action ``record_outcome``)."""
        vote = self._votes.get(record.key)
        if vote is not None and vote.attempt == record.attempt:
            vote.outcome = record.outcome

    def on_seal_request(self, request: SealRequest) -> SealReply | None:
        """Stop voting in the epoch (action ``seal``); None if this voter knows another epoch."""
        if request.epoch != self.panel.epoch:
            return None
        self._sealed = True
        return SealReply(
            self.panel.panel_id,
            self.panel.epoch,
            self.voter_id,
            self.incarnation,
            self._certified,
            dict(self._seen),
        )

    def on_vouch_request(self, request: VouchRequest) -> VouchReply:
        """Vouch for a restarted voter (action ``vouch``) if this voter may vote itself."""
        vouches = request.epoch == self.panel.epoch and self.may_vote
        if vouches:
            self._record_seen(request.voter, request.incarnation)
        return VouchReply(
            request.panel_id,
            request.epoch,
            self.voter_id,
            self.incarnation,
            request.incarnation,
            vouches,
        )

    def on_vouch_reply(self, reply: VouchReply) -> None:
        """Count a vouch (action ``hear_vouch``); ``vouches_needed`` certify this incarnation."""
        current = reply.epoch == self.panel.epoch and reply.subject_incarnation == self.incarnation
        if not current or not reply.vouches or reply.voter not in self.panel.voters:
            return
        self._record_seen(reply.voter, reply.incarnation)
        self._vouchers.add(reply.voter)
        if len(self._vouchers) >= self.panel.vouches_needed and not self._sealed:
            self._certified = True

    def _record_seen(self, voter: str, incarnation: int) -> None:
        self._seen[voter] = max(self._seen.get(voter, 0), incarnation)

    def _has_authority(self, stamp_s: float | None, now_s: float) -> bool:
        if stamp_s is None:
            return now_s > self._authority_from_s + self._margins.retention_s
        if now_s > stamp_s + self._margins.retention_s:
            return False
        from_future = stamp_s > now_s + self._margins.future_s
        return not from_future and stamp_s > self._authority_from_s + self._margins.restart_s

    def _evict_oldest_vote(self, now_s: float) -> None:
        """Drop the oldest vote beyond ``MAX_VOTES``, and the authority over keys up to its stamp.

        If its key has no stamp, the authority over all keys issued up to now is dropped.
        """
        if len(self._votes) <= MAX_VOTES:
            return
        dropped_key, _ = self._votes.popitem(last=False)
        stamp_s = issue_time_of_key(dropped_key.rpartition("|")[2])
        newest_possible = now_s if stamp_s is None else stamp_s
        self._authority_from_s = max(
            self._authority_from_s, newest_possible - self._margins.restart_s
        )

    def _reply(self, request: VoteRequest, verdict: Verdict, vote: _Vote | None) -> VoteReply:
        outcome = vote.outcome if vote is not None else None
        return VoteReply(
            request.panel_id,
            request.epoch,
            request.key,
            request.attempt,
            self.voter_id,
            verdict,
            outcome,
        )


class ClaimPhase(enum.Enum):
    """Phases of an attempt. GIVEN_UP and DISPATCHED are final."""

    GATHERING = "gathering"
    WON = "won"
    GIVEN_UP = "given_up"
    DISPATCHED = "dispatched"


class Claim:
    """The claim of one attempt, held by the ingress. Not thread-safe."""

    def __init__(self, panel: VoterPanel, key: str, stamp_s: float | None, attempt: str) -> None:
        self.request = VoteRequest(panel.panel_id, panel.epoch, key, stamp_s, attempt)
        self.voters = panel.voters
        self.majority = panel.majority
        self.phase = ClaimPhase.GATHERING
        self.recorded_outcome: bytes | None = None
        self._verdicts: dict[str, Verdict] = {}

    def on_vote_reply(self, reply: VoteReply) -> None:
        """Count a reply (action ``hear``); replies to other requests or voters are ignored."""
        request = self.request
        same = (reply.epoch, reply.key, reply.attempt) == (
            request.epoch,
            request.key,
            request.attempt,
        )
        if not same or reply.voter not in self.voters:
            return
        if reply.outcome is not None and reply.verdict is not Verdict.GRANTED:
            self.recorded_outcome = reply.outcome
        if self._verdicts.get(reply.voter) is not Verdict.GRANTED:
            self._verdicts[reply.voter] = reply.verdict
        if self.phase is ClaimPhase.GATHERING and self._granted() >= self.majority:
            self.phase = ClaimPhase.WON

    @property
    def is_decided(self) -> bool:
        """Whether there is no reason to wait for further replies.

        True if the claim is won, if a recorded answer is known, or if so many voters abstain that
        no majority is possible and no voter holds the key for an attempt that may still be
        answered.
        """
        if self.phase is ClaimPhase.WON or self.recorded_outcome is not None:
            return True
        verdicts = list(self._verdicts.values())
        abstained = verdicts.count(Verdict.ABSTAINED)
        return abstained > len(self.voters) - self.majority and Verdict.HELD not in verdicts

    def voters_without_grant(self) -> list[str]:
        """Return the voters that have not granted a vote, to be asked again."""
        return [voter for voter in self.voters if self._verdicts.get(voter) is not Verdict.GRANTED]

    def dispatch(self) -> bool:
        """Use the right to dispatch (action ``dispatch``); True at most once."""
        if self.phase is not ClaimPhase.WON:
            return False
        self.phase = ClaimPhase.DISPATCHED
        return True

    def abandon(self) -> bool:
        """Give up a won claim before dispatch (action ``abandon``); False in any other phase.

        The votes stay with this attempt. If they were released, an earlier attempt that is still
        gathering votes could win and run after the caller received "not run".
        """
        if self.phase is not ClaimPhase.WON:
            return False
        self.phase = ClaimPhase.GIVEN_UP
        return True

    def give_up(self, *, first_send: bool) -> tuple[Failure, VoteRelease]:
        """Give up while gathering votes (action ``give_up``); return the failure and the release.

        The release lets a later attempt win. Other attempts of the key may have run, so the failure
        states "not run" only if the caller declared this its first and only send; otherwise the
        outcome is unknown.
        """
        assert self.phase is ClaimPhase.GATHERING, "only a claim that gathers votes can give up"
        self.phase = ClaimPhase.GIVEN_UP
        release = VoteRelease(self.request.panel_id, self.request.key, self.request.attempt)
        return self._give_up_failure(first_send), release

    def _give_up_failure(self, first_send: bool) -> Failure:
        counts = dict.fromkeys(Verdict, 0)
        for verdict in self._verdicts.values():
            counts[verdict] += 1
        summary = (
            f"{counts[Verdict.GRANTED]} granted, {counts[Verdict.HELD]} held, "
            f"{counts[Verdict.ABSTAINED]} abstained of {len(self.voters)} voters"
        )
        kind = FailureKind.CLAIM_HELD if counts[Verdict.HELD] else FailureKind.CLAIM_NO_MAJORITY
        if first_send:
            return kind.because(
                f"no majority of voters granted the claim ({summary})",
                remedy="resend the command under a new key",
                ran=RunState.NOT_RUN,
                retry_after_s=1.0,
            )
        return kind.because(
            f"another attempt of this key may have run ({summary})",
            remedy="retry with the same key; do not send the command under a new one",
            ran=RunState.UNKNOWN,
            retry_after_s=1.0,
        )

    def _granted(self) -> int:
        return sum(1 for verdict in self._verdicts.values() if verdict is Verdict.GRANTED)


def epoch_is_sealed(panel: VoterPanel, replies: Mapping[str, SealReply]) -> bool:
    """Whether the seals allow the next epoch to take effect (action ``activate``).

    A seal counts only if no other seal reports a higher incarnation of its voter.
    """
    counted = [
        reply
        for voter, reply in replies.items()
        if voter in panel.voters
        and all(reply.incarnation >= other.seen.get(voter, 0) for other in replies.values())
    ]
    certified = sum(1 for reply in counted if reply.certified)
    return certified >= panel.majority or len(counted) == len(panel.voters)
