"""End-to-end tests on loopback: callers, daemons, engines, platform and operators."""

from __future__ import annotations

import dataclasses
import json
import socket
import unittest

from tests.support import LoopbackFleet, wait_for
from winchfork.core.fleet import ReplicaState
from winchfork.emulator.answers import answer_text
from winchfork.emulator.load import new_command_key
from winchfork.emulator.workload import VIGIE
from winchfork.errors import Failure

_SMALL = dataclasses.replace(VIGIE, engine_replicas=2, application_replicas=2)


class WholePathTest(unittest.TestCase):
    fleet: LoopbackFleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = LoopbackFleet(_SMALL)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.fleet.stop()

    def test_completion_is_explained_by_another_daemon(self) -> None:
        answer = self.fleet.complete("one prompt", 7)
        body = json.loads(answer.body)
        self.assertEqual(body["choices"][0]["text"], answer_text("one prompt", 7))
        self.assertEqual(body["usage"]["completion_tokens"], 7)
        reply = self.fleet.fleet.operator(2).explain(answer.headers["x-request-id"])
        assert not isinstance(reply, Failure)
        steps = [json.loads(step)["step"] for step in reply.steps]
        self.assertEqual(steps, ["arrived", "placed", "first_token", "completed"])

    def test_repeated_prefix_is_reused_through_another_daemon(self) -> None:
        prefix = "a long shared beginning " * 700
        self.fleet.complete(prefix + "first", 2, number=0)
        answer = self.fleet.complete(prefix + "second", 2, number=1)
        cached = json.loads(answer.body)["usage"]["prompt_tokens_details"]["cached_tokens"]
        self.assertEqual(cached, 4 * 1024)

    def test_another_tenant_reuses_no_cached_prompt(self) -> None:
        prompt = "the same text for everyone " * 700
        self.fleet.complete(prompt, 2)
        key = _SMALL.api_key(_SMALL.tenants[1])
        headers = {**self.fleet.headers(), "Authorization": f"Bearer {key}"}
        body = {"model": _SMALL.model, "prompt": prompt, "max_tokens": 2}
        answer = self.fleet.post("/v1/completions", body, headers=headers)
        usage = json.loads(answer.body)["usage"]
        self.assertEqual(usage["prompt_tokens_details"]["cached_tokens"], 0)

    def test_streams_that_break_arrive_complete(self) -> None:
        for fault in ({"break_streams": True}, {"crash": True}):
            with self.subTest(fault=fault):
                self._break_during_stream(fault)

    def _break_during_stream(self, fault: dict[str, bool]) -> None:
        from concurrent.futures import ThreadPoolExecutor

        prompt = f"a prompt for {sorted(fault)}"
        with ThreadPoolExecutor(1) as pool:
            pending = pool.submit(self.fleet.complete, prompt, 60)
            wait_for(self._is_running, "the request to run on an engine")
            for number in range(_SMALL.engine_replicas):
                self.fleet.fault_engine(number, **fault)
            answer = pending.result()
        text = json.loads(answer.body)["choices"][0]["text"]
        self.assertEqual(text, answer_text(prompt, 60))

    def _is_running(self) -> bool:
        return any(
            engine._model.running and engine._model.running[0].generated > 3
            for engine in self.fleet.emulated.engines
        )

    def test_retried_command_runs_once_and_gets_the_same_answer(self) -> None:
        key = new_command_key()
        path = f"/v1/pools/{_SMALL.application_pool}/app/stop"
        headers = self.fleet.headers(Idempotency_Key=key)
        wait_for(lambda: self._voters_grant_claims(), "the voters to vote on new keys")
        answers = [
            self.fleet.post(path, b"stop turbine 9", number=number, headers=headers)
            for number in range(3)
        ]
        self.assertEqual([answer.status for answer in answers], [200, 200, 200])
        self.assertEqual(len({answer.body for answer in answers}), 1)
        runs = sum(
            application.executions().get("stop turbine 9", 0)
            for application in self.fleet.emulated.applications
        )
        self.assertEqual(runs, 1)

    def _voters_grant_claims(self) -> bool:
        headers = self.fleet.headers(
            Idempotency_Key=new_command_key(), X_Winchfork_First_Send="true"
        )
        path = f"/v1/pools/{_SMALL.application_pool}/app/probe"
        return self.fleet.post(path, b"probe", headers=headers).status == 200

    def test_drained_replica_gets_no_new_request(self) -> None:
        operator = self.fleet.fleet.operator()
        reply = operator.set_draining("engine-0", True)
        assert not isinstance(reply, Failure), reply
        daemons = self.fleet.fleet.running()
        wait_for(
            lambda: all(
                replica.state is ReplicaState.LEAVING
                for daemon in daemons
                for replica in [daemon.state.fleet.get("engine-0")]
                if replica is not None
            ),
            "every daemon to mark the replica as leaving",
        )
        before = len(self.fleet.emulated.engines[0]._executions)
        for number in range(9):
            self.assertEqual(self.fleet.complete(f"drain {number}", 2, number % 3).status, 200)
        self.assertEqual(len(self.fleet.emulated.engines[0]._executions), before)
        operator.set_draining("engine-0", False)

    def test_unparsable_http_gets_a_typed_refusal(self) -> None:
        host, _, port = self.fleet.fleet.settings[0].daemon.http_address.rpartition(":")
        too_many = b"".join(b"X-%d: 1\r\n" % number for number in range(300))
        for sent in (
            b"\x00\x01\x02 nonsense\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nX-Long: " + b"a" * 70_000 + b"\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + too_many + b"\r\n",
        ):
            with self.subTest(sent=sent[:30]), socket.create_connection((host, int(port))) as raw:
                raw.sendall(sent)
                answer = b"".join(iter(lambda raw=raw: raw.recv(65_536), b""))  # type: ignore[misc]
                head, _, body = answer.partition(b"\r\n\r\n")
                self.assertTrue(head.startswith((b"HTTP/1.1 4", b"HTTP/1.1 505")))
                error = json.loads(body)["error"]
                self.assertEqual((error["code"], error["ran"]), ("invalid_request", "not_run"))

    def test_bad_requests_get_typed_refusals(self) -> None:
        good = {"model": _SMALL.model, "prompt": "x"}
        cases: list[tuple[bytes, dict[str, str], int, str]] = [
            (b"{", {}, 400, "invalid_request"),
            (b"[1]", {}, 400, "invalid_request"),
            (json.dumps({**good, "max_tokens": 0}).encode(), {}, 400, "invalid_request"),
            (json.dumps({**good, "model": "nope"}).encode(), {}, 404, "not_found"),
            (b"[" * 100_000, {}, 400, "invalid_request"),
            (json.dumps(good).encode(), {"Authorization": "Bearer no"}, 401, "unauthenticated"),
            (json.dumps(good).encode(), {"Authorization": ""}, 401, "unauthenticated"),
            (json.dumps(good).encode(), {"X-Winchfork-Class": "no"}, 400, "invalid_request"),
            (json.dumps(good).encode(), {"X-Winchfork-Deadline-Ms": "-1"}, 400, "invalid_request"),
            (b"x" * (9 * 1024 * 1024), {}, 413, "body_too_large"),
        ]
        for body, headers, status, code in cases:
            with self.subTest(code=code, body=body[:20], headers=headers):
                answer = self.fleet.post(
                    "/v1/completions", body, headers={**self.fleet.headers(), **headers}
                )
                error = json.loads(answer.body)["error"]
                self.assertEqual((answer.status, error["code"]), (status, code))
                self.assertEqual(error["ran"], "not_run")
                self.assertTrue(error["remedy"])


if __name__ == "__main__":
    unittest.main()
