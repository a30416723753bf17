"""Obtains the claim to run a non-repeatable request, by a majority of the voters of its panel."""

from __future__ import annotations

import dataclasses
import itertools
import threading

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.node import PeerNode
from winchfork.constants import CLAIM_RESEND_PERIOD_S
from winchfork.core.claims import (
    Claim,
    ClaimPhase,
    OutcomeRecord,
    VoteReply,
    issue_time_of_key,
    panel_of_key,
)
from winchfork.errors import Failure, FailureKind, RunState

#: Copies of an outcome or a release sent to each voter, against loss; voters ignore duplicates.
_SENDS_PER_VOTER = 2


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """A tenant's idempotency key, and whether the caller states that this is its first send."""

    tenant: str
    idempotency_key: str
    first_send: bool
    timeout_s: float

    @property
    def key(self) -> str:
        """The key prefixed with its tenant, so that the keys of two tenants never collide."""
        return f"{len(self.tenant)}:{self.tenant}|{self.idempotency_key}"


@dataclasses.dataclass(frozen=True)
class RecordedOutcome:
    """The encoded answer or refusal that the voters recorded for an earlier attempt of the key."""

    outcome: bytes


class WonClaim:
    """A won claim, which can be dispatched once or abandoned."""

    def __init__(self, client: ClaimClient, claim: Claim) -> None:
        self._client = client
        self._claim = claim

    def dispatch(self) -> bool:
        """Use the claim; return True the first time only, and never after :meth:`abandon`."""
        return self._claim.dispatch()

    def finish(self, outcome: bytes) -> None:
        """Send the answer to the voters, which record it for later retries of the key."""
        self._client.record_outcome(self._claim, outcome)

    def abandon(self, refusal: bytes) -> None:
        """Give the claim up undispatched; the voters record ``refusal`` as the key's answer."""
        if self._claim.abandon():
            self._client.record_outcome(self._claim, refusal)


class ClaimClient:
    """Claims keys for the callers of this daemon. Thread-safe."""

    def __init__(self, node: PeerNode) -> None:
        self._node = node
        self._counter = itertools.count(1)

    def obtain(self, request: ClaimRequest) -> WonClaim | RecordedOutcome | Failure:
        """Request votes until the claim is won, a recorded outcome is found, or the time is up."""
        state = self._node.state
        with state.lock:
            panel_id = panel_of_key(request.key, sorted(state.panels))
            panel = state.panels[panel_id] if panel_id is not None else None
            own = state.membership.own
        if panel is None:
            return FailureKind.CLAIM_NO_MAJORITY.because(
                "no voter panel is known yet",
                remedy="retry after the given time",
                ran=RunState.NOT_RUN if request.first_send else RunState.UNKNOWN,
                retry_after_s=2.0,
            )
        attempt = f"{own.member_id}.{own.incarnation}.{next(self._counter)}"
        claim = Claim(panel, request.key, issue_time_of_key(request.idempotency_key), attempt)
        changed = threading.Condition()

        def on_reply(reply: VoteReply) -> None:
            with changed:
                claim.on_vote_reply(reply)
                changed.notify_all()

        self._node.add_vote_listener(attempt, on_reply)
        try:
            self._gather_votes(claim, changed, request.timeout_s)
        finally:
            self._node.remove_vote_listener(attempt)
        with changed:
            if claim.phase is ClaimPhase.WON:
                return WonClaim(self, claim)
            recorded = claim.recorded_outcome
            failure = self._release(claim, request.first_send)
        return RecordedOutcome(recorded) if recorded is not None else failure

    def record_outcome(self, claim: Claim, outcome: bytes) -> None:
        """Send the answer of a dispatched attempt, or an abandoned one's refusal, to the voters."""
        record = OutcomeRecord(
            claim.request.panel_id, claim.request.key, claim.request.attempt, outcome
        )
        for _ in range(_SENDS_PER_VOTER):
            for voter in claim.voters:
                self._node.send_to(voter, record)

    def _release(self, claim: Claim, first_send: bool) -> Failure:
        failure, release = claim.give_up(first_send=first_send)
        for _ in range(_SENDS_PER_VOTER):
            for voter in claim.voters:
                self._node.send_to(voter, release)
        return failure

    def _gather_votes(self, claim: Claim, changed: threading.Condition, timeout_s: float) -> None:
        deadline_s = boot_seconds() + timeout_s
        while True:
            for voter in claim.voters_without_grant():
                self._node.send_to(voter, claim.request)
            remaining_s = deadline_s - boot_seconds()
            with changed:
                decided = changed.wait_for(
                    lambda: claim.is_decided, min(CLAIM_RESEND_PERIOD_S, max(0.0, remaining_s))
                )
            if decided or remaining_s <= 0:
                return
