"""Tenants' quotas: the bucket, what daemons tell each other, and the answer to a refusal."""

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
    """Return a bucket that has had time to fill."""
    quota = TenantQuota(LIMIT, tolerance, 0.0)
    quota.refill(RefillShare(), LONG_S)
    return quota


def report(life: int, used: int, returned: int = 0, lately: int = 0) -> QuotaReport:
    """Return a daemon's totals of one tenant."""
    return QuotaReport(life, (QuotaTotals(7, used, returned, lately),))


class BucketTest(unittest.TestCase):
    def test_a_new_daemon_has_forgotten_what_was_used_and_begins_with_nothing(self) -> None:
        quota = TenantQuota(LIMIT, STRICT, 0.0)
        self.assertIsInstance(quota.try_acquire(500.0, RefillShare(), 0.0), QuotaRefusal)
        quota.refill(RefillShare(), 0.5)
        self.assertIsNone(quota.try_acquire(500.0, RefillShare(), 0.5))

    def test_beyond_the_limit_the_wait_is_the_refill(self) -> None:
        quota = full_bucket()
        self.assertIsNone(quota.try_acquire(1_900.0, RefillShare(), LONG_S))
        refusal = quota.try_acquire(1_100.0, RefillShare(), LONG_S)
        assert refusal is not None
        self.assertAlmostEqual(refusal.retry_after_s, 1.0)
        quota.refill(RefillShare(), LONG_S + refusal.retry_after_s)
        self.assertIsNone(quota.try_acquire(1_100.0, RefillShare(), LONG_S + refusal.retry_after_s))

    def test_a_request_larger_than_the_burst_is_served_and_owed(self) -> None:
        quota = full_bucket()
        self.assertIsNone(quota.try_acquire(5_000.0, RefillShare(), LONG_S))
        self.assertEqual(quota.remaining(RefillShare()), -3_000.0)

    def test_a_part_of_the_tolerance_deepens_the_bucket(self) -> None:
        tolerance = QuotaTolerance(window_s=8.0, overage=0.1, slack=1_000.0)
        deeper = BURST_EXCESS_SHARE * (0.1 * (8.0 * 1_000.0 + 2_000.0) + 1_000.0)
        self.assertAlmostEqual(full_bucket(tolerance).remaining(RefillShare()), 2_000.0 + deeper)

    def test_a_lower_limit_keeps_what_was_used(self) -> None:
        quota = full_bucket()
        quota.try_acquire(1_500.0, RefillShare(), LONG_S)
        quota.set_limit(TenantLimit(100.0, 1_000.0, QuotaUnit.TOKENS, 200.0))
        self.assertEqual(quota.remaining(RefillShare()), -500.0)

    def test_one_that_is_alone_uses_its_own_part_and_remembers_the_level(self) -> None:
        quota = full_bucket()
        alone = RefillShare(0.0, 0.05, is_isolated=True)
        quota.refill(alone, LONG_S + 1.0)
        self.assertIsNone(quota.try_acquire(50.0, alone, LONG_S + 1.0))
        self.assertIsInstance(quota.try_acquire(1_000.0, alone, LONG_S + 1.0), QuotaRefusal)
        self.assertEqual(quota.remaining(RefillShare()), 1_950.0)

    def test_what_is_left_of_a_low_bucket_is_not_used_on_an_old_word(self) -> None:
        quota = full_bucket()
        quota.try_acquire(1_500.0, RefillShare(), LONG_S)
        self.assertIsInstance(
            quota.try_acquire(400.0, RefillShare(0.0, 0.01), LONG_S), QuotaRefusal
        )

    def test_a_hubs_word_replaces_all_but_the_latest_own_use(self) -> None:
        quota = full_bucket()
        quota.try_acquire(300.0, RefillShare(), LONG_S)
        quota.try_acquire(200.0, RefillShare(), LONG_S + 1.0)
        quota.replace(700.0, LONG_S + 1.1)
        self.assertEqual(quota.used, 900.0)


class TotalsTest(unittest.TestCase):
    def test_lost_late_and_doubled_messages_do_no_harm(self) -> None:
        totals = [0, 100, 250, 400, 900]
        for seed in range(20):
            generator = random.Random(seed)
            reader = UsageReceiver()
            reader.receive("n1", report(1, 0))
            order = [used for used in totals if generator.random() < 0.7] * 2
            generator.shuffle(order)
            counted = sum(reader.receive("n1", report(1, used)).get(7, 0.0) for used in order)
            self.assertEqual(counted + sum(reader.receive("n1", report(1, 900)).values()), 900)

    def test_what_is_given_back_counts_against_what_was_used(self) -> None:
        reader = UsageReceiver()
        reader.receive("n1", report(1, 0))
        self.assertEqual(reader.receive("n1", report(1, 500)), {7: 500})
        self.assertEqual(reader.receive("n1", report(1, 600, 200)), {7: -100})

    def test_a_restart_begins_at_nothing_and_a_late_message_of_the_life_before_counts_apart(
        self,
    ) -> None:
        reader = UsageReceiver()
        reader.receive("n1", report(1, 5_000))
        self.assertEqual(reader.receive("n1", report(2, 100)), {7: 100})
        self.assertEqual(reader.receive("n1", report(1, 5_000)), {})
        self.assertEqual(reader.receive("n1", report(1, 5_300)), {7: 300})
        self.assertEqual(reader.receive("n1", report(1, 4_900)), {})
        self.assertEqual(reader.receive("n1", report(2, 150)), {7: 50})

    def test_daemons_that_start_again_and_again_fill_no_memory(self) -> None:
        reader = UsageReceiver()
        for life in range(1, 20):
            reader.receive("n1", report(life, 10))
        self.assertEqual(reader.receive("n1", report(16, 10)), {})
        self.assertEqual(reader.receive("n1", report(1, 10)), {7: 10})

    def test_a_late_report_of_a_start_never_heard_does_not_silence_the_one_that_runs(self) -> None:
        """A daemon was first heard after its restart, and a report from before came late.

        Its running start was then taken for the one before, whose reports bring nothing: of 20, 500
        and 9,000 units told of later none was counted, until the daemon started again.
        """
        reader = UsageReceiver()
        reader.receive("n1", report(2, 0))
        reader.receive("n1", report(1, 5_000))
        news = [reader.receive("n1", report(2, used)) for used in (20, 500, 9_000)]
        self.assertEqual(news, [{7: 20}, {7: 480}, {7: 8_500}])

    def test_a_report_of_a_start_that_is_long_over_is_not_counted_again(self) -> None:
        """After two restarts a late report of the first start was taken for a third one.

        Its 5,000 units were counted twice, and the running start no longer at all.
        """
        reader = UsageReceiver()
        for life, used in ((1, 5_000), (2, 100), (3, 10)):
            reader.receive("n1", report(life, used))
        self.assertEqual(reader.receive("n1", report(1, 5_000)), {})
        self.assertEqual(reader.receive("n1", report(3, 60)), {7: 50})

    def test_of_a_stranger_only_what_it_used_lately_counts(self) -> None:
        self.assertEqual(UsageReceiver().receive("n1", report(1, 90_000, 0, 300)), {7: 300})
        news = UsageReceiver().receive("n1", report(1, 90_000, 0, 300), unknown_sender_share=0.5)
        self.assertEqual(news, {7: 150})

    def test_totals_are_told_until_everybody_must_have_heard(self) -> None:
        book = QuotaLedger(STRICT, 1)
        book.install({"school": LIMIT}, 0.0)
        book.try_acquire("school", 500.0, 10.0)
        told = book.own_usage.report(10.5)
        assert told is not None
        self.assertEqual(told.totals, (QuotaTotals(tenant_key("school"), 500, 0, 500),))
        self.assertIsNone(book.own_usage.report(12.0))


class StandstillTest(unittest.TestCase):
    """What flows in while a daemon stands still is its only with the news of the same time."""

    RATE_PER_S = 10.0
    BURST = 20.0
    TICK_S = 0.2
    FROM_S, UNTIL_S = 97.0, 100.0
    #: What flows in within half a second: a tick and what it may be late by.
    MOST_BEFORE_NEWS = 5

    def played(self) -> tuple[QuotaLedger, QuotaLedger, int]:
        """Have one daemon use all that flows in, the other hear of it, and stand still for 3 s.

        Return both, and how many requests the second admits before it reads any news.
        """
        limit = TenantLimit(self.RATE_PER_S, self.BURST)
        running, still = QuotaLedger(STRICT, 1), QuotaLedger(STRICT, 2)
        unread: list[float] = []
        for book in (running, still):
            book.install({"school": limit}, 0.0)
        for step in range(int(self.UNTIL_S / self.TICK_S) + 1):
            now_s = step * self.TICK_S
            running.set_refill_share(RefillShare(), now_s)
            stands_still = self.FROM_S < now_s < self.UNTIL_S
            if not stands_still:
                still.set_refill_share(RefillShare(), now_s)
            while now_s > 90.0 and running.try_acquire("school", 1.0, now_s) is None:
                if now_s > self.FROM_S:
                    unread.append(1.0)
                else:
                    still.add_remote_usage({tenant_key("school"): 1.0}, now_s)
        admitted = 0
        while still.try_acquire("school", 1.0, self.UNTIL_S) is None:
            admitted += 1
        still.add_remote_usage({tenant_key("school"): sum(unread)}, self.UNTIL_S)
        running.add_remote_usage({tenant_key("school"): float(admitted)}, self.UNTIL_S)
        return running, still, admitted

    def test_a_bucket_does_not_fill_over_a_standstill_before_the_news_of_it_is_read(self) -> None:
        """A tenant used all that it may at one daemon; another one had stood still for 3 s.

        When that one went on, what had flowed in over the 3 s counted at once, and the other's use
        in that time lay unread beside the requests: it admitted 20 of them, a whole bucket, beside
        all that the tenant had got at the first. Now that flows in when the news must be there.
        """
        _, _, admitted = self.played()
        self.assertLessEqual(admitted, self.MOST_BEFORE_NEWS)

    def test_nothing_that_flows_in_over_a_standstill_is_lost(self) -> None:
        """Of what flowed in at once all beyond a full bucket was lost, and the news came on top.

        The daemon that had stood still took 11 units for missing that were there.
        """
        running, still, _ = self.played()
        for ticks in range(1, 3):
            running.set_refill_share(RefillShare(), self.UNTIL_S + ticks * self.TICK_S)
            still.set_refill_share(RefillShare(), self.UNTIL_S + ticks * self.TICK_S)
        now_s = self.UNTIL_S + 2 * self.TICK_S
        self.assertAlmostEqual(
            still.remaining(now_s)["school"], running.remaining(now_s)["school"], 6
        )

    def test_what_a_hub_tells_after_a_standstill_has_the_inflow_of_it(self) -> None:
        _, still, _ = self.played()
        empty = QuotaLevels(100, True, False, (QuotaLevel(tenant_key("school"), 20),))
        still.replace(empty, self.UNTIL_S)
        for ticks in range(1, 3):
            still.set_refill_share(RefillShare(), self.UNTIL_S + ticks * self.TICK_S)
        now_s = self.UNTIL_S + 2 * self.TICK_S
        self.assertLessEqual(still.remaining(now_s)["school"], 2 * self.TICK_S * self.RATE_PER_S)


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.book = QuotaLedger(STRICT, 1)
        self.book.install({"school": LIMIT}, 0.0)
        self.metrics = RouterMetrics()
        self.gate = QuotaGate(self.book, lambda: self.now_s, self.metrics)
        self.tenant = TenantPolicy("school", (KEY,), limit=LIMIT)

    def test_a_request_beyond_the_quota_gets_429_and_when_to_come_back(self) -> None:
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

    def test_a_request_that_has_not_run_gives_its_cost_back(self) -> None:
        charge = self.gate.admit(self.tenant, 2_000)
        assert isinstance(charge, QuotaCharge)
        charge.refund()
        self.assertIsInstance(self.gate.admit(self.tenant, 2_000), QuotaCharge)

    def test_a_second_run_counts_again(self) -> None:
        charge = self.gate.admit(self.tenant, 1_000)
        assert isinstance(charge, QuotaCharge)
        charge.charge_again()
        self.assertIsInstance(self.gate.admit(self.tenant, 1_000), Failure)

    def test_one_that_does_not_say_what_it_uses_counts_as_the_operators_say(self) -> None:
        self.gate.admit(self.tenant, None)
        self.assertEqual(self.book.remaining(self.now_s), {"school": 1_800.0})

    def test_a_tenant_without_a_limit_is_never_refused(self) -> None:
        free = TenantPolicy("free", (KEY,))
        self.assertIsNone(self.gate.admit(free, 10**9))


class WireTest(unittest.TestCase):
    def test_a_tenants_limit_is_read_from_the_configuration(self) -> None:
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

    def test_the_tolerance_is_read_from_the_settings(self) -> None:
        text = "Node=n\nZone=z\nIp=10.0.0.1\nListenAddresses.Front=10.0.0.1:1\n"
        text += "ListenAddresses.Readiness=10.0.0.1:2\nPlatform.Address=10.0.0.2:1\n"
        text += "Bounds.QuotaWindowS=8\nBounds.QuotaOverage=0.1\nBounds.QuotaSlack=110000\n"
        settings = parse_settings(text)
        assert not isinstance(settings, Failure)
        self.assertEqual(settings.bounds.quota, QuotaTolerance(8.0, 0.1, 110_000.0))

    def test_a_request_declares_tokens_in_and_out(self) -> None:
        dialect = PlatformHeaderCodec()
        cases = ((b"1460,80", 1_540), (b"1460", 1_460), (None, None))
        for usage, declared in cases:
            headers = [(b"X-Request-Id", b"1")] + ([(b"X-Token-Usage", usage)] if usage else [])
            fields = dialect.read_request(headers)
            assert not isinstance(fields, Failure)
            self.assertEqual(fields.declared_tokens, declared)
