"""Tenants' quotas: the bucket, usage reports between daemons, refusals and wire formats."""

from __future__ import annotations

import random
import unittest

from tests.relay_support import KEY
from winchfork.core.quota_ledger import (
    QuotaLedger,
    QuotaLevel,
    QuotaLevels,
    QuotaReport,
    QuotaTotals,
    UsageReceiver,
    tenant_key,
)
from winchfork.core.routing import TenantPolicy
from winchfork.core.tenant_quota import (
    BURST_EXCESS_SHARE,
    QuotaRefusal,
    QuotaTolerance,
    QuotaUnit,
    RefillShare,
    TenantLimit,
    TenantQuota,
)
from winchfork.errors import Failure, FailureKind
from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.platform.headers import PlatformHeaderCodec
from winchfork.platform.settings import parse_settings
from winchfork.router.metrics import RouterMetrics
from winchfork.router.quota_gate import QuotaCharge, QuotaGate
from winchfork.router.refusals import refusal_answer
from winchfork.stores.async_key_value import StoreItem

LIMIT = TenantLimit(1_000.0, 2_000.0, QuotaUnit.TOKENS, 200.0)
STRICT = QuotaTolerance()
LONG_S = 1_000.0


def full_bucket(tolerance: QuotaTolerance = STRICT) -> TenantQuota:
    """Return a full bucket."""
    quota = TenantQuota(LIMIT, tolerance, 0.0)
    quota.refill(RefillShare(), LONG_S)
    return quota


def report(start_id: int, used: int, returned: int = 0, recent: int = 0) -> QuotaReport:
    """Return a report with a daemon's totals of one tenant."""
    return QuotaReport(start_id, (QuotaTotals(7, used, returned, recent),))


class BucketTest(unittest.TestCase):
    def test_bucket_of_a_new_daemon_starts_empty(self) -> None:
        quota = TenantQuota(LIMIT, STRICT, 0.0)
        self.assertIsInstance(quota.try_acquire(500.0, RefillShare(), 0.0), QuotaRefusal)
        quota.refill(RefillShare(), 0.5)
        self.assertIsNone(quota.try_acquire(500.0, RefillShare(), 0.5))

    def test_refusal_waits_for_the_refill_of_the_missing_units(self) -> None:
        quota = full_bucket()
        self.assertIsNone(quota.try_acquire(1_900.0, RefillShare(), LONG_S))
        refusal = quota.try_acquire(1_100.0, RefillShare(), LONG_S)
        assert refusal is not None
        self.assertAlmostEqual(refusal.retry_after_s, 1.0)
        quota.refill(RefillShare(), LONG_S + refusal.retry_after_s)
        self.assertIsNone(quota.try_acquire(1_100.0, RefillShare(), LONG_S + refusal.retry_after_s))

    def test_request_larger_than_the_burst_overdraws_the_bucket(self) -> None:
        quota = full_bucket()
        self.assertIsNone(quota.try_acquire(5_000.0, RefillShare(), LONG_S))
        self.assertEqual(quota.remaining(RefillShare()), -3_000.0)

    def test_share_of_the_tolerance_deepens_the_bucket(self) -> None:
        tolerance = QuotaTolerance(window_s=8.0, overage=0.1, slack=1_000.0)
        deeper = BURST_EXCESS_SHARE * (0.1 * (8.0 * 1_000.0 + 2_000.0) + 1_000.0)
        self.assertAlmostEqual(full_bucket(tolerance).remaining(RefillShare()), 2_000.0 + deeper)

    def test_lowered_limit_keeps_the_used_units(self) -> None:
        quota = full_bucket()
        quota.try_acquire(1_500.0, RefillShare(), LONG_S)
        quota.set_limit(TenantLimit(100.0, 1_000.0, QuotaUnit.TOKENS, 200.0))
        self.assertEqual(quota.remaining(RefillShare()), -500.0)

    def test_isolated_daemon_uses_its_own_part_and_keeps_the_level(self) -> None:
        quota = full_bucket()
        isolated = RefillShare(0.0, 0.05, is_isolated=True)
        quota.refill(isolated, LONG_S + 1.0)
        self.assertIsNone(quota.try_acquire(50.0, isolated, LONG_S + 1.0))
        self.assertIsInstance(quota.try_acquire(1_000.0, isolated, LONG_S + 1.0), QuotaRefusal)
        self.assertEqual(quota.remaining(RefillShare()), 1_950.0)

    def test_low_bucket_is_not_used_up_without_coverage(self) -> None:
        quota = full_bucket()
        quota.try_acquire(1_500.0, RefillShare(), LONG_S)
        self.assertIsInstance(
            quota.try_acquire(400.0, RefillShare(0.0, 0.01), LONG_S), QuotaRefusal
        )

    def test_hub_report_replaces_all_but_the_latest_own_usage(self) -> None:
        quota = full_bucket()
        quota.try_acquire(300.0, RefillShare(), LONG_S)
        quota.try_acquire(200.0, RefillShare(), LONG_S + 1.0)
        quota.replace(700.0, LONG_S + 1.1)
        self.assertEqual(quota.used, 900.0)


class TotalsTest(unittest.TestCase):
    def test_lost_late_and_duplicate_messages_are_corrected_by_the_next(self) -> None:
        totals = [0, 100, 250, 400, 900]
        for seed in range(20):
            generator = random.Random(seed)
            receiver = UsageReceiver()
            receiver.receive("n1", report(1, 0))
            order = [used for used in totals if generator.random() < 0.7] * 2
            generator.shuffle(order)
            counted = sum(receiver.receive("n1", report(1, used)).get(7, 0.0) for used in order)
            self.assertEqual(counted + sum(receiver.receive("n1", report(1, 900)).values()), 900)

    def test_returned_units_are_subtracted_from_used_ones(self) -> None:
        receiver = UsageReceiver()
        receiver.receive("n1", report(1, 0))
        self.assertEqual(receiver.receive("n1", report(1, 500)), {7: 500})
        self.assertEqual(receiver.receive("n1", report(1, 600, 200)), {7: -100})

    def test_each_start_of_a_daemon_is_counted_separately(self) -> None:
        receiver = UsageReceiver()
        receiver.receive("n1", report(1, 5_000))
        self.assertEqual(receiver.receive("n1", report(2, 100)), {7: 100})
        self.assertEqual(receiver.receive("n1", report(1, 5_000)), {})
        self.assertEqual(receiver.receive("n1", report(1, 5_300)), {7: 300})
        self.assertEqual(receiver.receive("n1", report(1, 4_900)), {})
        self.assertEqual(receiver.receive("n1", report(2, 150)), {7: 50})

    def test_remembered_starts_are_bounded(self) -> None:
        receiver = UsageReceiver()
        for start_id in range(1, 20):
            receiver.receive("n1", report(start_id, 10))
        self.assertEqual(receiver.receive("n1", report(16, 10)), {})
        self.assertEqual(receiver.receive("n1", report(1, 10)), {7: 10})

    def test_late_report_of_an_unknown_start_does_not_affect_the_current_one(self) -> None:
        """Guards against treating the current start as the former one and ignoring its reports."""
        receiver = UsageReceiver()
        receiver.receive("n1", report(2, 0))
        receiver.receive("n1", report(1, 5_000))
        usage = [receiver.receive("n1", report(2, used)) for used in (20, 500, 9_000)]
        self.assertEqual(usage, [{7: 20}, {7: 480}, {7: 8_500}])

    def test_late_report_of_a_former_start_is_not_counted_again(self) -> None:
        """Guards against treating a former start as a new one and counting its units twice."""
        receiver = UsageReceiver()
        for start_id, used in ((1, 5_000), (2, 100), (3, 10)):
            receiver.receive("n1", report(start_id, used))
        self.assertEqual(receiver.receive("n1", report(1, 5_000)), {})
        self.assertEqual(receiver.receive("n1", report(3, 60)), {7: 50})

    def test_only_recent_usage_of_an_unknown_sender_counts(self) -> None:
        self.assertEqual(UsageReceiver().receive("n1", report(1, 90_000, 0, 300)), {7: 300})
        usage = UsageReceiver().receive("n1", report(1, 90_000, 0, 300), unknown_sender_share=0.5)
        self.assertEqual(usage, {7: 150})

    def test_totals_are_resent_within_the_resend_window_only(self) -> None:
        ledger = QuotaLedger(STRICT, 1)
        ledger.install({"school": LIMIT}, 0.0)
        ledger.try_acquire("school", 500.0, 10.0)
        sent = ledger.own_usage.report(10.5)
        assert sent is not None
        self.assertEqual(sent.totals, (QuotaTotals(tenant_key("school"), 500, 0, 500),))
        self.assertIsNone(ledger.own_usage.report(12.0))


class StallTest(unittest.TestCase):
    """The refill during a daemon's stall is released only once that time's usage is counted."""

    RATE_PER_S = 10.0
    BURST = 20.0
    TICK_S = 0.2
    FROM_S, UNTIL_S = 97.0, 100.0
    #: Units refilled within half a second: one tick and its possible delay.
    MAX_ADMITTED_UNINFORMED = 5

    def _run_through_stall(self) -> tuple[QuotaLedger, QuotaLedger, int]:
        """Stall one daemon for 3 s while another uses the whole refill.

        Return the running daemon's ledger, the stalled one's, and the number of requests that the
        stalled daemon admits before it reads the reports of the usage during its stall.
        """
        limit = TenantLimit(self.RATE_PER_S, self.BURST)
        running, stalled = QuotaLedger(STRICT, 1), QuotaLedger(STRICT, 2)
        unread_usage: list[float] = []
        for ledger in (running, stalled):
            ledger.install({"school": limit}, 0.0)
        for step in range(int(self.UNTIL_S / self.TICK_S) + 1):
            now_s = step * self.TICK_S
            running.set_refill_share(RefillShare(), now_s)
            is_stalled = self.FROM_S < now_s < self.UNTIL_S
            if not is_stalled:
                stalled.set_refill_share(RefillShare(), now_s)
            while now_s > 90.0 and running.try_acquire("school", 1.0, now_s) is None:
                if now_s > self.FROM_S:
                    unread_usage.append(1.0)
                else:
                    stalled.add_remote_usage({tenant_key("school"): 1.0}, now_s)
        admitted = 0
        while stalled.try_acquire("school", 1.0, self.UNTIL_S) is None:
            admitted += 1
        stalled.add_remote_usage({tenant_key("school"): sum(unread_usage)}, self.UNTIL_S)
        running.add_remote_usage({tenant_key("school"): float(admitted)}, self.UNTIL_S)
        return running, stalled, admitted

    def test_refill_of_a_stall_waits_for_the_reports_of_its_usage(self) -> None:
        """Guards against admitting a whole bucket after a stall, before the reports are read."""
        _, _, admitted = self._run_through_stall()
        self.assertLessEqual(admitted, self.MAX_ADMITTED_UNINFORMED)

    def test_refill_of_a_stall_is_not_lost(self) -> None:
        """Guards against a refill that is capped at a full bucket before the usage is counted."""
        running, stalled, _ = self._run_through_stall()
        for ticks in range(1, 3):
            running.set_refill_share(RefillShare(), self.UNTIL_S + ticks * self.TICK_S)
            stalled.set_refill_share(RefillShare(), self.UNTIL_S + ticks * self.TICK_S)
        now_s = self.UNTIL_S + 2 * self.TICK_S
        self.assertAlmostEqual(
            stalled.remaining(now_s)["school"], running.remaining(now_s)["school"], 6
        )

    def test_hub_report_after_a_stall_includes_the_refill_of_the_stall(self) -> None:
        _, stalled, _ = self._run_through_stall()
        empty = QuotaLevels(100, True, False, (QuotaLevel(tenant_key("school"), 20),))
        stalled.replace(empty, self.UNTIL_S)
        for ticks in range(1, 3):
            stalled.set_refill_share(RefillShare(), self.UNTIL_S + ticks * self.TICK_S)
        now_s = self.UNTIL_S + 2 * self.TICK_S
        self.assertLessEqual(stalled.remaining(now_s)["school"], 2 * self.TICK_S * self.RATE_PER_S)


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.ledger = QuotaLedger(STRICT, 1)
        self.ledger.install({"school": LIMIT}, 0.0)
        self.metrics = RouterMetrics()
        self.gate = QuotaGate(self.ledger, lambda: self.now_s, self.metrics)
        self.tenant = TenantPolicy("school", (KEY,), limit=LIMIT)

    def test_request_beyond_the_quota_gets_429_with_retry_after(self) -> None:
        self.assertIsInstance(self.gate.admit(self.tenant, 1_900), QuotaCharge)
        refused = self.gate.admit(self.tenant, 1_100)
        assert isinstance(refused, Failure)
        self.assertIs(refused.kind, FailureKind.QUOTA_EXCEEDED)
        self.assertTrue(refused.remedy)
        answer = refusal_answer(refused, "id", random.Random(1))
        self.assertEqual(answer.status, 429)
        self.assertGreaterEqual(float(dict(answer.headers)[b"Retry-After"]), 1.0)
        page = self.metrics.render().decode()
        self.assertIn('winchfork_quota_used_total{tenant="school"} 1900.0', page)
        self.assertIn('winchfork_quota_refused_total{tenant="school"} 1100.0', page)

    def test_request_that_has_not_run_is_refunded(self) -> None:
        charge = self.gate.admit(self.tenant, 2_000)
        assert isinstance(charge, QuotaCharge)
        charge.refund()
        self.assertIsInstance(self.gate.admit(self.tenant, 2_000), QuotaCharge)

    def test_second_run_is_charged_again(self) -> None:
        charge = self.gate.admit(self.tenant, 1_000)
        assert isinstance(charge, QuotaCharge)
        charge.charge_again()
        self.assertIsInstance(self.gate.admit(self.tenant, 1_000), Failure)

    def test_request_without_declared_tokens_has_the_configured_cost(self) -> None:
        self.gate.admit(self.tenant, None)
        self.assertEqual(self.ledger.remaining(self.now_s), {"school": 1_800.0})

    def test_tenant_without_a_limit_is_never_refused(self) -> None:
        free = TenantPolicy("free", (KEY,))
        self.assertIsNone(self.gate.admit(free, 10**9))


class WireTest(unittest.TestCase):
    def test_tenant_limit_is_read_from_the_configuration(self) -> None:
        text = b"""{"Version": 7, "Tenants": [
            {"Name": "a", "Unit": "tokens", "UncachedTokens": 200, "RatePerS": 297131,
             "Burst": 1000},
            {"Name": "b", "RatePerS": 5, "Burst": 2}, {"Name": "c"}, {"Name": "d", "RatePerS": 0}
        ]}"""
        table = PlatformDocumentCodec().read(StoreItem("op/config", text, 1))
        assert table is not None and not isinstance(table, Failure)
        limits = [tenant.limit for tenant in getattr(table, "tenants", ())]
        self.assertEqual(limits[0], TenantLimit(297_131.0, 1_000.0, QuotaUnit.TOKENS, 200.0))
        self.assertEqual(limits[1], TenantLimit(5.0, 2.0, QuotaUnit.REQUESTS, 1.0))
        self.assertEqual(limits[2:], [None, None])

    def test_tolerance_is_read_from_the_settings(self) -> None:
        text = "Node=n\nZone=z\nIp=10.0.0.1\nListenAddresses.Front=10.0.0.1:1\n"
        text += "ListenAddresses.Readiness=10.0.0.1:2\nPlatform.Address=10.0.0.2:1\n"
        text += "Bounds.QuotaWindowS=8\nBounds.QuotaOverage=0.1\nBounds.QuotaSlack=110000\n"
        settings = parse_settings(text)
        assert not isinstance(settings, Failure)
        self.assertEqual(settings.bounds.quota, QuotaTolerance(8.0, 0.1, 110_000.0))

    def test_declared_tokens_are_the_sum_of_input_and_output(self) -> None:
        codec = PlatformHeaderCodec()
        cases = ((b"1460,80", 1_540), (b"1460", 1_460), (None, None))
        for usage, declared in cases:
            headers = [(b"X-Request-Id", b"1")] + ([(b"X-Token-Usage", usage)] if usage else [])
            fields = codec.read_request(headers)
            assert not isinstance(fields, Failure)
            self.assertEqual(fields.declared_tokens, declared)
