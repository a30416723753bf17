"""Selects the replicas that may be sent a request now, and computes when others may."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from winchfork.core.permit_queue import PermitOpening
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.reserved_senders import RESERVED_S
from winchfork.core.start_margin import ServiceLoad, start_margin_s
from winchfork.core.weight_rollout import PRIOR_LOAD_S

if TYPE_CHECKING:
    from winchfork.router.state import RouterState


class ReplicaSelector:
    """Selects candidates by the state of one process."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def candidates(
        self,
        service: str,
        excluded: set[str],
        prompt: Prompt | None = None,
        *,
        on_target: bool = False,
        begun_at: str | None = None,
    ) -> list[RelayReplica]:
        """Return the replicas that may be sent a request now, without those in ``excluded``.

        ``on_target``: the request goes to the target version of a software rollout while that
        version accepts requests. ``begun_at`` is the version that began a stream, which no other
        version may continue; None for a request that has not begun. For a prompt, replicas whose
        weights expire before it begins are left out. If all are ejected, or all are in unreachable
        zones, that condition is ignored.
        """
        now_s = self._state.clock()
        self._state.fleet.refresh()
        candidates = [
            replica
            for replica in self._state.fleet.of_service(service)
            if replica.accepts_requests(now_s)
            and replica.replica_id not in excluded
            and self._state.brittle.has_place(replica)
            and (prompt is None or self._weights_allowed(replica, prompt, now_s))
        ]
        candidates = self._of_allowed_software(
            service, candidates, on_target=on_target, begun_at=begun_at
        )
        healthy = [replica for replica in candidates if now_s >= replica.ejected_until_s]
        unreachable = self._state.zone_reachability.unreachable(now_s)
        if unreachable:
            reachable = [item for item in healthy if item.listing.zone not in unreachable]
            healthy = reachable or healthy
        return healthy or candidates

    def _of_allowed_software(
        self,
        service: str,
        replicas: list[RelayReplica],
        *,
        on_target: bool,
        begun_at: str | None,
    ) -> list[RelayReplica]:
        software = self._state.software
        if begun_at is not None:
            return software.continuing_replicas(service, replicas, begun_at)
        return software.allowed_replicas(service, replicas, on_target=on_target)

    def next_available_in_s(
        self,
        service: str,
        excluded: set[str],
        *,
        on_target: bool = False,
        begun_at: str | None = None,
    ) -> float | None:
        """Return in how many seconds the first replica will accept requests; None if none will.

        Holds, backoffs and request limits have known ends. A replica that has none of these but
        expired weights is expected to load new ones, which takes ``PRIOR_LOAD_S``.
        """
        now_s = self._state.clock()
        remaining = self._remaining(service, excluded)
        waits_s = [
            self._available_in_s(replica, now_s) or PRIOR_LOAD_S
            for replica in self._of_allowed_software(
                service, remaining, on_target=on_target, begun_at=begun_at
            )
        ]
        shortest_s = min(waits_s, default=math.inf)
        return None if math.isinf(shortest_s) else shortest_s

    def is_version_gone(self, service: str, excluded: set[str], version: str) -> bool:
        """Whether replicas not in ``excluded`` accept now or later, none of them this version."""
        remaining = self._remaining(service, excluded)
        same = self._state.software.continuing_replicas(service, remaining, version)
        return bool(remaining) and not same

    def _remaining(self, service: str, excluded: set[str]) -> list[RelayReplica]:
        """Return the replicas that may get requests now or later, without those in ``excluded``."""
        return [
            replica
            for replica in self._state.fleet.of_service(service)
            if replica.accepting and replica.replica_id not in excluded
        ]

    def permit_openings(
        self,
        service: str,
        excluded: set[str],
        *,
        on_target: bool = False,
        begun_at: str | None = None,
    ) -> list[PermitOpening] | None:
        """Return the coming permits of each remaining replica, if all are rationed.

        Return None if a remaining replica is not, or if none remains.
        """
        remaining = self._remaining(service, excluded)
        if begun_at is not None:
            remaining = self._state.software.continuing_replicas(service, remaining, begun_at)
        if not remaining or not all(self.is_rationed(replica) for replica in remaining):
            return None
        now_s = self._state.clock()
        return [
            PermitOpening(self._available_in_s(replica, now_s), self._permit_interval_s(replica))
            for replica in self._of_allowed_software(
                service, remaining, on_target=on_target, begun_at=begun_at
            )
        ]

    def is_rationed(self, replica: RelayReplica) -> bool:
        """Whether requests to a replica need a permit: it limits requests, or is brittle."""
        if replica.notice.limit.per_s is not None:
            return True
        return self._state.brittle.word_of(replica.listing.service) is not None

    def _available_in_s(self, replica: RelayReplica, now_s: float) -> float:
        return max(replica.available_in_s(now_s), self._state.brittle.available_in_s(replica))

    def _permit_interval_s(self, replica: RelayReplica) -> float:
        if replica.notice.limit.per_s is not None:
            return replica.notice.limit.interval_s
        return self._state.brittle.interval_s(replica)

    def fleet_permit_interval_s(self, service: str) -> float | None:
        """Return the shortest interval in seconds at which a replica takes requests by its limit.

        The interval counts the requests of all daemons together. Return None if no replica of the
        service has a request limit.
        """
        intervals = [
            replica.notice.limit.interval_s / replica.notice.limit.holders
            for replica in self._state.limits.limited_replicas(service)
        ]
        return min(intervals, default=None)

    def describe_unavailable(self, service: str) -> str:
        """Return a text with the numbers of replicas that accept no requests, by reason.

        The text is empty if no reason applies.
        """
        now_s = self._state.clock()
        replicas = self._state.fleet.of_service(service)
        draining = sum(not replica.is_in_service for replica in replicas)
        backing_off = sum(replica.notice.is_backing_off(now_s) for replica in replicas)
        limited = self.count_at_limit(service)
        counts = {"drain": draining, "back off": backing_off, "are at their limit": limited}
        parts = [
            f"{count} of {len(replicas)} replicas {why}" for why, count in counts.items() if count
        ]
        return ", ".join(parts)

    def count_at_limit(self, service: str) -> int:
        """Return how many of a service's replicas have no permit for this daemon now."""
        now_s = self._state.clock()
        limited = self._state.limits.limited_replicas(service)
        return sum(replica.notice.limit.available_in_s(now_s) > 0.0 for replica in limited)

    def weights_expire_at_s(self, model: str, version: int | None) -> float:
        """Return when requests may no longer begin on a version; infinity without a newer one."""
        history = self._state.weights_versions.get(model)
        if history is None or version is None:
            return math.inf
        return history.expires_at_s(version, self._state.settings.bounds.weights_s)

    def start_margin_s(self, replica: RelayReplica, prompt: Prompt) -> float:
        """Return the longest time in seconds that a prompt is expected to take to begin."""
        return start_margin_s(replica, prompt, self._service_load(replica.listing.service))

    def _weights_allowed(self, replica: RelayReplica, prompt: Prompt, now_s: float) -> bool:
        """Whether a request sent now is expected to begin before the replica's weights expire.

        In a large fleet, replicas whose weights expire soon are reserved to few daemons each.
        """
        expires_at_s = self.weights_expire_at_s(prompt.model, replica.versions.get(prompt.model, 0))
        if math.isinf(expires_at_s):
            return True
        if now_s + self.start_margin_s(replica, prompt) >= expires_at_s:
            return False
        if now_s + RESERVED_S < expires_at_s:
            return True
        replicas = self._state.fleet.of_service(replica.listing.service)
        return self._state.reserved_senders.may_send(replica, replicas)

    def _service_load(self, service: str) -> ServiceLoad:
        return ServiceLoad(
            self._state.engine_speed(service).prefill_tokens_per_s,
            self._state.mean_run_s,
            self._state.cache_capacity_tokens(service),
            self._state.reserved_senders.unknown_requests,
        )
