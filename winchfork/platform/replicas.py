"""Calls to a replica's control interface: reading its report and giving orders."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from winchfork.backends.replica_control import (
    OnNotice,
    OrderOutcome,
    ReplicaReport,
    WeightsOrder,
    ignore_notice,
)
from winchfork.decoding import Count, decode_json
from winchfork.errors import Failure, FailureKind
from winchfork.platform import names
from winchfork.platform.notices import read_notice
from winchfork.router.pooled_http_client import PooledHttpClient

REPORT_TIMEOUT_S = 0.6
ORDER_TIMEOUT_S = 1.0
_OUTCOMES = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    names.STATUS_MISDIRECTED: OrderOutcome.OTHER_REPLICA,
}


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    version: Count


class _Report(msgspec.Struct, rename="pascal"):
    sequence: Count = 0
    busy: bool = False
    waiting: Count = 0
    running: Count = 0
    models: list[_Model] = msgspec.field(default_factory=list)
    born: Count = msgspec.field(name="born", default=0)


class PlatformReplicaControl:
    """Implements :class:`winchfork.backends.replica_control.ReplicaControl`."""

    def __init__(self, client: PooledHttpClient) -> None:
        self._client = client

    async def report(
        self, address: str, on_notice: OnNotice = ignore_notice
    ) -> ReplicaReport | Failure:
        """Read the replica's report."""
        reply = await self._client.call(
            address,
            b"GET",
            b"/report",
            None,
            REPORT_TIMEOUT_S,
            label="report",
            on_head=lambda head: on_notice(read_notice(head)),
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return FailureKind.BACKEND_REFUSED.because(
                f"the report call was answered with status {reply.status}"
            )
        report = decode_json(reply.body, _Report, "the report", FailureKind.BACKEND_FAILED)
        if isinstance(report, Failure):
            return report
        versions = {model.name: model.version for model in report.models}
        return ReplicaReport(
            report.sequence, report.busy, report.running, report.waiting, versions, report.born
        )

    async def order(
        self,
        address: str,
        order: WeightsOrder,
        allowed: Callable[[], bool],
        on_notice: OnNotice = ignore_notice,
    ) -> OrderOutcome | Failure:
        """Order the replica to load weights if ``allowed()`` is true just before sending."""
        body = {
            "Operation": "Version",
            "Model": order.model,
            "Version": order.version,
            "Method": "wait",
            "Holder": order.holder,
            "FencingToken": order.fence,
            "Expected": order.expected_sequence,
        }
        reply = await self._client.call(
            address,
            b"POST",
            b"/order",
            msgspec.json.encode(body),
            ORDER_TIMEOUT_S,
            label="order",
            headers=[(names.EXPECTED_INSTANCE, order.replica_id.encode())],
            is_still_allowed=allowed,
            on_head=lambda head: on_notice(read_notice(head)),
        )
        if isinstance(reply, Failure):
            return reply
        return _OUTCOMES.get(reply.status, OrderOutcome.REFUSED)
