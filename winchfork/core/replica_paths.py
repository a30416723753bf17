"""The replicas that a daemon reaches only through peers, and the peers that reach them.

A daemon whose own connections to a replica fail asks peers. If one of them connects, the replica is
sound and only the direct path is lost: requests go through that peer until a direct connection
succeeds again. Times are monotonic seconds.
"""

from __future__ import annotations

import msgspec

#: Seconds between two checks of a lost direct path.
CHECK_PERIOD_S = 1.0
#: Checks that are begun at a time; bounds the new connections after the loss of many paths.
MAX_CHECKS = 16
#: A peer that has reached a replica is asked to relay without a new check for this long.
PROOF_TTL_S = 5.0
#: A peer that has failed to reach a replica is not asked again for this long.
FAILURE_TTL_S = 1.0
#: Peers among which a daemon spreads its requests to one replica.
MAX_RELAY_PEERS = 3


class _LostPath(msgspec.Struct):
    since_s: float
    check_at_s: float
    #: When each peer, by member id, last reached the replica.
    reached_at_s: dict[str, float] = msgspec.field(default_factory=dict)


class ReplicaPaths:
    """One daemon's lost direct paths, by replica address. Not thread-safe."""

    def __init__(self) -> None:
        self._lost: dict[str, _LostPath] = {}
        #: When a peer failed to reach an address, by address and member id.
        self._failed_at_s: dict[tuple[str, str], float] = {}

    def is_lost(self, address: str) -> bool:
        """Whether an address is reached only through peers."""
        return address in self._lost

    @property
    def lost_count(self) -> int:
        """How many addresses are reached only through peers."""
        return len(self._lost)

    def count_lost_for(self, duration_s: float, now_s: float) -> int:
        """Return how many paths have been lost for at least ``duration_s``."""
        return sum(now_s - path.since_s >= duration_s for path in self._lost.values())

    def renew_proof(self, address: str, peer_id: str, now_s: float) -> None:
        """Record that a peer has relayed an answer from an address."""
        path = self._lost.get(address)
        if path is not None:
            path.reached_at_s[peer_id] = now_s

    def record_reached_by_peer(self, address: str, peer_id: str, now_s: float) -> bool:
        """Record that a peer reached an address whose direct path failed; True if that is new."""
        is_new = address not in self._lost
        path = self._lost.setdefault(address, _LostPath(now_s, now_s + CHECK_PERIOD_S))
        path.reached_at_s[peer_id] = now_s
        self._failed_at_s.pop((address, peer_id), None)
        return is_new

    def record_peer_failure(self, address: str, peer_id: str, now_s: float) -> None:
        """Record that a peer did not reach an address, or did not answer."""
        self._forget_failures(now_s)
        self._failed_at_s[address, peer_id] = now_s
        path = self._lost.get(address)
        if path is not None:
            path.reached_at_s.pop(peer_id, None)

    def record_restored(self, address: str) -> bool:
        """Record that a direct connection succeeded; True if the path had been lost."""
        return self._lost.pop(address, None) is not None

    def relay_peers(self, address: str, now_s: float) -> list[str]:
        """Return the ids of the peers that have reached an address recently."""
        path = self._lost.get(address)
        if path is None:
            return []
        return [
            peer_id for peer_id, at_s in path.reached_at_s.items() if now_s - at_s <= PROOF_TTL_S
        ]

    def has_failed(self, address: str, peer_id: str, now_s: float) -> bool:
        """Whether a peer has recently failed to reach an address."""
        at_s = self._failed_at_s.get((address, peer_id))
        return at_s is not None and now_s - at_s <= FAILURE_TTL_S

    def take_due_checks(self, now_s: float) -> list[str]:
        """Return the addresses whose direct path should be checked now, and schedule the next."""
        due = [address for address, path in self._lost.items() if now_s >= path.check_at_s]
        for address in due[:MAX_CHECKS]:
            self._lost[address].check_at_s = now_s + CHECK_PERIOD_S
        return due[:MAX_CHECKS]

    def forget(self, address: str) -> None:
        """Drop an address at which no replica is listed any more."""
        self._lost.pop(address, None)

    def _forget_failures(self, now_s: float) -> None:
        for key in [key for key, at_s in self._failed_at_s.items() if now_s - at_s > FAILURE_TTL_S]:
            del self._failed_at_s[key]
