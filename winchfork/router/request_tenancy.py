"""The tenant of one request, by the configuration in force each time that the request is sent.

A request may wait, be retried or be continued after it was admitted. Meanwhile its key may pass to
another tenant, and tenants may become isolated.
"""

from __future__ import annotations

from winchfork.core.prompt_parts import CacheScope
from winchfork.core.routing import RoutingTable, TenantPolicy
from winchfork.errors import Failure
from winchfork.router.request_admission import AdmittedRequest, unchecked_key_failure
from winchfork.router.state import RouterState


class RequestTenancy:
    """Whose name a request runs in, and whose cache it may use."""

    def __init__(self, state: RouterState, admitted: AdmittedRequest) -> None:
        self._state = state
        self._admitted = admitted

    @property
    def _table(self) -> RoutingTable:
        assert self._state.routing_table is not None
        return self._state.routing_table

    @property
    def tenant(self) -> TenantPolicy | None:
        """The tenant that holds the request's key, or held it when the request was admitted."""
        key, former = self._admitted.fields.api_key, self._admitted.tenant
        holder = self._table.tenant_of(key) if key else None
        if holder is not None or former is None:
            return holder
        return self._table.tenant_named(former.name) or former

    def scope(self, model: str) -> CacheScope:
        """Return the cache that the request may use.

        While the tenants cannot be proven, any of them may have become isolated, so each uses its
        own, and so do the requests of none.
        """
        tenant = self.tenant
        isolated = tenant is not None and tenant.isolated
        return CacheScope.for_tenant(
            tenant.name if tenant else "",
            isolated or not self._state.tenants_fresh,
            model,
            self._table.shared_isolation_key,
        )

    def refusal(self) -> Failure | None:
        """Return why the request must not begin to run in its tenant's name; None if it may."""
        return unchecked_key_failure(self._state, self._admitted.fields)
