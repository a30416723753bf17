"""Operators' client of the RPC service; errors are returned as ``Failure``."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import grpc

from winchfork.control import winchfork_pb2 as pb
from winchfork.control import winchfork_pb2_grpc
from winchfork.errors import Failure, FailureKind

_CALL_TIMEOUT_S = 15.0
_Reply = TypeVar("_Reply")

_KIND_OF_CODE = {
    grpc.StatusCode.INVALID_ARGUMENT: FailureKind.INVALID_CONFIGURATION,
    grpc.StatusCode.ABORTED: FailureKind.REVISION_CONFLICT,
    grpc.StatusCode.NOT_FOUND: FailureKind.NOT_FOUND,
    grpc.StatusCode.UNAUTHENTICATED: FailureKind.UNAUTHENTICATED,
}


class OperatorClient:
    """Calls one daemon. ``certificate`` is a PEM root certificate; None disables TLS."""

    def __init__(self, address: str, token: str, certificate: bytes | None = None) -> None:
        self._address = address
        self._metadata = (("authorization", f"Bearer {token}"),)
        if certificate is None:
            self._channel = grpc.insecure_channel(address)
        else:
            credentials = grpc.ssl_channel_credentials(certificate)
            self._channel = grpc.secure_channel(address, credentials)
        self._stub: Any = winchfork_pb2_grpc.OperatorStub(self._channel)

    def apply_configuration(
        self, configuration: pb.Configuration, expected_revision: int
    ) -> pb.ConfigurationReply | Failure:
        """Apply a configuration that is based on ``expected_revision``."""
        request = pb.ApplyConfigurationRequest(
            configuration=configuration, expected_revision=expected_revision
        )
        return self._call(self._stub.ApplyConfiguration, request)

    def get_configuration(self) -> pb.ConfigurationReply | Failure:
        """Return the daemon's current configuration."""
        return self._call(self._stub.GetConfiguration, pb.GetConfigurationRequest())

    def set_draining(self, replica_id: str, draining: bool) -> pb.ConfigurationReply | Failure:
        """Drain a back end or return it to service."""
        request = pb.SetDrainingRequest(replica_id=replica_id, draining=draining)
        return self._call(self._stub.SetDraining, request)

    def get_status(self) -> pb.StatusReply | Failure:
        """Return the fleet as the daemon sees it."""
        return self._call(self._stub.GetStatus, pb.GetStatusRequest())

    def explain(self, request_id: str) -> pb.ExplainReply | Failure:
        """Return the routing decisions about a request."""
        return self._call(self._stub.Explain, pb.ExplainRequest(request_id=request_id))

    def start_rollout(
        self, pool: str, weights_version: int, max_loading: int
    ) -> pb.RolloutReply | Failure:
        """Start a rollout."""
        request = pb.StartRolloutRequest(
            pool=pool, weights_version=weights_version, max_loading=max_loading
        )
        return self._call(self._stub.StartRollout, request)

    def get_rollout(self, pool: str) -> pb.RolloutReply | Failure:
        """Return a rollout's progress."""
        return self._call(self._stub.GetRollout, pb.GetRolloutRequest(pool=pool))

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    def _call(self, method: Callable[..., _Reply], request: Any) -> _Reply | Failure:
        try:
            return method(request, timeout=_CALL_TIMEOUT_S, metadata=self._metadata)
        except grpc.RpcError as error:
            return self._failure(error)

    def _failure(self, error: Any) -> Failure:
        code, details = error.code(), error.details() or ""
        kind = _KIND_OF_CODE.get(code, FailureKind.BACKEND_UNREACHABLE)
        reason = details.removeprefix(f"{kind.value}: ")
        if code is grpc.StatusCode.UNAVAILABLE and "connect" in details:
            reason = f"no daemon answers at {self._address}"
        return kind.because(reason)
