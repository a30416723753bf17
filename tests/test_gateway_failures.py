"""Injects crashes, outages, lost answers and races into a whole loopback fleet."""

from __future__ import annotations

import dataclasses
import json
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.support import LoopbackFleet, wait_for
from winchfork.backends.engine_port import EngineOrder, OrderKind
from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.backends.openai_engine import OpenAiEngine
from winchfork.control.convert import configuration_to_message
from winchfork.control.leader import Leadership
from winchfork.core.configuration import Configuration
from winchfork.emulator.answers import answer_text
from winchfork.emulator.workload import HIMAL
from winchfork.errors import Failure, FailureKind
from winchfork.stores.etcd_json import EtcdJsonStore

_SMALL = dataclasses.replace(HIMAL, engine_replicas=2, application_replicas=1)


class CrashTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = LoopbackFleet(_SMALL)
        self.addCleanup(self.fleet.stop)

    def _crash(self, number: int) -> None:
        daemon = self.fleet.fleet.daemons[number]
        assert daemon is not None
        daemon.stop_at_once()
        self.fleet.fleet.daemons[number] = None

    def test_stored_request_survives_the_crash_of_the_daemon_that_accepted_it(self) -> None:
        for engine in range(2):
            self.fleet.fault_engine(engine, accepting=False)
        prompt = "a page that may wait " * 900
        headers = self.fleet.headers(Prefer="respond-async", X_Winchfork_Class="overnight")
        body = {"model": _SMALL.model, "prompt": prompt, "max_tokens": 5}
        accepted = self.fleet.post("/v1/completions", body, 0, headers)
        self.assertEqual(accepted.status, 202)
        waiting_id = json.loads(accepted.body)["id"]
        self._crash(0)
        for engine in range(2):
            self.fleet.fault_engine(engine, accepting=True)
        wait_for(lambda: self._fetch(waiting_id)["status"] == "done", "the answer to be recorded")
        self.assertEqual(self._fetch(waiting_id)["text"], answer_text(prompt, 5))

    def _fetch(self, waiting_id: str) -> dict[str, str]:
        answer = self.fleet.client.exchange(
            HttpRequest(
                "GET", f"{self.fleet.url(1)}/v1/requests/{waiting_id}", b"", self.fleet.headers()
            )
        )
        assert not isinstance(answer, Failure)
        found: dict[str, str] = json.loads(answer.body)
        return found

    def test_planned_stop_truncates_no_stream(self) -> None:
        prompts = [f"a stream during a stop {number}" for number in range(6)]
        with ThreadPoolExecutor(6) as pool:
            pending = [pool.submit(self.fleet.complete, prompt, 80, 0) for prompt in prompts]
            daemon = self.fleet.fleet.daemons[0]
            assert daemon is not None
            wait_for(lambda: daemon.state.admission.open_count == 6, "all six streams to run")
            daemon.stop()
            self.fleet.fleet.daemons[0] = None
            answers = [future.result() for future in pending]
        for prompt, answer in zip(prompts, answers, strict=True):
            text = json.loads(answer.body)["choices"][0]["text"]
            self.assertEqual(text, answer_text(prompt, 80))

    def test_restarted_daemon_serves_with_the_store_down(self) -> None:
        self.fleet.emulated.platform.inject({"down": True})
        self._crash(1)
        # An outgoing connection of this process may hold the port for a moment.
        wait_for(lambda: self.fleet.fleet.start_daemon(1) is None, "the daemon to start")
        wait_for(
            lambda: self.fleet.complete("first", 2, 1).status == 200,
            "the restarted daemon to serve",
        )


class StoreAndOperatorTest(unittest.TestCase):
    fleet: LoopbackFleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = LoopbackFleet(_SMALL)
        cls.addClassCleanup(cls.fleet.stop)

    def test_waiting_request_is_refused_not_lost_when_the_store_is_down(self) -> None:
        self.fleet.emulated.platform.inject({"down": True})
        headers = self.fleet.headers(Prefer="respond-async", X_Winchfork_Class="overnight")
        body = {"model": _SMALL.model, "prompt": "x", "max_tokens": 2}
        answer = self.fleet.post("/v1/completions", body, 0, headers)
        self.fleet.emulated.platform.inject({"down": False})
        error = json.loads(answer.body)["error"]
        self.assertEqual((error["code"], error["ran"]), ("store_unavailable", "not_run"))
        self.assertIn("retry-after", answer.headers)

    def test_configuration_is_installed_although_the_answer_of_its_write_is_lost(self) -> None:
        operator = self.fleet.fleet.operator(0)
        current = operator.get_configuration()
        assert not isinstance(current, Failure)
        self.fleet.emulated.platform.inject({"lose_answers": 1})
        changed = _SMALL.configuration().model_copy(update={"draining": ("engine-1",)})
        reply = operator.apply_configuration(configuration_to_message(changed), current.revision)
        assert not isinstance(reply, Failure), reply
        self.assertGreater(reply.revision, current.revision)
        wait_for(
            lambda: all(
                daemon.state.configuration.current.revision == reply.revision
                for daemon in self.fleet.fleet.running()
            ),
            "every daemon to install the configuration",
        )

    def test_one_of_racing_operators_wins_and_the_others_get_a_typed_conflict(self) -> None:
        current = self.fleet.fleet.operator(0).get_configuration()
        assert not isinstance(current, Failure)

        def apply(number: int) -> object:
            names = (f"app-{number}",)
            changed = _SMALL.configuration().model_copy(update={"draining": names})
            message = configuration_to_message(changed)
            return self.fleet.fleet.operator(number).apply_configuration(message, current.revision)

        with ThreadPoolExecutor(3) as pool:
            replies = list(pool.map(apply, range(3)))
        conflicts = [reply for reply in replies if isinstance(reply, Failure)]
        self.assertEqual(len(conflicts), 2)
        for conflict in conflicts:
            assert isinstance(conflict, Failure)
            self.assertIs(conflict.kind, FailureKind.REVISION_CONFLICT)

    def test_daemons_install_no_configuration_of_the_same_or_a_lower_revision(self) -> None:
        revision = self.fleet.fleet.running()[0].state.configuration.current.revision
        for daemon in self.fleet.fleet.running():
            self.assertFalse(daemon.state.configuration.install(revision, Configuration()))
            self.assertFalse(daemon.state.configuration.install(revision - 1, Configuration()))
            self.assertEqual(daemon.state.configuration.current.revision, revision)

    def test_full_pool_outage_is_not_amplified(self) -> None:
        for engine in range(2):
            self.fleet.fault_engine(engine, accepting=False)
        with ThreadPoolExecutor(8) as pool:
            answers = list(
                pool.map(lambda number: self.fleet.complete(f"p{number}", 2, number % 3), range(60))
            )
        self.assertTrue(all(answer.status == 503 for answer in answers))
        for answer in answers:
            self.assertEqual(json.loads(answer.body)["error"]["ran"], "not_run")
        executions = sum(len(engine._executions) for engine in self.fleet.emulated.engines)
        self.assertEqual(executions, 0)


class RolloutTest(unittest.TestCase):
    def test_rollout_reaches_every_replica_and_every_daemon_under_load(self) -> None:
        fleet = LoopbackFleet(_SMALL)
        self.addCleanup(fleet.stop)
        reply = fleet.fleet.operator(1).start_rollout(_SMALL.engine_pool, 2, 1)
        self.assertNotIsInstance(reply, Failure)

        def is_done() -> bool:
            for number in range(3):
                # Daemons route while replicas change. On a starved machine a replica's report can
                # time out, which gives a typed refusal and is no fault.
                answer = fleet.complete(f"during {number}", 1, number)
                if answer.status != 200:
                    self.assertEqual(json.loads(answer.body)["error"]["ran"], "not_run")
            seen = [
                replica.identity.weights_version if replica.identity else 0
                for daemon in fleet.fleet.running()
                for replica in daemon.state.fleet.replicas()
                if replica.pool == _SMALL.engine_pool
            ]
            return seen == [2] * 6

        wait_for(is_done, "every daemon to see the new weights on every replica")


class FenceTest(unittest.TestCase):
    fleet: LoopbackFleet
    engine: OpenAiEngine

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = LoopbackFleet(_SMALL)
        cls.addClassCleanup(cls.fleet.stop)
        cls.engine = OpenAiEngine(HttpClient())

    def test_engine_refuses_a_lower_fence(self) -> None:
        address = self.fleet.emulated.engines[0].address
        first = self.engine.order(address, EngineOrder(OrderKind.SET_ROLE, 7, role="serving"))
        self.assertNotIsInstance(first, Failure)
        late = self.engine.order(address, EngineOrder(OrderKind.LOAD_WEIGHTS, 6, version=2))
        assert isinstance(late, Failure)
        self.assertIs(late.kind, FailureKind.FENCE_MISMATCH)

    def test_paused_leader_loses_its_lease_by_its_own_clock(self) -> None:
        store = EtcdJsonStore(HttpClient(), [self.fleet.emulated.platform.address])
        now_s = [0.0]
        leader = Leadership(store, "/leader", "one", clock=lambda: now_s[0])
        fence = leader.acquire_or_renew()
        self.assertGreater(fence, 0)
        self.assertTrue(leader.is_valid())
        now_s[0] += 5.0
        self.assertFalse(leader.is_valid())
        other = Leadership(store, "/leader", "two")
        self.assertEqual(other.acquire_or_renew(), 0)

    def test_weights_change_invalidates_the_cached_prompt(self) -> None:
        prompt = "a prompt that is cached under old weights " * 400
        self.fleet.complete(prompt, 2)
        for engine in self.fleet.emulated.engines:
            order = EngineOrder(OrderKind.LOAD_WEIGHTS, 9, version=2)
            self.assertNotIsInstance(self.engine.order(engine.address, order), Failure)
        answer = self.fleet.complete(prompt, 2)
        usage = json.loads(answer.body)["usage"]
        self.assertEqual(usage["prompt_tokens_details"]["cached_tokens"], 0)

    def test_crashed_engine_reuses_no_cached_prompt(self) -> None:
        prompt = "a prompt whose engine comes back empty " * 400
        self.fleet.complete(prompt, 2)
        for engine in range(2):
            self.fleet.fault_engine(engine, crash=True)
        answer = self.fleet.complete(prompt, 2)
        self.assertEqual(answer.status, 200)
        usage = json.loads(answer.body)["usage"]
        self.assertEqual(usage["prompt_tokens_details"]["cached_tokens"], 0)


if __name__ == "__main__":
    unittest.main()
