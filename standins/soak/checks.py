"""Checks of answers, orders and rollouts; each function returns one line per violation."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from standins.answer_faults import ReplicaFault
from standins.replica_server import ReceivedOrder, ReplicaServer
from standins.rollout_operator import RolloutReport
from standins.soak.callers import Reply, StreamReply

LEASE_BOUND_S = 3.0
#: Exposure bounds for a faulty version, as in the stand-ins' settings: share and extra requests.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
_NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Faults that show from the start, so that the rollout must be rolled back.
_IMMEDIATE_FAULTS = (ReplicaFault.FAILS, ReplicaFault.SLOW)


def check_stream(stream: StreamReply) -> list[str]:
    """A complete stream has every event once and in order, a truncated one has a prefix of them."""
    name, reply = stream.request_id, stream.reply
    if reply.status != 200:
        return []
    lines = reply.body.decode("latin-1").split("\n\n")[: None if reply.is_complete else -1]
    ids = [int(line[4:].split("\n")[0]) for line in lines if line.startswith("id: ")]
    expected = list(range(1, stream.tokens + 1))
    broken = []
    if reply.is_complete and ids != expected:
        broken.append(f"{name}: a whole stream has {ids} in place of 1 to {stream.tokens}")
    if ids != expected[: len(ids)]:
        broken.append(f"{name}: a torn stream has {ids}")
    return broken


def check_unrelated_refusals(replies: Iterable[Reply]) -> list[str]:
    """No request is refused as fatal that has crashed no replica."""
    refused = sum(b"ends_replicas" in reply.body for reply in replies)
    return [f"{refused} innocent requests were refused as ending replicas"] if refused else []


def check_commands(
    commands: Mapping[str, Reply], applications: Iterable[ReplicaServer]
) -> list[str]:
    """A command runs at most once, and not at all if its answer states that it did not run."""
    runs = Counter(name for item in applications for name in item.ran)
    broken = []
    for name, reply in commands.items():
        if runs[name] > 1:
            broken.append(f"{name} ran {runs[name]} times")
        if reply.status in _NOT_RUN_STATUSES and runs[name]:
            broken.append(f"{name} got {reply.status} and ran")
        if reply.status == 200 and runs[name] != 1:
            broken.append(f"{name} got 200 and ran {runs[name]} times")
    return broken


def check_orders(models: Iterable[ReplicaServer]) -> list[str]:
    """Each fencing token has one holder, and the holder does not change within the lease bound."""
    broken = []
    for replica in models:
        holders: dict[int, str] = {}
        last = ReceivedOrder(-1e9, "", 0)
        for order in replica.orders:
            if holders.setdefault(order.fence, order.holder) != order.holder:
                broken.append(f"fence {order.fence} has two holders")
            if (
                order.holder != last.holder
                and order.received_at_s - last.received_at_s < LEASE_BOUND_S
            ):
                broken.append(f"{last.holder} and {order.holder} took turns within the lease bound")
            last = order
    return broken


def check_rollout(report: RolloutReport, fault: ReplicaFault) -> list[str]:
    """A faulty version is rolled back within its exposure budget; every status becomes final."""
    name = f"{report.service} {report.target}"
    broken = []
    if not report.state:
        broken.append(f"{name}: the status was never final")
    if fault not in _IMMEDIATE_FAULTS:
        return broken
    details = (
        f"({fault.value}: {report.faulty_answers} of {report.target_requests} answers spoiled)"
    )
    if report.state == "completed":
        broken.append(f"{name} is bad and was put in force {details}")
    if report.target_requests > EXPOSURE_SHARE * report.total_requests + EXPOSURE_SLACK:
        broken.append(f"{name} got {report.target_requests} of {report.total_requests} {details}")
    return broken
