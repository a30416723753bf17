"""Orders replicas to load the newest weights that operators have named, while this daemon leads.

One task for each replica asks the peers to send it no new requests, reads the expected sequence
number from its report, gives the order under the leader's fence, and polls the report until the
replica has the version. An order without an answer may still be carried out, so the report decides
whether it was; a repeated order expects the sequence number of the newer report.
"""

from __future__ import annotations

import asyncio
import enum
import functools

import msgspec

from winchfork.backends.replica_control import (
    OrderOutcome,
    ReplicaControl,
    ReplicaReport,
    WeightsOrder,
)
from winchfork.core.relay_replica import IncarnationState, RelayReplica
from winchfork.core.start_margin import START_MARGIN_S
from winchfork.core.weight_rollout import LoadingReplica, LoadPace, next_step
from winchfork.errors import Failure, RunState
from winchfork.logs import log_event
from winchfork.router.leadership import Leadership
from winchfork.router.peers import PeerGroup
from winchfork.router.state import RouterState
from winchfork.router.weights_announcer import WeightsAnnouncer
from winchfork.router.weights_exchange import WeightsExchange

POLL_PERIOD_S = 0.1
#: Poll interval of reports while a replica finishes its requests and loads.
REPORT_PERIOD_S = 0.1
#: Time for a hold to reach the peers.
HOLD_PROPAGATION_S = 0.03
#: Longest wait for the prefill of prompts already sent; a replica under order refuses the rest.
MAX_PREFILL_WAIT_S = 0.6
#: Limit of the time until a replica accepts an order; the next pass tries it again.
MAX_ORDER_WAIT_S = 4.0
#: Limit of the total time once an order was accepted; covers the replica's longest answer.
MAX_LOAD_WAIT_S = 12.0
#: Consecutive failed reports after which a replica is given up until the next pass.
MAX_FAILED_REPORTS = 3
#: How far a replica's report may lag behind its state.
REPORT_LAG_S = 0.35
#: How long a graceful shutdown waits for replicas under order.
MAX_STOP_WAIT_S = 2.0


class _OrderState(enum.Enum):
    """What is known of an order that was given to a replica."""

    #: No order was given, or the replica has refused it.
    NONE = "none"
    #: No answer, so the replica may still carry it out.
    UNANSWERED = "unanswered"
    #: The replica carries it out, or already has the version.
    ACCEPTED = "accepted"


class _ReplicaUpdate(msgspec.Struct):
    """A replica that is being brought to a newer version of a model."""

    replica: RelayReplica
    model: str
    #: The newest version when the update began, or when an order was last given.
    version: int
    #: The highest fence under which this daemon has led since the update began.
    fence: int
    order_state: _OrderState = _OrderState.NONE


class WeightsRollout:
    """The task that orders loads while this daemon leads; idle otherwise."""

    def __init__(
        self,
        state: RouterState,
        leadership: Leadership,
        control: ReplicaControl,
        peers: PeerGroup,
        exchange: WeightsExchange,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._control = control
        self._peers = peers
        self._updates: dict[asyncio.Task[None], _ReplicaUpdate] = {}
        self._stopping = False
        self._pace = LoadPace(state.settings.bounds.weights_s)
        self._announcements = WeightsAnnouncer(exchange.broadcast_weights, state.clock)

    async def run(self) -> None:
        """Order loads until stopped or cancelled."""
        while not self._stopping:
            if self._state.is_partitioned() and self._leadership.leads():
                await self._hand_over()
            elif self._leadership.may_act():
                for model in list(self._state.weights_versions):
                    self._run_pass(model)
            await asyncio.sleep(POLL_PERIOD_S)

    async def stop(self) -> None:
        """Order no more loads, wait for the replicas under order, then resign the leadership.

        Replicas without an order are released at once.
        """
        self._stopping = True
        self._leadership.withdraw()
        self._cancel_updates_without_order()
        if self._updates:
            await asyncio.wait(self.active_tasks(), timeout=MAX_STOP_WAIT_S)
        await self._resign()

    async def _hand_over(self) -> None:
        """Resign, because a peer can give orders to replicas that this daemon does not reach."""
        self._cancel_updates_without_order()
        await self._resign()

    async def _resign(self) -> None:
        for task in self.active_tasks():
            task.cancel()
        self._announcements.flush()
        resignation = await self._leadership.resign()
        if resignation is not None:
            self._peers.broadcast(resignation)

    def active_tasks(self) -> list[asyncio.Task[None]]:
        """Return the tasks of the replicas that are being updated."""
        return list(self._updates)

    def _cancel_updates_without_order(self) -> None:
        for task, update in self._updates.items():
            if update.order_state is _OrderState.NONE:
                task.cancel()
                self._log_postponed(update)
                self._announcements.release(update.replica, update.model, update.fence)

    def _run_pass(self, model: str) -> None:
        history = self._state.weights_versions[model]
        self._state.fleet.refresh()
        replicas = [
            replica
            for replica in self._state.fleet.replicas()
            if model in replica.versions and self._state.is_configured(replica.listing.service)
        ]
        now_s = self._state.clock()
        updating = {update.replica.replica_id for update in self._updates.values()}
        views = [
            self._view(replica, model, now_s, replica.replica_id in updating)
            for replica in replicas
        ]
        step = next_step(views, history.newest, self._pace)
        for replica_id in step.prepare:
            self._prepare(replica_id, model)
        for replica_id in step.order:
            self._begin(replica_id, model)

    def _view(
        self, replica: RelayReplica, model: str, now_s: float, under_order: bool
    ) -> LoadingReplica:
        due_s = self._state.replica_selector.weights_expire_at_s(model, replica.versions[model])
        overdue = now_s + START_MARGIN_S >= due_s
        # A replica that backs off gets its order afterwards, unless its weights expire before that.
        is_unavailable = now_s < replica.ejected_until_s or (
            replica.notice.is_backing_off(now_s) and not overdue
        )
        return LoadingReplica(
            replica.replica_id,
            replica.versions[model],
            replica.accepting and not is_unavailable,
            max(0.0, replica.busy_until_s - now_s),
            under_order,
            overdue,
        )

    def _prepare(self, replica_id: str, model: str) -> None:
        replica = self._state.fleet.get(replica_id)
        if replica is not None:
            self._announcements.prepare(replica, model, self._leadership.fence)

    def _begin(self, replica_id: str, model: str) -> None:
        replica = self._state.fleet.get(replica_id)
        if replica is None:
            return
        version = self._state.weights_versions[model].newest
        update = _ReplicaUpdate(replica, model, version, self._leadership.fence)
        task = asyncio.get_running_loop().create_task(self._bring_up_to_date(update))
        self._updates[task] = update
        task.add_done_callback(self._updates.pop)

    async def _bring_up_to_date(self, update: _ReplicaUpdate) -> None:
        """Bring one replica to the newest version, or give up until the next pass.

        A replica that may still carry out an order is not released: the next pass holds it again,
        and all daemons would send to it in between.
        """
        replica, model = update.replica, update.model
        started_s = self._state.clock()
        await self._hold_new_requests(update)
        failed_reports = 0
        while self._should_continue(update, started_s):
            report = await self._report(replica)
            if isinstance(report, Failure):
                failed_reports += 1
                if failed_reports >= MAX_FAILED_REPORTS:
                    self._state.suspect_unreachable(replica)
                    break
            elif report.is_of_another_incarnation(replica.listing.started_at_ms):
                break
            else:
                failed_reports = 0
                loaded = report.versions.get(model, 0)
                if loaded >= update.version and not report.busy:
                    self._state.record_version(replica, model, loaded)
                    if update.order_state is _OrderState.ACCEPTED:
                        self._pace.record_load(self._state.clock() - started_s)
                    break
                if self._may_order(update, report):
                    await self._order(update, report)
            update.fence = max(update.fence, self._leadership.fence)
            has_order = update.order_state is _OrderState.ACCEPTED
            self._announcements.hold(replica, model, update.fence, has_order=has_order)
            await asyncio.sleep(REPORT_PERIOD_S)
        else:
            self._log_postponed(update)
            if update.order_state is _OrderState.UNANSWERED:
                return
        self._announcements.release(replica, model, update.fence)

    def _log_postponed(self, update: _ReplicaUpdate) -> None:
        log_event(
            "rollout_postponed",
            "WARNING",
            replica=update.replica.replica_id,
            version=update.version,
        )

    def _may_order(self, update: _ReplicaUpdate, report: ReplicaReport) -> bool:
        is_accepted = update.order_state is _OrderState.ACCEPTED
        return not is_accepted and not report.busy and not self._stopping

    def _should_continue(self, update: _ReplicaUpdate, started_s: float) -> bool:
        """Whether to poll the replica's report again.

        Only an order needs the leadership. After one, polling goes on without it, because the
        replica refuses requests until it is done and the peers' hold has to be renewed.
        """
        replica = update.replica
        # A later incarnation with the same id got no order from this task.
        is_removed = self._state.fleet.get(replica.replica_id) is not replica
        if is_removed or replica.incarnation_state is IncarnationState.ENDED:
            return False
        waited_s = self._state.clock() - started_s
        if update.order_state is _OrderState.ACCEPTED:
            return waited_s < MAX_LOAD_WAIT_S
        if update.order_state is _OrderState.NONE and self._stopping:
            return False
        may_order = not replica.superseded and self._leadership.may_act()
        return waited_s < MAX_ORDER_WAIT_S and may_order

    async def _hold_new_requests(self, update: _ReplicaUpdate) -> None:
        """Ask peers to send no new requests, and wait for the prefill of those already sent."""
        replica = update.replica
        self._announcements.hold(replica, update.model, update.fence)
        await asyncio.sleep(HOLD_PROPAGATION_S)
        until_s = self._state.clock() + MAX_PREFILL_WAIT_S
        while replica.queued_prefill_tokens and self._state.clock() < until_s:
            await asyncio.sleep(HOLD_PROPAGATION_S)

    async def _order(self, update: _ReplicaUpdate, report: ReplicaReport) -> None:
        """Order the newest version, which may be newer than when the update began."""
        update.version = self._state.weights_versions[update.model].newest
        earlier_state = update.order_state
        given = await self._send_order(update, report)
        update.order_state = earlier_state if given is _OrderState.NONE else given

    def _authorize_order(self, update: _ReplicaUpdate) -> bool:
        """Return whether an order may be sent now; if so, it is unanswered from now on."""
        if self._stopping or not self._leadership.authorize_order():
            return False
        update.order_state = _OrderState.UNANSWERED
        return True

    async def _send_order(self, update: _ReplicaUpdate, report: ReplicaReport) -> _OrderState:
        """Send the order and return its state.

        If an order that may have been sent got no answer, the replica's next report decides.
        """
        replica = update.replica
        order = WeightsOrder(
            replica.replica_id,
            update.model,
            update.version,
            self._state.settings.node_id,
            self._leadership.fence,
            report.sequence,
        )
        outcome = await self._control.order(
            replica.listing.address,
            order,
            functools.partial(self._authorize_order, update),
            functools.partial(self._state.notices.record, replica),
        )
        log_event(
            "weights_ordered",
            replica=replica.replica_id,
            model=update.model,
            version=update.version,
            fence=order.fence,
            expected=order.expected_sequence,
            running=report.running,
            outcome=outcome.kind.value if isinstance(outcome, Failure) else outcome.value,
        )
        if outcome is OrderOutcome.OTHER_REPLICA:
            self._state.mark_superseded(replica)
        if outcome is OrderOutcome.FENCED:
            self._leadership.record_refused_fence(order.fence)
        if isinstance(outcome, Failure):
            if outcome.ran is RunState.NOT_RUN:
                return _OrderState.NONE
            is_accepted = await self._was_accepted(replica, report)
            return _OrderState.ACCEPTED if is_accepted else _OrderState.UNANSWERED
        is_accepted = outcome in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_LOADED)
        return _OrderState.ACCEPTED if is_accepted else _OrderState.NONE

    async def _report(self, replica: RelayReplica) -> ReplicaReport | Failure:
        on_notice = functools.partial(self._state.notices.record, replica)
        asked_at_s = self._state.clock()
        report = await self._control.report(replica.listing.address, on_notice)
        if isinstance(report, ReplicaReport):
            self._state.incarnations.record(replica, report, asked_at_s)
        return report

    async def _was_accepted(self, replica: RelayReplica, before: ReplicaReport) -> bool:
        """Return whether the report shows that an order without an answer was accepted.

        If not, the order may still be carried out later.
        """
        await asyncio.sleep(REPORT_LAG_S)
        report = await self._report(replica)
        return isinstance(report, ReplicaReport) and report.sequence > before.sequence
