"""Admits requests by their tenants' quotas, before they are queued or placed on a replica."""

from __future__ import annotations

from collections.abc import Callable

from winchfork.core.quota_ledger import QuotaLedger
from winchfork.core.routing import TenantPolicy
from winchfork.errors import Failure, FailureKind
from winchfork.router.metrics import RouterMetrics


class QuotaCharge:
    """What one admitted request has used of its tenant's quota."""

    def __init__(
        self, ledger: QuotaLedger, clock: Callable[[], float], tenant: str, cost: float
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._tenant = tenant
        self._cost = cost

    def charge_again(self) -> None:
        """Count a request that is sent to another replica though it may have run."""
        self._ledger.charge(self._tenant, self._cost, self._clock())

    def refund(self) -> None:
        """Give back the cost of a request that has not run and will not be sent again."""
        self._ledger.charge(self._tenant, -self._cost, self._clock())


class QuotaGate:
    """Admits requests, or refuses them with the time after which to retry."""

    def __init__(
        self, ledger: QuotaLedger, clock: Callable[[], float], metrics: RouterMetrics
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._metrics = metrics

    def admit(
        self, tenant: TenantPolicy | None, declared_tokens: int | None
    ) -> QuotaCharge | Failure | None:
        """Charge a request to its tenant; None if the tenant has no limit.

        The cost is in the unit of the tenant's limit. Without enough quota left, return a failure
        with the seconds until the request would be admitted.
        """
        if tenant is None or tenant.limit is None:
            return None
        cost = tenant.limit.cost(declared_tokens)
        refusal = self._ledger.try_acquire(tenant.name, cost, self._clock())
        if refusal is None:
            self._metrics.quota_used.labels(tenant.name).inc(round(cost))
            return QuotaCharge(self._ledger, self._clock, tenant.name, cost)
        self._metrics.quota_refused.labels(tenant.name).inc(round(cost))
        unit = tenant.limit.unit.value
        coverage = self._ledger.refill_share.coverage
        return FailureKind.QUOTA_EXCEEDED.because(
            f"tenant {tenant.name} has {refusal.remaining:.0f} {unit} left of its quota of "
            f"{tenant.limit.rate_per_s:.0f} per second, by the usage reports of {coverage:.0%} of "
            f"the routers; this request costs {cost:.0f}",
            remedy="retry after the given time, or ask the operators for a higher limit",
            retry_after_s=refusal.retry_after_s,
        )
