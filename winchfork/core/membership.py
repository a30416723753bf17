"""Membership of one region by random probes with piggybacked changes (the SWIM protocol).

A daemon sends one probe per period at any fleet size. A failed probe is repeated through other
members before the target is suspected, so that one bad path does not remove a member. A suspected
member that is alive refutes the suspicion with a higher incarnation. A restarted daemon begins with
a higher incarnation as well (its start time in milliseconds).

The state machine does no I/O: ``tick`` and ``receive`` return the messages to send. Times are
seconds of one clock, passed in by the caller.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import msgspec

from winchfork.constants import DEAD_AFTER_S, SUSPECT_AFTER_S
from winchfork.core.gossip_queue import GossipQueue
from winchfork.core.member import (
    IndirectProbe,
    Member,
    MembershipMessage,
    MemberStatus,
    Outgoing,
    Probe,
    ProbeReply,
)
from winchfork.core.open_probes import OpenProbes

#: Changes sent with one message.
PIGGYBACK_CHANGES = 6
#: Changes sent with one message while a backlog with suspicions is queued: after a partition each
#: side has suspected all members of the other.
BACKLOG_PIGGYBACK_CHANGES = 16
#: Random records in the reply to a daemon that knows fewer members, for each member that it lacks.
#: Piggybacked changes alone would take half a minute at the start of a whole fleet of some 200.
RECORDS_PER_MISSING = 8
#: Bounds the random records in one reply, to some 4 KB.
MAX_RECORDS = 64
#: Each change is sent with this many messages times log2 of the number of members.
SPREAD_FACTOR = 3
#: Members that are asked to repeat a failed probe.
INDIRECT_PROBES = 2
#: Periods between probes of dead members, which reconnect the sides of a healed partition.
RECONNECT_PERIODS = 2
#: Dead members are remembered for this long, so that old gossip cannot restore them.
FORGET_DEAD_AFTER_S = 300.0


class _Tracked(msgspec.Struct):
    member: Member
    since_s: float


#: Called for each reply with its sender, the sender's revisions and the time of the probe.
OnReply = Callable[[Member, tuple[int, ...], float], None]


class Membership:
    """One daemon's view of its region's daemons. Not thread-safe."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        generator: random.Random,
        pack_loads: Callable[[], bytes] = lambda: b"",
        revisions: Callable[[], tuple[int, ...]] = lambda: (),
        on_reply: OnReply = lambda sender, revisions, asked_s: None,
    ) -> None:
        self.own = own
        self._pack_loads = pack_loads
        self._revisions = revisions
        self._on_reply = on_reply
        self._seeds = [seed for seed in seeds if seed != own.peer_address]
        self._generator = generator
        self._tracked: dict[str, _Tracked] = {}
        self._to_spread = GossipQueue()
        #: Members whose status is not ALIVE; only their status changes with time.
        self._not_alive: set[str] = set()
        #: Members with a suspicion or refutation that is still to be spread.
        self._recently_suspected: set[str] = set()
        self._unknown_seeds: list[str] = []
        self._unknown_seeds_as_of = -1
        self._probes = OpenProbes()
        self._probe_order: list[str] = []
        self._periods = 0
        #: Number of changes of any record; a view derived from the records is current while it
        #: stays the same.
        self.change_count = 0

    def members(self, *, include_leaving: bool = True) -> list[Member]:
        """Return the members that are not dead, this daemon included, ordered by id."""
        excluded_from = MemberStatus.DEAD if include_leaving else MemberStatus.LEAVING
        found = [
            entry.member for entry in self._tracked.values() if entry.member.status < excluded_from
        ]
        if self.own.status < excluded_from:
            found.append(self.own)
        return sorted(found, key=lambda member: member.member_id)

    def get(self, member_id: str) -> Member | None:
        """Return a member's newest record, or None."""
        if member_id == self.own.member_id:
            return self.own
        entry = self._tracked.get(member_id)
        return entry.member if entry else None

    def leave(self) -> None:
        """Announce a planned stop: the record spreads with the next messages."""
        self._replace_own(msgspec.structs.replace(self.own, status=MemberStatus.LEAVING))

    def announce_store_delay(self, delay_ms: int) -> None:
        """Announce this daemon's connection delay to the platform's store."""
        incarnation = self.own.incarnation + 1
        self._replace_own(
            msgspec.structs.replace(self.own, store_delay_ms=delay_ms, incarnation=incarnation)
        )

    def join(self, now_s: float) -> list[Outgoing]:
        """Probe every seed at the start; the replies bring members and document revisions."""
        return [self._probe("", seed, now_s) for seed in self._seeds]

    def tick(self, now_s: float) -> list[Outgoing]:
        """Run one period: expire overdue probes and suspicions, and probe one member."""
        outgoing = self._expire_probes(now_s)
        self._expire_suspects(now_s)
        target = self._next_target()
        if target is not None:
            suspicion = self._suspicion_of(target)
            outgoing.append(self._probe(target.member_id, target.peer_address, now_s, suspicion))
        self._periods += 1
        if self._periods % RECONNECT_PERIODS == 0:
            outgoing += self._probe_dead(now_s)
        unknown_seeds = self._find_unknown_seeds()
        if unknown_seeds:
            outgoing.append(self._probe("", self._generator.choice(unknown_seeds), now_s))
        return outgoing

    def _find_unknown_seeds(self) -> list[str]:
        """Return the seeds whose address belongs to no known member."""
        if self._unknown_seeds_as_of != self.change_count:
            self._unknown_seeds_as_of = self.change_count
            known = {entry.member.peer_address for entry in self._tracked.values()}
            self._unknown_seeds = [seed for seed in self._seeds if seed not in known]
        return self._unknown_seeds

    def probe(self, member: Member, now_s: float) -> Outgoing:
        """Probe one member in addition to the period's regular probe."""
        return self._probe(member.member_id, member.peer_address, now_s)

    def receive(self, message: MembershipMessage, now_s: float) -> list[Outgoing]:
        """Handle a message and return the messages to send in response."""
        self._learn(message.sender, now_s)
        for change in message.changes:
            self._learn(change, now_s)
        if isinstance(message, Probe):
            reply = ProbeReply(
                self.own,
                message.nonce,
                self._revisions(),
                (
                    *self._suspicion_of(message.sender),
                    *self._pop_changes(),
                    *self._records_for(message),
                ),
                self._pack_loads(),
            )
            return [Outgoing(message.sender.peer_address, reply)]
        if isinstance(message, IndirectProbe):
            return self._relay_probe(message)
        return self._handle_reply(message)

    def _handle_reply(self, message: ProbeReply) -> list[Outgoing]:
        probe = self._probes.pop(message.nonce)
        if probe is not None:
            self._on_reply(message.sender, message.revisions, probe.sent_at_s)
        relayed = self._probes.pop_relayed(message.nonce)
        if relayed is None:
            return []
        reply = ProbeReply(message.sender, relayed.nonce, message.revisions, self._pop_changes())
        return [Outgoing(relayed.address, reply)]

    @property
    def _working_count(self) -> int:
        """Number of other members that are known and not dead."""
        return len(self._tracked) - len(self._dead_member_ids())

    def _dead_member_ids(self) -> list[str]:
        return [
            member_id
            for member_id in sorted(self._not_alive)
            if self._tracked[member_id].member.status is MemberStatus.DEAD
        ]

    def _suspicion_of(self, member: Member) -> tuple[Member, ...]:
        """Return a member's record if its status here is not ALIVE, for the member to refute.

        It is sent to the member directly, since gossip alone may take long to deliver it.
        """
        entry = self._tracked.get(member.member_id)
        suspected = entry is not None and entry.member.status is not MemberStatus.ALIVE
        return (entry.member,) if entry is not None and suspected else ()

    def _records_for(self, probe: Probe) -> list[Member]:
        """Draw random records for a daemon that knows fewer members than this one."""
        missing = self._working_count - probe.known_members
        if missing <= 0:
            return []
        entries = list(self._tracked.values())
        count = min(MAX_RECORDS, RECORDS_PER_MISSING * missing, len(entries))
        return [entry.member for entry in self._generator.sample(entries, count)]

    def _relay_probe(self, message: IndirectProbe) -> list[Outgoing]:
        target = self._tracked.get(message.target_id)
        if target is None:
            return []
        probe = Probe(
            self.own,
            self._probes.begin_relayed(message.sender.peer_address, message.nonce),
            self._revisions(),
            self._pop_changes(),
            on_behalf_of=message.sender.member_id,
            known_members=self._working_count,
        )
        return [Outgoing(target.member.peer_address, probe)]

    def _probe_dead(self, now_s: float) -> list[Outgoing]:
        """Probe a dead member with its own record, which it refutes if it is alive."""
        dead = self._dead_member_ids()
        if not dead:
            return []
        record = self._tracked[self._generator.choice(dead)].member
        return [self._probe("", record.peer_address, now_s, (record,))]

    def _probe(
        self, target_id: str, address: str, now_s: float, extra_changes: tuple[Member, ...] = ()
    ) -> Outgoing:
        probe = Probe(
            self.own,
            self._probes.begin(target_id, now_s),
            self._revisions(),
            (*extra_changes, *self._pop_changes()),
            loads=self._pack_loads(),
            known_members=self._working_count,
        )
        return Outgoing(address, probe)

    def _next_target(self) -> Member | None:
        """Return the next member of a shuffled round, which probes each member once."""
        while True:
            if not self._probe_order:
                self._probe_order = sorted(
                    member_id
                    for member_id, entry in self._tracked.items()
                    if entry.member.status < MemberStatus.DEAD
                )
                self._generator.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            entry = self._tracked.get(self._probe_order.pop())
            if entry is not None and entry.member.status < MemberStatus.DEAD:
                return entry.member

    def _expire_probes(self, now_s: float) -> list[Outgoing]:
        overdue = self._probes.pop_overdue(now_s)
        for probe in overdue.lost:
            self._suspect(probe.target_id, now_s)
        return [
            request
            for probe in overdue.unanswered
            for request in self._request_indirect_probes(probe.nonce, probe.target_id)
        ]

    def _request_indirect_probes(self, nonce: int, target_id: str) -> list[Outgoing]:
        others = [
            entry.member
            for member_id, entry in sorted(self._tracked.items())
            if member_id != target_id and entry.member.status is MemberStatus.ALIVE
        ]
        helpers = self._generator.sample(others, min(INDIRECT_PROBES, len(others)))
        request = IndirectProbe(self.own, nonce, target_id, self._pop_changes())
        return [Outgoing(helper.peer_address, request) for helper in helpers]

    def _suspect(self, member_id: str, now_s: float) -> None:
        entry = self._tracked.get(member_id)
        if entry is not None and entry.member.status is MemberStatus.ALIVE:
            suspected = msgspec.structs.replace(entry.member, status=MemberStatus.SUSPECT)
            self._install(suspected, now_s)

    def _expire_suspects(self, now_s: float) -> None:
        limit_s = DEAD_AFTER_S - SUSPECT_AFTER_S
        for member_id in sorted(self._not_alive):
            entry = self._tracked[member_id]
            age_s = now_s - entry.since_s
            status = entry.member.status
            if status in (MemberStatus.SUSPECT, MemberStatus.LEAVING) and age_s >= limit_s:
                self._install(
                    msgspec.structs.replace(entry.member, status=MemberStatus.DEAD), now_s
                )
            elif status is MemberStatus.DEAD and age_s >= FORGET_DEAD_AFTER_S:
                self._not_alive.discard(member_id)
                self.change_count += 1
                del self._tracked[member_id]

    def _learn(self, record: Member, now_s: float) -> None:
        if record.member_id == self.own.member_id:
            self._refute(record)
            return
        entry = self._tracked.get(record.member_id)
        if entry is None or record.supersedes(entry.member):
            self._install(record, now_s)

    def _refute(self, record: Member) -> None:
        """Refute gossip that suspects this daemon, with a higher incarnation of its own record."""
        suspected = record.status > self.own.status and record.incarnation >= self.own.incarnation
        if suspected:
            self._replace_own(msgspec.structs.replace(self.own, incarnation=record.incarnation + 1))

    def _replace_own(self, record: Member) -> None:
        self.own = record
        self.change_count += 1
        self._spread(record)

    def _install(self, record: Member, now_s: float) -> None:
        self.change_count += 1
        if record.status is not MemberStatus.ALIVE or record.member_id in self._not_alive:
            self._recently_suspected.add(record.member_id)
        self._tracked[record.member_id] = _Tracked(record, now_s)
        if record.status is MemberStatus.ALIVE:
            self._not_alive.discard(record.member_id)
        else:
            self._not_alive.add(record.member_id)
        self._spread(record)

    def _spread(self, record: Member) -> None:
        rounds = max(1, len(self._tracked)).bit_length()
        self._to_spread.put(record.member_id, SPREAD_FACTOR * rounds)

    def _has_suspicion_backlog(self) -> bool:
        """Whether more changes are queued than one message holds, including suspicions.

        Refutations count as suspicions. A backlog without either, as at the start of a whole fleet,
        does not count: daemons that lack members receive records then.
        """
        if len(self._to_spread) <= PIGGYBACK_CHANGES:
            self._recently_suspected.clear()
        self._recently_suspected = {
            name for name in self._recently_suspected if name in self._to_spread
        }
        return bool(self._recently_suspected)

    def _pop_changes(self) -> tuple[Member, ...]:
        """Return the changes for one message, those sent the fewest times first."""
        count = BACKLOG_PIGGYBACK_CHANGES if self._has_suspicion_backlog() else PIGGYBACK_CHANGES
        records = [self.get(member_id) for member_id in self._to_spread.pop(count)]
        return tuple(record for record in records if record is not None)
