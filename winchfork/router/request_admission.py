"""Admission of requests: finds the route and the tenant in the current configuration."""

from __future__ import annotations

import math

import msgspec

from winchfork.core.request_digest import request_digest, shared_part_digests
from winchfork.core.routing import Route, RoutingTable, TenantPolicy
from winchfork.errors import Failure, FailureKind
from winchfork.router.header_codec import RequestFields
from winchfork.router.http_types import IncomingRequest
from winchfork.router.state import RouterState

#: Seconds since the configuration was proven current up to which an unknown route or key is final;
#: later it may have been added meanwhile, and the caller is asked to retry.
MAX_CERTAIN_AGE_S = 1.9
#: Retry-After in seconds while the configuration is unknown or stale.
STALE_RETRY_AFTER_S = 1.5


class AdmittedRequest(msgspec.Struct, frozen=True):
    """An admitted request: its route, its tenant and the fields of its headers."""

    route: Route
    tenant: TenantPolicy | None
    fields: RequestFields
    #: Equal for all attempts of the same request by the same caller.
    digest: bytes = b""
    #: The tenant's name, or the API key of an unknown one; empty without a key.
    caller: str = ""
    #: Digests of the shared parts of its prompt.
    shared_parts: tuple[bytes, ...] = ()

    @property
    def priority(self) -> int:
        """The tenant's priority if it has one, else the route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority


class RequestAdmission:
    """Admits requests by the state of one process."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def admit(self, request: IncomingRequest, fields: RequestFields) -> AdmittedRequest | Failure:
        """Return the request with its route and tenant, or the reason of its refusal."""
        table = self._state.routing_table
        if table is None:
            return FailureKind.CONFIGURATION_UNKNOWN.because(
                "no configuration is known yet", retry_after_s=STALE_RETRY_AFTER_S
            )
        certain = self._state.configuration_age_s <= MAX_CERTAIN_AGE_S
        route = table.match(request.host, request.path)
        if route is None:
            if not certain:
                return _stale(self._state, "the route is not known")
            return FailureKind.NOT_FOUND.because(
                "no route matches this host and path", remedy="check the host and the path"
            )
        tenant = table.tenant_of(fields.api_key) if fields.api_key else None
        caller = tenant.name if tenant is not None else fields.api_key or ""
        digest = request_digest(caller, request.method, request.host, request.target, request.body)
        shared_parts = shared_part_digests(fields.prompt)
        admitted = AdmittedRequest(route, tenant, fields, digest, caller, shared_parts)
        return self._check_key(admitted, table, certain=certain) or admitted

    def _check_key(
        self, admitted: AdmittedRequest, table: RoutingTable, *, certain: bool
    ) -> Failure | None:
        """Return why a request must not run with its key, or without one; None if it may.

        A key counts where none is needed as well, on an anonymous route or without tenants: a newer
        configuration may name another tenant for it.
        """
        if table.tenants and admitted.tenant is None and not admitted.route.anonymous:
            if not certain:
                return _stale(self._state, "the key is not known")
            return FailureKind.UNAUTHENTICATED.because(
                "the key is missing or unknown",
                remedy="send a key that the operators have configured",
            )
        return unchecked_key_failure(self._state, admitted.fields)


def unchecked_key_failure(state: RouterState, fields: RequestFields) -> Failure | None:
    """Return a failure if the request has a key whose tenant may have changed by now, else None."""
    if not fields.api_key or state.api_keys_fresh:
        return None
    return _stale(state, "the key cannot be checked")


def _stale(state: RouterState, reason: str) -> Failure:
    age_s = state.configuration_age_s
    proven = f"was last proven current {age_s:.1f} s ago"
    if math.isinf(age_s):
        proven = "is not known to be the newest one"
    return FailureKind.CONFIGURATION_STALE.because(
        f"{reason}; the configuration {proven}",
        retry_after_s=STALE_RETRY_AFTER_S,
    )
