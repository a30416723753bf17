"""Tests of the soak's checks: what counts as a violation and what a disruption excuses."""

from __future__ import annotations

import unittest

from standins.answer_faults import ReplicaFault
from standins.notice_checks import Sender, check_notices
from standins.notice_emitter import Arrival, Backoff, NoticeEmitter
from standins.replica_server import FatalRun, Generation, ReceivedOrder, ReplicaServer
from standins.rollout_operator import RolloutReport
from standins.soak.callers import Reply, StreamReply
from standins.soak.checks import (
    check_commands,
    check_orders,
    check_rollout,
    check_stream,
    check_unrelated_refusals,
)
from standins.soak.disruptions import ALL_ROUTERS, STALL, DisruptionLog
from standins.soak.fatal_parts import check_fatal_parts
from standins.soak.fatal_requests import check_fatal_requests
from standins.soak.weights_checks import (
    LateGeneration,
    describe_late,
    late_generations,
    replicas_behind,
)
from standins.store_server import StoreServer
from standins.weights_operator import PublishedWeights

BOUND_S = 4.0
CONTACT_S = 3.0
#: Router numbers: SENDER sends the checked requests, OTHER does not.
SENDER = 1
OTHER = 2
PUBLISHED = (PublishedWeights(1, 0.0), PublishedWeights(2, 100.0), PublishedWeights(3, 101.0))


class ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class VersionCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = DisruptionLog(CONTACT_S, self.clock, lambda line: None)

    def disrupt(self, router: int, from_s: float, until_s: float) -> None:
        self.clock.now_s = from_s
        with self.log.during("fault", router):
            self.clock.now_s = until_s

    def late(self, version: int, began_s: float, arrived_s: float | None = None) -> list[float]:
        """Return by how many seconds a generation is late, or an empty list."""
        arrival_s = began_s - 0.02 if arrived_s is None else arrived_s
        generation = Generation("r", "i-1", version, arrival_s, began_s)
        found = late_generations([generation], PUBLISHED, {"r": Sender(SENDER)}, self.log, BOUND_S)
        return [round(item.late_s, 3) for item in found]

    def test_a_version_may_be_used_within_the_bound_after_its_successor(self) -> None:
        self.assertEqual(self.late(1, 103.99), [])
        self.assertEqual(self.late(1, 104.01), [4.01])
        self.assertEqual(self.late(2, 104.99), [])
        self.assertEqual(self.late(2, 105.01), [4.01])
        self.assertEqual(self.late(3, 200.0), [])

    def test_the_bound_starts_anew_after_a_disruption_of_the_store(self) -> None:
        self.disrupt(ALL_ROUTERS, 102.0, 103.0)
        self.assertEqual(self.late(1, 109.99), [])
        self.assertEqual(self.late(1, 110.01), [4.01])

    def test_a_disruption_before_the_publication_excuses_nothing(self) -> None:
        self.disrupt(ALL_ROUTERS, 80.0, 90.0)
        self.assertEqual(self.late(1, 104.01), [4.01])

    def test_nothing_counts_during_a_store_disruption_and_shortly_after(self) -> None:
        self.disrupt(ALL_ROUTERS, 110.0, 111.0)
        self.assertEqual(self.late(1, 109.9), [9.9])
        self.assertEqual(self.late(1, 110.5), [])
        self.assertEqual(self.late(1, 113.9), [])

    def test_an_ongoing_store_disruption_excuses_all_routers(self) -> None:
        self.clock.now_s = 102.0
        with self.log.during("store down"):
            self.assertEqual(self.late(1, 120.0), [])

    def test_a_request_that_arrived_during_a_store_disruption_does_not_count(self) -> None:
        self.disrupt(ALL_ROUTERS, 90.0, 102.0)
        self.assertEqual(self.late(1, 109.1, arrived_s=104.9), [])
        self.assertEqual(self.late(1, 109.1, arrived_s=105.1), [4.1])

    def test_a_stall_excuses_requests_of_its_router_shortly_after(self) -> None:
        self.disrupt(SENDER, 102.0, 105.0)
        self.assertEqual(self.late(1, 107.9), [])
        self.assertEqual(self.late(1, 108.1), [8.1])

    def test_a_stall_excuses_no_other_router(self) -> None:
        self.disrupt(OTHER, 102.0, 110.0)
        self.assertEqual(self.late(1, 104.5), [4.5])

    def test_a_reset_excuses_its_router_for_the_contact_time(self) -> None:
        self.clock.now_s = 104.0
        self.log.record_instant("reset", SENDER)
        self.assertEqual(self.late(1, 106.9), [])
        self.assertEqual(self.late(1, 107.1), [7.1])

    def test_late_generations_are_grouped_by_router_replica_and_version(self) -> None:
        generations = [Generation(f"r-{at_s}", "i-1", 1, at_s, at_s) for at_s in (106.0, 105.0)]
        late = [LateGeneration(item, SENDER, 2, item.started_at_s - 100.0) for item in generations]
        (line,) = describe_late(late)
        self.assertIn("2 requests of router 1 began on version 1 at i-1, 6.00 s after", line)
        self.assertTrue(line.endswith("the first r-105.0"))


class FinalVersionCheckTest(unittest.IsolatedAsyncioTestCase):
    async def test_replicas_without_the_version_in_time_are_returned(self) -> None:
        store = StoreServer()
        replicas = [ReplicaServer(store, f"i-{number}", "models", "zone", "m") for number in (1, 2)]
        replicas[0].weights_version = 2
        self.assertEqual(await replicas_behind(lambda: replicas, 2, 0.0), [replicas[1]])
        replicas[1].weights_version = 2
        self.assertEqual(await replicas_behind(lambda: replicas, 2, 0.0), [])


class AnswerCheckTest(unittest.TestCase):
    def test_a_stream_has_each_event_once_and_in_order(self) -> None:
        def violations(body: bytes, *, whole: bool) -> int:
            return len(check_stream(StreamReply("s", 2, Reply(200, body, whole))))

        whole = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        self.assertEqual(violations(whole, whole=True), 0)
        self.assertEqual(violations(whole[:20], whole=False), 0)
        self.assertEqual(violations(b"id: 1\ndata: a\n\n", whole=True), 1)
        self.assertEqual(violations(b"id: 2\ndata: b\n\n", whole=False), 1)
        self.assertEqual(violations(whole + whole, whole=True), 2)

    def test_a_command_runs_at_most_once_and_not_after_a_not_run_status(self) -> None:
        store = StoreServer()
        replica = ReplicaServer(store, "i-1", "editing", "zone")

        def violations(status: int, runs: int) -> int:
            replica.ran = ["c"] * runs
            return len(check_commands({"c": Reply(status, b"", True)}, [replica]))

        self.assertEqual(
            [violations(200, 1), violations(503, 0), violations(504, 1), violations(0, 1)], [0] * 4
        )
        self.assertEqual([violations(200, 0), violations(503, 1), violations(504, 2)], [1] * 3)
        self.assertEqual(violations(503, 2), 2)

    def test_the_holder_does_not_change_within_the_lease_bound(self) -> None:
        replica = ReplicaServer(StoreServer(), "i-1", "models", "zone", "m")

        def violations(*orders: ReceivedOrder) -> int:
            replica.orders = list(orders)
            return len(check_orders([replica]))

        first = ReceivedOrder(10.0, "a", 5)
        self.assertEqual(violations(first, ReceivedOrder(10.5, "a", 5)), 0)
        self.assertEqual(violations(first, ReceivedOrder(13.1, "b", 6)), 0)
        self.assertEqual(violations(first, ReceivedOrder(12.9, "b", 6)), 1)
        self.assertEqual(violations(first, ReceivedOrder(13.1, "b", 5)), 1)


class RolloutCheckTest(unittest.TestCase):
    def violations(self, fault: ReplicaFault, state: str, on_target: int = 10) -> int:
        report = RolloutReport("models", "v2", state, 8.0, on_target, 100, on_target // 2)
        return len(check_rollout(report, fault))

    def test_a_faulty_version_is_not_completed_and_stays_within_its_budget(self) -> None:
        for fault in (ReplicaFault.FAILS, ReplicaFault.SLOW):
            self.assertEqual(self.violations(fault, "rolled_back"), 0)
            self.assertEqual(self.violations(fault, "rolled_back", on_target=60), 0)
            self.assertEqual(self.violations(fault, "rolled_back", on_target=61), 1)
            self.assertEqual(self.violations(fault, "completed"), 1)
            self.assertEqual(self.violations(fault, "completed", on_target=61), 2)

    def test_a_sound_version_may_have_either_outcome_but_needs_a_final_status(self) -> None:
        self.assertEqual(self.violations(ReplicaFault.NONE, "completed", on_target=90), 0)
        self.assertEqual(self.violations(ReplicaFault.NONE, "rolled_back"), 0)
        self.assertEqual(self.violations(ReplicaFault.NONE, ""), 1)


if __name__ == "__main__":
    unittest.main()


class FatalRequestCheckTest(unittest.TestCase):
    """After three crashes under one body, undisrupted routers may forward it only a few times."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = DisruptionLog(CONTACT_S, self.clock, lambda line: None)

    def check(self, *runs: FatalRun) -> list[str]:
        replica = ReplicaServer(StoreServer(), "i-1", "models", "z")
        replica.fatal_runs = list(runs)
        senders = {run.request_id: Sender(SENDER) for run in runs}
        return check_fatal_requests([replica], senders, self.log, CONTACT_S)

    def runs(self, *began_s: float) -> list[FatalRun]:
        return [FatalRun(b"fatal", f"r{at_s}", at_s, at_s + 0.1) for at_s in began_s]

    def test_three_further_runs_are_allowed_and_a_fourth_is_not(self) -> None:
        first = self.runs(1.0, 2.0, 3.0)
        self.assertEqual(self.check(*first, *self.runs(10.0, 11.0, 12.0)), [])
        self.assertEqual(len(self.check(*first, *self.runs(10.0, 11.0, 12.0, 13.0))), 1)

    def test_runs_within_the_contact_time_do_not_count(self) -> None:
        early = self.runs(3.2, 4.0, 5.0, 6.0)
        self.assertEqual(self.check(*self.runs(1.0, 2.0, 3.0), *early), [])

    def test_a_disrupted_sender_and_a_disrupted_store_are_excused(self) -> None:
        for router in (SENDER, ALL_ROUTERS):
            with self.subTest(router=router):
                self.setUp()
                self.clock.now_s = 9.0
                with self.log.during("fault", router):
                    self.clock.now_s = 12.0
                runs = [*self.runs(1.0, 2.0, 3.0), *self.runs(10.0, 11.0, 12.0, 13.0)]
                self.assertEqual(self.check(*runs), [])

    def test_the_refusal_of_a_harmless_request_is_a_violation(self) -> None:
        refused = Reply(500, b'{"code": "ends_replicas"}', True)
        self.assertEqual(check_unrelated_refusals([Reply(500, b"spoiled", True)]), [])
        self.assertEqual(len(check_unrelated_refusals([refused, refused])), 1)


class FatalPartCheckTest(unittest.TestCase):
    """After five crashes under one part, undisrupted routers may forward it only a few times."""

    def check(self, *began_s: float) -> list[str]:
        replica = ReplicaServer(StoreServer(), "i-1", "models", "z")
        replica.fatal_runs = [
            FatalRun(b"%.1f" % at_s, f"r{at_s}", at_s, at_s + 0.1, frozenset({"bad"}))
            for at_s in began_s
        ]
        senders = {run.request_id: Sender(SENDER) for run in replica.fatal_runs}
        log = DisruptionLog(CONTACT_S, ManualClock(), lambda line: None)
        return check_fatal_parts([replica], senders, log, CONTACT_S)

    def test_three_unlike_requests_are_allowed_after_the_fifth_crash_and_a_fourth_is_not(
        self,
    ) -> None:
        first = (1.0, 2.0, 3.0, 4.0, 5.0)
        self.assertEqual(self.check(*first, 20.0, 21.0, 22.0), [])
        self.assertEqual(len(self.check(*first, 20.0, 21.0, 22.0, 23.0)), 1)
        self.assertEqual(self.check(*first[1:], 20.0, 21.0, 22.0, 23.0), [])


class NoticeCheckTest(unittest.TestCase):
    """Requests to replicas that announced draining or a backoff, and what excuses them."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.log = DisruptionLog(CONTACT_S, lambda: self.now_s, lambda line: None)
        self.notices = NoticeEmitter()
        self.senders: dict[str, Sender] = {}

    def arrive(self, at_s: float, router: int = SENDER) -> Arrival:
        arrival = Arrival(f"r{len(self.senders)}", at_s)
        self.senders[arrival.request_id] = Sender(router, at_s)
        self.notices.arrivals.append(arrival)
        return arrival

    def stall(self, from_s: float, until_s: float) -> None:
        self.now_s = from_s
        with self.log.during(STALL, SENDER):
            self.now_s = until_s

    def violations(self) -> int:
        emitters = [("i-1", self.notices)]
        return len(check_notices(emitters, self.senders, self.log.process_disrupted_between))

    def test_a_request_over_two_seconds_after_a_draining_answer(self) -> None:
        self.notices.draining_answers.append(self.arrive(10.0))
        self.arrive(11.9)
        self.arrive(20.0, router=SENDER + 1)
        self.assertEqual(self.violations(), 0)
        self.arrive(12.1)
        self.assertEqual(self.violations(), 1)

    def test_a_stall_after_a_draining_answer_excuses_and_one_before_does_not(self) -> None:
        self.stall(8.0, 9.0)
        self.notices.draining_answers.append(self.arrive(10.0))
        self.arrive(13.0)
        self.assertEqual(self.violations(), 1)
        self.stall(11.0, 12.0)
        self.assertEqual(self.violations(), 0)

    def test_a_third_request_within_a_backoff(self) -> None:
        refused = self.arrive(10.0)
        self.notices.backoffs.append(Backoff(refused.request_id, 10.0, 13.0))
        for at_s in (10.4, 10.6, 12.9, 13.1):
            self.arrive(at_s)
        self.arrive(11.0, router=SENDER + 1)
        self.assertEqual(self.violations(), 0)
        self.arrive(12.0)
        self.assertEqual(self.violations(), 1)
        self.stall(11.0, 11.5)
        self.assertEqual(self.violations(), 0)
