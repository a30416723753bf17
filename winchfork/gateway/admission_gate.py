"""Admits generations while the daemon has free slots, and lets the others wait in a queue."""

from __future__ import annotations

from concurrent.futures import Future

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.state import DaemonState
from winchfork.core.admission import AdmissionOutcome, Ticket
from winchfork.errors import Failure, RunState
from winchfork.gateway.caller import Waiter
from winchfork.gateway.requests import CallerContext

#: Period at which a waiting request's caller is checked.
_TICKET_POLL_S = 0.25


class AdmissionGate:
    """Makes the generations of one daemon wait until they are admitted. Thread-safe."""

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._tickets: dict[str, Future[None]] = {}

    def admit(self, request_id: str, context: CallerContext, caller: Waiter) -> Failure | None:
        """Block until the request is admitted; return why not if it is refused or gives up."""
        now_s = boot_seconds()
        ticket = Ticket(
            request_id,
            context.tenant.name,
            context.traffic_class.name,
            context.traffic_class.priority,
            context.may_wait,
            caller.deadline_at_s,
            now_s,
            context.tenant.weight,
        )
        admitted: Future[None] = Future()
        with self._state.lock:
            outcome = self._state.admission.offer(ticket, now_s)
            if outcome is AdmissionOutcome.QUEUED:
                self._tickets[request_id] = admitted
            self._state.retry_budget.record_request()
        if isinstance(outcome, Failure):
            return outcome
        if outcome is AdmissionOutcome.QUEUED:
            return self._await_turn(request_id, caller, admitted)
        return None

    def _await_turn(
        self, request_id: str, caller: Waiter, admitted: Future[None]
    ) -> Failure | None:
        self._state.record_decision(request_id, "queued", "no_free_slot")
        while True:
            try:
                admitted.result(timeout=_TICKET_POLL_S)
                return None
            except TimeoutError:
                reason = caller.check()
            if reason is None:
                continue
            with self._state.lock:
                withdrawn = self._state.admission.withdraw(request_id)
                self._tickets.pop(request_id, None)
            if withdrawn:
                return reason.with_run_state(RunState.NOT_RUN)
            # It was admitted between the check and the withdrawal, so its slot must be freed.
            self.release(request_id, 0.0)
            return reason.with_run_state(RunState.NOT_RUN)

    def release(self, request_id: str, service_s: float) -> None:
        """Free a request's slot after ``service_s`` of service, and admit requests that wait."""
        with self._state.lock:
            admitted = self._state.admission.release(request_id, boot_seconds(), service_s)
            futures = [self._tickets.pop(ticket.request_id, None) for ticket in admitted]
        for future in futures:
            if future is not None:
                future.set_result(None)
