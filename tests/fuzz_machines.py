"""Rule-based machines: the core under random failures, checked from outside by simple oracles.

Each machine counts its steps and the faults it injected, by kind, in ``COUNTS``.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from winchfork.backends.engine_port import StreamPiece
from winchfork.core.admission import AdmissionLimits, AdmissionOutcome, AdmissionQueue, Ticket
from winchfork.core.cache_index import CacheEvent, CacheIndex, EventKind
from winchfork.core.claims import (
    Claim,
    ClaimMargins,
    ClaimPhase,
    ClaimVoter,
    OutcomeRecord,
    SealReply,
    SealRequest,
    VoteRelease,
    VoteReply,
    VoteRequest,
    VoterPanel,
    VouchReply,
    VouchRequest,
    epoch_is_sealed,
)
from winchfork.core.documents import Document, DocumentName, DocumentSet
from winchfork.core.fleet import ReplicaIdentity
from winchfork.core.prefix import BLOCK_BYTES, CacheScope, prompt_prefix
from winchfork.core.retry_budget import RetryBudget
from winchfork.emulator.engine_model import EngineModel, EngineSettings, Sequence
from winchfork.errors import Failure, RunState
from winchfork.gateway.stream_progress import StreamProgress

COUNTS: Counter[str] = Counter()
_SKEW_S = 0.3
_DAEMONS = ("a", "b", "c")


class _Command:
    """A command, its executions, and the answers that its caller received."""

    def __init__(self, key: str, stamp_s: float) -> None:
        self.key = key
        self.stamp_s = stamp_s
        self.executions = 0
        self.awaited_attempt: _Attempt | None = None
        self.answered_not_run = False
        self.answers: list[bytes] = []


class _Attempt:
    def __init__(self, command: _Command, daemon: str, claim: Claim, first_send: bool) -> None:
        self.command = command
        self.daemon = daemon
        self.claim = claim
        self.first_send = first_send
        self.in_flight = False
        self.executed = False
        self.crashed = False


class ClaimMachine(RuleBasedStateMachine):
    """Commands over three daemons: restarts, lost messages, clock steps, store outages, new panels.

    The oracle uses only the executions of each command and the answers to its caller.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10_000.0
        self.offsets = dict.fromkeys(_DAEMONS, 0.0)
        self.panel = VoterPanel("p0", 1, _DAEMONS, 0.0)
        self.intent = False
        self.store_up = True
        self.seals: dict[str, SealReply] = {}
        self.incarnations = dict.fromkeys(_DAEMONS, 1)
        self.voters = {name: self._voter(name, 0.0) for name in _DAEMONS}
        for voter in self.voters.values():
            voter.on_store_read(self.panel, change_intended=False)
        self.network: list[tuple[str, str, Any]] = []
        self.commands: list[_Command] = []
        self.attempts: dict[str, _Attempt] = {}

    def _voter(self, name: str, started_s: float) -> ClaimVoter:
        margins = ClaimMargins(0.5, 1.0, 600.0)
        return ClaimVoter(name, self.incarnations[name], started_s, self.panel, margins)

    def _clock(self, name: str) -> float:
        return self.now_s + self.offsets[name]

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        self.network.append((sender, receiver, message))

    # --- callers ---

    @rule(daemon=st.sampled_from(_DAEMONS), skew=st.floats(-0.4, 0.4))
    def send_command(self, daemon: str, skew: float) -> None:
        COUNTS["step"] += 1
        command = _Command(f"k{len(self.commands)}", self.now_s + skew)
        self.commands.append(command)
        self._begin(command, daemon, first_send=True)

    @precondition(lambda self: self.commands)
    @rule(data=st.data(), daemon=st.sampled_from(_DAEMONS))
    def retry_command(self, data: st.DataObject, daemon: str) -> None:
        COUNTS["step"] += 1
        command = data.draw(st.sampled_from(self.commands))
        if not command.answered_not_run and not command.answers:
            COUNTS["caller retry"] += 1
            self._begin(command, daemon, first_send=False)

    @rule(daemon=st.sampled_from(_DAEMONS), new=st.booleans(), data=st.data())
    def press_on(self, daemon: str, new: bool, data: st.DataObject) -> None:
        """Send or retry a command, deliver all messages, and dispatch it.

        Without this rule, most runs end before any claim is won.
        """
        COUNTS["step"] += 1
        if new or not self.commands:
            command = _Command(f"k{len(self.commands)}", self.now_s)
            self.commands.append(command)
            self._begin(command, daemon, first_send=True)
        else:
            command = data.draw(st.sampled_from(self.commands))
            if command.answered_not_run or command.answers:
                return
            COUNTS["caller retry"] += 1
            self._begin(command, daemon, first_send=False)
        attempt = command.awaited_attempt
        assert attempt is not None
        self.deliver_all()
        if not attempt.crashed and attempt.claim.dispatch():
            attempt.in_flight = True

    def _begin(self, command: _Command, daemon: str, *, first_send: bool) -> None:
        name = f"{daemon}.{self.incarnations[daemon]}.{len(self.attempts)}"
        claim = Claim(self.voters[daemon].panel, command.key, command.stamp_s, name)
        attempt = _Attempt(command, daemon, claim, first_send)
        self.attempts[name] = attempt
        command.awaited_attempt = attempt
        for voter in claim.voters:
            self._send(daemon, voter, claim.request)

    def _live(self) -> list[_Attempt]:
        return [attempt for attempt in self.attempts.values() if not attempt.crashed]

    @precondition(lambda self: self._live())
    @rule(data=st.data(), choice=st.sampled_from(("dispatch", "give_up", "abandon", "again")))
    def drive_attempt(self, data: st.DataObject, choice: str) -> None:
        COUNTS["step"] += 1
        attempt = data.draw(st.sampled_from(self._live()))
        claim = attempt.claim
        if choice == "again":
            for voter in claim.voters_without_grant():
                self._send(attempt.daemon, voter, claim.request)
        elif choice == "dispatch" and claim.dispatch():
            attempt.in_flight = True
        elif choice == "abandon" and claim.abandon():
            self._answer_caller(attempt, None, RunState.NOT_RUN)
            self._record(attempt, b"refused")
        elif choice == "give_up" and claim.phase is ClaimPhase.GATHERING:
            if claim.recorded_outcome is not None:
                self._answer_caller(attempt, claim.recorded_outcome, None)
            failure, release = claim.give_up(first_send=attempt.first_send)
            for voter in claim.voters:
                self._send(attempt.daemon, voter, release)
            if claim.recorded_outcome is None:
                self._answer_caller(attempt, None, failure.ran)

    def _answer_caller(
        self, attempt: _Attempt, outcome: bytes | None, ran: RunState | None
    ) -> None:
        command = attempt.command
        if command.awaited_attempt is not attempt:
            return
        if outcome == b"refused" or ran is RunState.NOT_RUN:
            command.answered_not_run = True
        elif outcome is not None:
            command.answers.append(outcome)

    def _record(self, attempt: _Attempt, outcome: bytes) -> None:
        request = attempt.claim.request
        record = OutcomeRecord(request.panel_id, request.key, request.attempt, outcome)
        for voter in attempt.claim.voters:
            self._send(attempt.daemon, voter, record)

    @precondition(lambda self: any(item.in_flight for item in self.attempts.values()))
    @rule(data=st.data(), fate=st.sampled_from(("answered", "answer lost", "never arrives")))
    def engine_takes(self, data: st.DataObject, fate: str) -> None:
        """Execute a dispatched command, even if its sender has crashed since."""
        COUNTS["step"] += 1
        in_flight = [item for item in self.attempts.values() if item.in_flight]
        attempt = data.draw(st.sampled_from(in_flight))
        attempt.in_flight = False
        if fate == "never arrives":
            COUNTS["dispatch lost"] += 1
            return
        attempt.executed = True
        COUNTS["command executed"] += 1
        attempt.command.executions += 1
        if fate == "answer lost" or attempt.crashed:
            COUNTS["answer lost"] += 1
            return
        outcome = f"ran {attempt.command.key}".encode()
        self._answer_caller(attempt, outcome, None)
        self._record(attempt, outcome)

    # --- network, clocks, restarts ---

    @precondition(lambda self: self.network)
    @rule(data=st.data(), fate=st.sampled_from(("deliver", "deliver", "deliver", "drop", "double")))
    def message(self, data: st.DataObject, fate: str) -> None:
        COUNTS["step"] += 1
        index = data.draw(st.integers(0, len(self.network) - 1))
        sender, receiver, message = self.network[index]
        if fate == "double":
            COUNTS["message doubled"] += 1
        else:
            del self.network[index]
        if index:
            COUNTS["message reordered"] += 1
        if fate == "drop":
            COUNTS["message lost"] += 1
            return
        self._deliver(sender, receiver, message)

    @rule()
    def deliver_all(self) -> None:
        COUNTS["step"] += 1
        for _ in range(200):
            if not self.network:
                return
            sender, receiver, message = self.network.pop(0)
            self._deliver(sender, receiver, message)

    def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        voter = self.voters.get(receiver)
        if isinstance(message, VoteReply):
            attempt = self.attempts.get(message.attempt)
            if attempt is not None and not attempt.crashed:
                attempt.claim.on_vote_reply(message)
        elif isinstance(message, SealReply):
            known = self.seals.get(message.voter)
            if known is None or message.incarnation >= known.incarnation:
                self.seals[message.voter] = message
        elif voter is not None:
            reply = _handle(voter, message, self._clock(receiver))
            if reply is not None:
                self._send(receiver, sender, reply)

    @rule(seconds=st.floats(0.01, 3.0))
    def pass_time(self, seconds: float) -> None:
        COUNTS["step"] += 1
        self.now_s += seconds

    @rule(
        daemon=st.sampled_from(_DAEMONS),
        offset=st.floats(-_SKEW_S / 2, _SKEW_S / 2),
        rare=st.integers(0, 2),
    )
    def restart(self, daemon: str, offset: float, rare: int) -> None:
        COUNTS["step"] += 1
        if rare:
            return
        COUNTS["daemon restart"] += 1
        self.incarnations[daemon] += 1
        self.offsets[daemon] = offset
        self.voters[daemon] = self._voter(daemon, self._clock(daemon))
        for attempt in self.attempts.values():
            if attempt.daemon == daemon:
                attempt.crashed = True

    @rule(rare=st.integers(0, 9))
    def herd_restart(self, rare: int) -> None:
        COUNTS["step"] += 1
        if rare:
            return
        COUNTS["herd restart"] += 1
        for daemon in _DAEMONS:
            self.restart(daemon, 0.0, 0)

    # --- store and panel ---

    @rule()
    def toggle_store(self) -> None:
        COUNTS["step"] += 1
        COUNTS["store outage"] += self.store_up
        self.store_up = not self.store_up

    @rule(daemon=st.sampled_from(_DAEMONS))
    def read_store(self, daemon: str) -> None:
        COUNTS["step"] += 1
        if self.store_up:
            for name in (daemon, *_DAEMONS[:2]):
                self.voters[name].on_store_read(self.panel, change_intended=self.intent)

    @rule(daemon=st.sampled_from(_DAEMONS))
    def ask_vouches(self, daemon: str) -> None:
        COUNTS["step"] += 1
        voter = self.voters[daemon]
        request = VouchRequest("p0", voter.panel.epoch, daemon, voter.incarnation)
        for peer in voter.panel.voters:
            if peer != daemon:
                self._send(daemon, peer, request)

    @rule(step=st.sampled_from(("intend", "seal", "activate")))
    def change_panel(self, step: str) -> None:
        COUNTS["step"] += 1
        if step == "intend" and self.store_up:
            self.intent = True
        elif step == "seal" and self.intent:
            for voter in self.panel.voters:
                self._send("changer", voter, SealRequest("p0", self.panel.epoch))
        elif (
            step == "activate"
            and self.store_up
            and self.intent
            and epoch_is_sealed(
                self.panel,
                {k: v for k, v in self.seals.items() if v.epoch == self.panel.epoch},
            )
        ):
            COUNTS["panel change"] += 1
            self.panel = VoterPanel("p0", self.panel.epoch + 1, _DAEMONS, self.now_s)
            self.intent = False
            self.seals.clear()

    # --- guarantees ---

    @invariant()
    def command_runs_at_most_once(self) -> None:
        assert all(command.executions <= 1 for command in self.commands)

    @invariant()
    def not_run_is_true(self) -> None:
        for command in self.commands:
            assert not (command.answered_not_run and command.executions), command.key

    @invariant()
    def answers_are_their_own(self) -> None:
        for command in self.commands:
            expected = f"ran {command.key}".encode()
            assert all(answer == expected for answer in command.answers)


def _handle(voter: ClaimVoter, message: Any, now_s: float) -> Any:
    if isinstance(message, VoteRequest):
        return voter.on_vote_request(message, now_s)
    if isinstance(message, VoteRelease):
        return voter.on_release(message)
    if isinstance(message, OutcomeRecord):
        return voter.on_outcome(message)
    if isinstance(message, SealRequest):
        return voter.on_seal_request(message)
    if isinstance(message, VouchRequest):
        return voter.on_vouch_request(message)
    assert isinstance(message, VouchReply)
    return voter.on_vouch_reply(message)


class CacheMachine(RuleBasedStateMachine):
    """One index over three engines that crash, change weights, and lose or delay events."""

    ENGINES = ("e0", "e1", "e2")
    PROMPT = b"".join(bytes([65 + number]) * BLOCK_BYTES for number in range(4)) + b"tail"

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.index = CacheIndex()
        settings = EngineSettings(cache_blocks=6)
        self.engines = {name: EngineModel(settings, ReplicaIdentity(1, 1)) for name in self.ENGINES}
        # A daemon learns a replica's incarnation from its first report.
        for name in self.ENGINES:
            self.index.fence(name, 1)
        self.positions = dict.fromkeys(self.ENGINES, 0)
        self.seen_incarnation = dict.fromkeys(self.ENGINES, 1)
        self.submitted = 0

    @rule(
        name=st.sampled_from(ENGINES),
        tenant=st.sampled_from(("t1", "t2")),
        blocks=st.integers(1, 4),
    )
    def serve(self, name: str, tenant: str, blocks: int) -> None:
        COUNTS["step"] += 1
        engine = self.engines[name]
        scope = CacheScope(tenant, "m", engine.identity.weights_version)
        prefix = prompt_prefix(scope, self.PROMPT[: blocks * BLOCK_BYTES])
        self.submitted += 1
        engine.submit(
            Sequence(f"s{self.submitted}", prefix.block_keys, prefix.prompt_tokens, 1, 5, 0.0)
        )
        while (plan := engine.plan_step(self.now_s)) is not None:
            engine.finish_step(plan, self.now_s)
        self.index.assume_stored(name, engine.identity.incarnation, prefix.block_keys)

    @rule(name=st.sampled_from(ENGINES), loses=st.booleans())
    def read_events(self, name: str, loses: bool) -> None:
        COUNTS["step"] += 1
        engine = self.engines[name]
        if self.seen_incarnation[name] != engine.identity.incarnation:
            self.seen_incarnation[name] = engine.identity.incarnation
            self.positions[name] = 0
        for event in engine.events_after(self.positions[name], self.now_s):
            self.positions[name] = event.sequence
            if loses and event.sequence % 2:
                COUNTS["cache event lost"] += 1
                continue
            self.index.apply(name, engine.identity.incarnation, event)

    @rule(name=st.sampled_from(ENGINES))
    def late_event_of_a_dead_engine(self, name: str) -> None:
        COUNTS["step"] += 1
        COUNTS["late event"] += 1
        dead = self.engines[name].identity.incarnation - 1
        scope = CacheScope("t1", "m", 1)
        keys = prompt_prefix(scope, self.PROMPT).block_keys
        self.index.apply(name, dead, CacheEvent(10_000, EventKind.STORED, keys))

    @rule(name=st.sampled_from(ENGINES))
    def crash(self, name: str) -> None:
        COUNTS["step"] += 1
        COUNTS["engine crash"] += 1
        engine = self.engines[name]
        engine.crash()
        self.index.fence(name, engine.identity.incarnation)
        for tenant in ("t1", "t2"):
            for version in range(1, engine.identity.weights_version + 1):
                keys = prompt_prefix(CacheScope(tenant, "m", version), self.PROMPT).block_keys
                assert name not in self.index.match(keys)

    @rule(name=st.sampled_from(ENGINES))
    def new_weights(self, name: str) -> None:
        COUNTS["step"] += 1
        COUNTS["weights change"] += 1
        engine = self.engines[name]
        engine.load_weights(engine.identity.weights_version + 1, self.now_s)

    @rule(name=st.sampled_from(ENGINES))
    def resync(self, name: str) -> None:
        COUNTS["step"] += 1
        engine = self.engines[name]
        self.seen_incarnation[name] = engine.identity.incarnation
        self.positions[name] = engine.next_sequence - 1
        self.index.replace(
            name, engine.identity.incarnation, engine.cache.keys(), engine.next_sequence
        )
        assert not self.index.is_suspect(name)
        for key, _ in engine.cache.keys_with_parents():
            assert self.index.holds(name, key)

    @invariant()
    def nothing_is_believed_of_a_dead_incarnation(self) -> None:
        for name, engine in self.engines.items():
            cached = self.index._replicas.get(name)
            assert cached is None or cached.incarnation == engine.identity.incarnation

    @invariant()
    def tenants_and_versions_never_match_each_other(self) -> None:
        for version in (1, 2):
            mine = prompt_prefix(CacheScope("t1", "m", version), self.PROMPT).block_keys
            theirs = prompt_prefix(CacheScope("t2", "m", version), self.PROMPT).block_keys
            newer = prompt_prefix(CacheScope("t1", "m", version + 1), self.PROMPT).block_keys
            assert not set(mine) & set(theirs)
            assert not set(mine) & set(newer)

    @invariant()
    def engine_reuses_only_what_it_holds(self) -> None:
        for engine in self.engines.values():
            assert len(engine.cache) <= engine.settings.cache_blocks


class StreamMachine(RuleBasedStateMachine):
    """Pieces that are late, repeated, missing or from other attempts; the text stays a prefix."""

    def __init__(self) -> None:
        super().__init__()
        self.tokens = [f"t{number} " for number in range(40)]
        self.received = ""
        self.progress = StreamProgress(self._deliver)

    def _deliver(self, text: str) -> Failure | None:
        self.received += text
        return None

    @rule(offset=st.integers(0, 39), count=st.integers(1, 4))
    def piece(self, offset: int, count: int) -> None:
        COUNTS["step"] += 1
        count = min(count, 40 - offset)
        before = self.progress.tokens
        if offset != before:
            COUNTS["piece out of place"] += 1
        text = "".join(self.tokens[offset : offset + count])
        result = self.progress.forward(StreamPiece(offset, count, text))
        gap_or_overlap = offset != before and offset + count > before
        assert (result is not None) == gap_or_overlap

    @rule()
    def next_piece(self) -> None:
        COUNTS["step"] += 1
        offset = self.progress.tokens
        if offset < 40:
            self.progress.forward(StreamPiece(offset, 1, self.tokens[offset]))

    @invariant()
    def text_is_whole_and_in_order(self) -> None:
        assert self.received == "".join(self.tokens[: self.progress.tokens])


class DocumentMachine(RuleBasedStateMachine):
    """Revisions spread between three daemons; the network loses, duplicates and reorders parts."""

    def __init__(self) -> None:
        super().__init__()
        self.sets = [DocumentSet() for _ in range(3)]
        self.stored = Document()
        self.seen = [0, 0, 0]
        self.parts: list[tuple[int, int, int, int, bytes]] = []

    @rule(size=st.integers(1, 50_000), at=st.integers(0, 2))
    def accept(self, size: int, at: int) -> None:
        COUNTS["step"] += 1
        revision = self.stored.revision + 1
        self.stored = Document(revision, bytes([revision % 251]) * size)
        self.sets[at].install(DocumentName.CONFIGURATION, self.stored)

    @rule(at=st.integers(0, 2), older=st.integers(1, 5))
    def hear_an_older_one(self, at: int, older: int) -> None:
        COUNTS["step"] += 1
        COUNTS["older revision"] += 1
        revision = self.sets[at].get(DocumentName.CONFIGURATION).revision - older
        document = Document(revision, bytes([revision % 251]))
        assert not self.sets[at].install(DocumentName.CONFIGURATION, document)

    @rule(source=st.integers(0, 2), receiver=st.integers(0, 2), offset=st.integers(0, 50_000))
    def ask(self, source: int, receiver: int, offset: int) -> None:
        COUNTS["step"] += 1
        document, data = self.sets[source].part(DocumentName.CONFIGURATION, offset)
        self.parts.append((receiver, document.revision, offset, len(document.text), data))

    @precondition(lambda self: self.parts)
    @rule(data=st.data(), fate=st.sampled_from(("deliver", "drop", "double")))
    def part(self, data: st.DataObject, fate: str) -> None:
        COUNTS["step"] += 1
        index = data.draw(st.integers(0, len(self.parts) - 1))
        receiver, revision, offset, total, content = self.parts[index]
        if fate != "double":
            del self.parts[index]
        if fate != "deliver":
            COUNTS[f"document part {fate}"] += 1
        if fate == "drop":
            return
        documents = self.sets[receiver]
        result = documents.add_part(DocumentName.CONFIGURATION, revision, offset, total, content)
        if isinstance(result, Document):
            documents.install(DocumentName.CONFIGURATION, result)

    @rule(at=st.integers(0, 2))
    def restart(self, at: int) -> None:
        COUNTS["step"] += 1
        COUNTS["daemon restart"] += 1
        self.sets[at] = DocumentSet()
        self.seen[at] = 0

    @invariant()
    def revisions_never_go_down_and_texts_are_whole(self) -> None:
        for number, documents in enumerate(self.sets):
            document = documents.get(DocumentName.CONFIGURATION)
            assert document.revision >= self.seen[number]
            self.seen[number] = document.revision
            assert set(document.text) <= {document.revision % 251}


class AdmissionMachine(RuleBasedStateMachine):
    """Every offered request is admitted once, refused at once, or still waiting; none is lost."""

    LIMITS = AdmissionLimits(max_open=5, max_waiting=8)

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.queue = AdmissionQueue(self.LIMITS)
        self.waiting: set[str] = set()
        self.open: dict[str, bool] = {}
        self.offered = 0

    @rule(
        tenant=st.sampled_from("xyz"),
        priority=st.integers(0, 9),
        may_wait=st.booleans(),
        patience_s=st.floats(0.1, 100),
    )
    def offer(self, tenant: str, priority: int, may_wait: bool, patience_s: float) -> None:
        COUNTS["step"] += 1
        self.offered += 1
        name = f"r{self.offered}"
        ticket = Ticket(
            name, tenant, f"c{priority}", priority, may_wait, self.now_s + patience_s, self.now_s
        )
        outcome = self.queue.offer(ticket, self.now_s)
        if outcome is AdmissionOutcome.ADMITTED:
            self.open[name] = may_wait
        elif outcome is AdmissionOutcome.QUEUED:
            self.waiting.add(name)
        else:
            COUNTS["admission refusal"] += 1
            assert isinstance(outcome, Failure) and outcome.ran is RunState.NOT_RUN

    @precondition(lambda self: self.open)
    @rule(data=st.data(), service_s=st.floats(0, 10))
    def release(self, data: st.DataObject, service_s: float) -> None:
        COUNTS["step"] += 1
        name = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[name]
        for ticket in self.queue.release(name, self.now_s, service_s):
            self.waiting.remove(ticket.request_id)
            self.open[ticket.request_id] = ticket.may_wait

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def caller_leaves(self, data: st.DataObject) -> None:
        COUNTS["step"] += 1
        COUNTS["caller left"] += 1
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.withdraw(name)
        self.waiting.remove(name)

    @rule(seconds=st.floats(0, 30))
    def pass_time(self, seconds: float) -> None:
        COUNTS["step"] += 1
        self.now_s += seconds
        for ticket in self.queue.expire(self.now_s):
            self.waiting.remove(ticket.request_id)

    @invariant()
    def counts_agree_and_stay_in_bounds(self) -> None:
        assert self.queue.open_count == len(self.open) <= self.LIMITS.max_open
        assert self.queue.waiting_count == len(self.waiting) <= self.LIMITS.max_waiting

    @invariant()
    def slots_are_never_all_taken_by_work_that_may_wait(self) -> None:
        assert sum(self.open.values()) < self.LIMITS.max_open


class RetryMachine(RuleBasedStateMachine):
    """Under any sequence of failures, retries stay within the budget's ratio plus its burst."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = RetryBudget(ratio=0.05, burst=10.0)
        self.requests = 0
        self.retries = 0
        self.random = random.Random(1)

    @rule(count=st.integers(1, 50), outage=st.booleans())
    def traffic(self, count: int, outage: bool) -> None:
        COUNTS["step"] += 1
        COUNTS["pool outage"] += outage
        for _ in range(count):
            self.requests += 1
            self.budget.record_request()
            while outage and self.budget.try_spend():
                self.retries += 1

    @invariant()
    def amplification_is_bounded(self) -> None:
        assert self.retries <= 0.05 * self.requests + 10.0 + 1e-6


MACHINES: tuple[type[RuleBasedStateMachine], ...] = (
    ClaimMachine,
    CacheMachine,
    StreamMachine,
    DocumentMachine,
    AdmissionMachine,
    RetryMachine,
)
