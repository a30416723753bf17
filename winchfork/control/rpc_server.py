"""A daemon's gRPC service for operators."""

from __future__ import annotations

import hmac
import json
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NoReturn

import grpc

from winchfork.cluster.messages import ExplainReply, ExplainRequest
from winchfork.cluster.node import PeerNode
from winchfork.control import winchfork_pb2 as pb
from winchfork.control import winchfork_pb2_grpc
from winchfork.control.configuration_writer import ConfigurationWriter
from winchfork.control.convert import configuration_from_message, configuration_to_message
from winchfork.control.rollout import RolloutManager
from winchfork.core.configuration import hash_api_key
from winchfork.core.documents import DocumentName
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.settings import Settings

_WORKERS = 8
_WATCH_POLL_S = 0.2
_EXPLAIN_TIMEOUT_S = 0.5

_CODE_OF_KIND = {
    FailureKind.INVALID_CONFIGURATION: grpc.StatusCode.INVALID_ARGUMENT,
    FailureKind.INVALID_REQUEST: grpc.StatusCode.INVALID_ARGUMENT,
    FailureKind.REVISION_CONFLICT: grpc.StatusCode.ABORTED,
    FailureKind.NOT_FOUND: grpc.StatusCode.NOT_FOUND,
    FailureKind.UNAUTHENTICATED: grpc.StatusCode.UNAUTHENTICATED,
}


def _abort(context: grpc.ServicerContext, failure: Failure) -> NoReturn:
    code = _CODE_OF_KIND.get(failure.kind, grpc.StatusCode.UNAVAILABLE)
    context.abort(code, str(failure))
    raise AssertionError("context.abort did not raise")


class _TokenCheck(grpc.ServerInterceptor):
    """Rejects calls without an operator's token in ``authorization: Bearer TOKEN``."""

    def __init__(self, token_hashes: tuple[str, ...]) -> None:
        self._hashes = token_hashes

    def intercept_service(
        self, continuation: Callable[[Any], Any], handler_call_details: Any
    ) -> Any:
        """Handle authorized calls; abort all others as unauthenticated."""
        metadata = dict(handler_call_details.invocation_metadata)
        token = str(metadata.get("authorization", "")).removeprefix("Bearer ")
        digest = hash_api_key(token)
        if any(hmac.compare_digest(digest, known) for known in self._hashes):
            return continuation(handler_call_details)
        failure = FailureKind.UNAUTHENTICATED.because(
            "the operator token is missing or unknown", remedy="pass --token or WINCHFORK_TOKEN"
        )
        return grpc.unary_unary_rpc_method_handler(
            lambda request, context: _abort(context, failure)
        )


class OperatorService(winchfork_pb2_grpc.OperatorServicer):
    """Implements proto/winchfork.proto."""

    def __init__(
        self, node: PeerNode, writer: ConfigurationWriter, rollouts: RolloutManager
    ) -> None:
        self._node = node
        self._state = node.state
        self._writer = writer
        self._rollouts = rollouts

    def ApplyConfiguration(  # noqa: N802 - the schema's name
        self, request: pb.ApplyConfigurationRequest, context: grpc.ServicerContext
    ) -> pb.ConfigurationReply:
        """Validate, store and install a configuration."""
        configuration = configuration_from_message(request.configuration)
        if isinstance(configuration, Failure):
            _abort(context, configuration)
        revision = self._writer.apply(configuration, request.expected_revision)
        if isinstance(revision, Failure):
            _abort(context, revision)
        log_event("configuration_applied", revision=revision)
        return self._configuration()

    def GetConfiguration(  # noqa: N802
        self, request: pb.GetConfigurationRequest, context: grpc.ServicerContext
    ) -> pb.ConfigurationReply:
        """Return this daemon's current configuration."""
        return self._configuration()

    def WatchConfiguration(  # noqa: N802
        self, request: pb.GetConfigurationRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.ConfigurationReply]:
        """Send the current configuration and each later one."""
        sent = -1
        ended = threading.Event()
        context.add_callback(ended.set)
        while not ended.is_set():
            reply = self._configuration()
            if reply.revision != sent:
                sent = reply.revision
                yield reply
            ended.wait(_WATCH_POLL_S)

    def SetDraining(  # noqa: N802
        self, request: pb.SetDrainingRequest, context: grpc.ServicerContext
    ) -> pb.ConfigurationReply:
        """Drain a back end or return it to service."""
        with self._state.lock:
            known = self._state.fleet.get(request.replica_id) is not None
        if not known:
            _abort(
                context,
                FailureKind.NOT_FOUND.because(
                    f"there is no back end {request.replica_id!r}",
                    remedy="winchfork status lists them",
                ),
            )
        result = self._writer.set_draining(request.replica_id, request.draining)
        if isinstance(result, Failure):
            _abort(context, result)
        return self._configuration()

    def GetStatus(  # noqa: N802
        self, request: pb.GetStatusRequest, context: grpc.ServicerContext
    ) -> pb.StatusReply:
        """Return this daemon's view of the fleet."""
        state = self._state
        with state.lock:
            return pb.StatusReply(
                daemon_id=state.own_id,
                configuration_revision=state.configuration.current.revision,
                machines_revision=state.documents.get(DocumentName.MACHINES).revision,
                open_requests=state.admission.open_count,
                waiting_requests=state.admission.waiting_count,
                index_blocks=len(state.index),
                members=[
                    pb.MemberStatus(
                        id=member.member_id,
                        zone=member.zone,
                        status=member.status.name.lower(),
                        incarnation=member.incarnation,
                        http_address=member.http_address,
                    )
                    for member in state.membership.members()
                ],
                replicas=[
                    pb.ReplicaStatus(
                        id=replica.replica_id,
                        pool=replica.pool,
                        zone=replica.zone,
                        state=replica.state.value,
                        incarnation=replica.identity.incarnation if replica.identity else 0,
                        weights_version=(
                            replica.identity.weights_version if replica.identity else 0
                        ),
                        waiting_prefill_tokens=replica.load.waiting_prefill_tokens,
                        running_requests=replica.load.running_requests,
                    )
                    for replica in sorted(
                        state.fleet.replicas(), key=lambda replica: replica.replica_id
                    )
                ],
                panels=[
                    pb.PanelStatus(
                        id=panel.panel_id,
                        epoch=panel.epoch,
                        voters=panel.voters,
                        votes_here=(
                            panel.panel_id in state.voters and state.voters[panel.panel_id].may_vote
                        ),
                    )
                    for panel in state.panels.values()
                ],
            )

    def Explain(  # noqa: N802
        self, request: pb.ExplainRequest, context: grpc.ServicerContext
    ) -> pb.ExplainReply:
        """Return a request's decisions from this daemon or the one that the request id names."""
        steps = self._node.explain_locally(request.request_id)
        if steps:
            return _explanation(self._state.own_id, steps)
        for member in self._node.live_members(include_own=False):
            if not request.request_id.startswith(f"{member.member_id}-"):
                continue
            reply = self._node.transport.request(
                member.peer_address,
                lambda nonce: ExplainRequest(nonce, request.request_id),
                _EXPLAIN_TIMEOUT_S,
            )
            if isinstance(reply, ExplainReply) and reply.steps:
                return _explanation(member.member_id, reply.steps)
        _abort(
            context,
            FailureKind.NOT_FOUND.because(
                f"no decisions are known for request {request.request_id!r}",
                remedy="check the id; a daemon keeps only its latest requests, until it restarts",
            ),
        )

    def StartRollout(  # noqa: N802
        self, request: pb.StartRolloutRequest, context: grpc.ServicerContext
    ) -> pb.RolloutReply:
        """Record a rollout; the leader carries it out."""
        result = self._rollouts.start(
            request.pool, request.weights_version, max(1, request.max_loading)
        )
        if isinstance(result, Failure):
            _abort(context, result)
        return result

    def GetRollout(  # noqa: N802
        self, request: pb.GetRolloutRequest, context: grpc.ServicerContext
    ) -> pb.RolloutReply:
        """Return a rollout's progress."""
        result = self._rollouts.progress(request.pool)
        if isinstance(result, Failure):
            _abort(context, result)
        return result

    def _configuration(self) -> pb.ConfigurationReply:
        current = self._state.configuration.current
        return pb.ConfigurationReply(
            configuration=configuration_to_message(current.configuration),
            revision=current.revision,
        )


def _explanation(daemon_id: str, steps: str) -> pb.ExplainReply:
    return pb.ExplainReply(
        daemon_id=daemon_id, steps=[json.dumps(step) for step in json.loads(steps)]
    )


class RpcServer:
    """Serves :class:`OperatorService` on the settings' address."""

    def __init__(self, settings: Settings, service: OperatorService) -> None:
        self._server = grpc.server(
            ThreadPoolExecutor(_WORKERS, thread_name_prefix="rpc"),
            interceptors=[_TokenCheck(settings.daemon.operator_token_sha256)],
            options=[("grpc.so_reuseport", 0)],
        )
        winchfork_pb2_grpc.add_OperatorServicer_to_server(service, self._server)
        if settings.tls is None:
            self.port = self._server.add_insecure_port(settings.daemon.rpc_address)
        else:
            with open(settings.tls.key_file, "rb") as key_file:
                key = key_file.read()
            with open(settings.tls.certificate_file, "rb") as certificate_file:
                certificate = certificate_file.read()
            credentials = grpc.ssl_server_credentials([(key, certificate)])
            self.port = self._server.add_secure_port(settings.daemon.rpc_address, credentials)

    def start(self) -> None:
        """Start serving on background threads."""
        self._server.start()

    def stop(self) -> None:
        """Stop with a short grace period for running calls."""
        self._server.stop(grace=0.2)
