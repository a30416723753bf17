"""What daemons tell each other of who is a member: records, probes and replies."""

from __future__ import annotations

import enum

import msgspec

from winchfork.core.peer_message import PeerMessage


class MemberStatus(enum.IntEnum):
    """A member's status; at the same incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(PeerMessage, frozen=True):
    """One daemon: where it listens for peers and callers, its status, and what its link carries."""

    member_id: str
    zone: str
    peer_address: str
    http_address: str
    incarnation: int
    status: MemberStatus = MemberStatus.ALIVE
    #: Megabits a second; 0 where it is not known.
    link_mbps: int = 0
    #: Milliseconds for a connection to the platform's store to come up; 0 until one has.
    store_delay_ms: int = 0

    def supersedes(self, other: Member) -> bool:
        """Tell whether this record is newer than ``other``."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


class Probe(PeerMessage, frozen=True):
    """Are you there? ``on_behalf_of`` is set when a third member asked for the probe."""

    sender: Member
    nonce: int
    revisions: tuple[int, ...]
    changes: tuple[Member, ...] = ()
    on_behalf_of: str = ""
    loads: bytes = b""
    #: Members that the sender knows and does not hold for dead, itself not counted.
    known_members: int = 0


class ProbeReply(PeerMessage, frozen=True):
    """I am."""

    sender: Member
    nonce: int
    revisions: tuple[int, ...]
    changes: tuple[Member, ...] = ()
    loads: bytes = b""


class IndirectProbe(PeerMessage, frozen=True):
    """Please probe ``target_id`` for me."""

    sender: Member
    nonce: int
    target_id: str
    changes: tuple[Member, ...] = ()


MembershipMessage = Probe | ProbeReply | IndirectProbe


class Outgoing(msgspec.Struct, frozen=True):
    """A message to send to a peer address."""

    address: str
    message: MembershipMessage
