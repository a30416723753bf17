"""Admission control: decides which requests run, wait or are refused.

Waiting requests are ordered by priority, which improves by one step for each ``AGING_S`` of waiting
so that no traffic class starves; then by the service that the tenant has received relative to its
weight, least first; within a tenant they are served first come, first served.

Requests that may wait (batch work) occupy at most ``MAX_BATCH_SHARE`` of the slots, so that slots
remain for urgent requests.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import deque

from winchfork.errors import Failure, FailureKind, RunState

AGING_S = 20.0
MAX_BATCH_SHARE = 0.7


class AdmissionOutcome(enum.Enum):
    """Whether an offered ticket was admitted or queued."""

    ADMITTED = "admitted"
    QUEUED = "queued"


@dataclasses.dataclass(frozen=True)
class AdmissionLimits:
    """Maximum numbers of running and of waiting requests."""

    max_open: int
    max_waiting: int


@dataclasses.dataclass(frozen=True)
class Ticket:
    """One request that asks for a slot. ``priority`` 0 is the most urgent; times in seconds."""

    request_id: str
    tenant: str
    traffic_class: str
    priority: int
    may_wait: bool
    deadline_at_s: float
    offered_at_s: float
    tenant_weight: float = 1.0


class AdmissionQueue:
    """Bounded slots with priorities, tenant fairness and deadline refusals. Not thread-safe."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._open: dict[str, Ticket] = {}
        self._open_batch = 0
        self._waiting: dict[tuple[str, bool], dict[str, deque[Ticket]]] = {}
        self._waiting_count = 0
        self._service: dict[str, float] = {}
        self._mean_service_s = 1.0

    @property
    def open_count(self) -> int:
        """Number of running requests."""
        return len(self._open)

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return self._waiting_count

    def offer(self, ticket: Ticket, now_s: float) -> AdmissionOutcome | Failure:
        """Admit, queue or refuse a ticket; a refusal is immediate and final."""
        # A free slot can go to this ticket at once: only a release frees a slot, and it already
        # admits every waiting ticket that fits.
        if self._has_slot(ticket):
            self._admit(ticket)
            return AdmissionOutcome.ADMITTED
        if self._waiting_count >= self._limits.max_waiting:
            return FailureKind.OVERLOADED.because(
                f"the admission queue is full: {self._waiting_count} requests are waiting",
                remedy="retry after the given time",
                retry_after_s=self.expected_wait_s(),
            )
        expected_s = self.expected_wait_s()
        if not ticket.may_wait and now_s + expected_s > ticket.deadline_at_s:
            return FailureKind.DEADLINE_EXCEEDED.because(
                f"the expected wait of {expected_s:.1f} s would miss the deadline",
                remedy="retry after the given time or allow a later deadline",
                ran=RunState.NOT_RUN,
                retry_after_s=expected_s,
            )
        self._queue_of(ticket).append(ticket)
        self._waiting_count += 1
        return AdmissionOutcome.QUEUED

    def expected_wait_s(self) -> float:
        """Estimate the wait of a ticket queued now, from the mean service time."""
        return self._mean_service_s * (self._waiting_count + 1) / self._limits.max_open

    def release(self, request_id: str, now_s: float, service_s: float) -> list[Ticket]:
        """End a running request and return the tickets that were admitted to the freed slots."""
        ticket = self._open.pop(request_id, None)
        if ticket is None:
            return []
        if ticket.may_wait:
            self._open_batch -= 1
        self._mean_service_s += 0.1 * (service_s - self._mean_service_s)
        return self._admit_waiting(now_s)

    def withdraw(self, request_id: str) -> bool:
        """Remove a waiting ticket whose caller has disconnected; False when it is not waiting."""
        for tenants in self._waiting.values():
            for queue in tenants.values():
                for ticket in queue:
                    if ticket.request_id == request_id:
                        queue.remove(ticket)
                        self._waiting_count -= 1
                        return True
        return False

    def expire(self, now_s: float) -> list[Ticket]:
        """Remove and return the waiting tickets whose deadline has passed."""
        late = [
            ticket
            for tenants in self._waiting.values()
            for queue in tenants.values()
            for ticket in queue
            if ticket.deadline_at_s <= now_s
        ]
        for ticket in late:
            self.withdraw(ticket.request_id)
        return late

    def _queue_of(self, ticket: Ticket) -> deque[Ticket]:
        """Return the ticket's queue.

        Within a class, tickets that may wait are queued separately from the others, so that a
        blocked batch ticket at the head does not delay a ticket that could run.
        """
        tenants = self._waiting.setdefault((ticket.traffic_class, ticket.may_wait), {})
        return tenants.setdefault(ticket.tenant, deque())

    def _has_slot(self, ticket: Ticket) -> bool:
        if len(self._open) >= self._limits.max_open:
            return False
        return not ticket.may_wait or self._open_batch < self._batch_slots()

    def _batch_slots(self) -> int:
        return max(1, int(self._limits.max_open * MAX_BATCH_SHARE))

    def _admit(self, ticket: Ticket) -> None:
        self._open[ticket.request_id] = ticket
        if ticket.may_wait:
            self._open_batch += 1
        floor = min(self._service.values(), default=0.0)
        served = max(self._service.get(ticket.tenant, floor), floor)
        self._service[ticket.tenant] = served + 1.0 / ticket.tenant_weight

    def _admit_waiting(self, now_s: float) -> list[Ticket]:
        admitted: list[Ticket] = []
        while True:
            ticket = self._next_ticket(now_s)
            if ticket is None:
                return admitted
            self._queue_of(ticket).popleft()
            self._waiting_count -= 1
            self._admit(ticket)
            admitted.append(ticket)

    def _next_ticket(self, now_s: float) -> Ticket | None:
        best: tuple[float, float, float, Ticket] | None = None
        for tenants in self._waiting.values():
            for tenant, queue in tenants.items():
                if not queue or not self._has_slot(queue[0]):
                    continue
                head = queue[0]
                aged = head.priority - (now_s - head.offered_at_s) / AGING_S
                # Tenant fairness applies among heads whose aged priority rounds to the same step.
                order = (float(round(aged)), self._service.get(tenant, 0.0), head.offered_at_s)
                if best is None or order < best[:3]:
                    best = (*order, head)
        return best[3] if best is not None else None
