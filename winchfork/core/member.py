"""Membership records and the messages that carry them: probes and replies."""

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
    """One daemon: its addresses for peers and callers, its status and the speed of its links."""

    member_id: str
    zone: str
    peer_address: str
    http_address: str
    incarnation: int
    status: MemberStatus = MemberStatus.ALIVE
    #: Megabits per second; 0 where unknown.
    link_mbps: int = 0
    #: Milliseconds to connect to the platform's store; 0 until a connection has succeeded.
    store_delay_ms: int = 0

    def supersedes(self, other: Member) -> bool:
        """Whether this record is newer than ``other``."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


class Probe(PeerMessage, frozen=True):
    """Asks a member to reply. ``on_behalf_of`` names the member that requested an indirect probe.

    ``revisions`` are the sender's document revisions, ``loads`` packed load entries.
    """

    sender: Member
    nonce: int
    revisions: tuple[int, ...]
    changes: tuple[Member, ...] = ()
    on_behalf_of: str = ""
    loads: bytes = b""
    #: Members that the sender knows and does not consider dead, itself not counted.
    known_members: int = 0


class ProbeReply(PeerMessage, frozen=True):
    """Answers the probe with the same nonce."""

    sender: Member
    nonce: int
    revisions: tuple[int, ...]
    changes: tuple[Member, ...] = ()
    loads: bytes = b""


class IndirectProbe(PeerMessage, frozen=True):
    """Asks the receiver to probe ``target_id`` on behalf of the sender."""

    sender: Member
    nonce: int
    target_id: str
    changes: tuple[Member, ...] = ()


MembershipMessage = Probe | ProbeReply | IndirectProbe


class Outgoing(msgspec.Struct, frozen=True):
    """A message to send to a peer address."""

    address: str
    message: MembershipMessage
