"""Whole routers over loopback: streams, rollouts, planned stops and loss of the store."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from standins.answer_faults import ReplicaFault
from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from standins.replica_server import ReplicaServer
from tests.relay_support import ReceivedAnswer, read_answer
from winchfork.router import process
from winchfork.router.settings import RouterSettings

_TIMEOUT_S = 25.0
#: Duration that operators order for a software rollout.
ROLLOUT_S = 9.0
_HEAD = (
    "POST {path} HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
    "X-Key: {key}\r\nX-Deadline-Ms: 6000\r\n{extra}Content-Length: 4\r\n\r\nbody"
)


def _request(request_id: str, tokens_out: int = 0) -> bytes:
    if not tokens_out:
        return _HEAD.format(path="/roster/x", request_id=request_id, key=API_KEY, extra="").encode()
    extra = (
        f"X-Model: {MODEL}\r\nX-Token-Usage: 1460,{tokens_out}\r\n"
        "X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    )
    text = _HEAD.format(path="/review/x", request_id=request_id, key=API_KEY, extra=extra)
    return text.encode()


async def _send(address: str, message: bytes) -> ReceivedAnswer:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(message)
    answer = await asyncio.wait_for(read_answer(reader), _TIMEOUT_S)
    writer.close()
    return answer


async def _ask(settings: RouterSettings, message: bytes) -> ReceivedAnswer:
    return await _send(settings.caller_address, message)


async def _probe(settings: RouterSettings) -> int:
    """Return the status of the readiness page."""
    request = b"GET /readiness HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n"
    return (await _send(settings.readiness_address, request)).status


def _event_ids(answer: ReceivedAnswer) -> list[int]:
    lines = answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.deployment = LoopbackDeployment()
        await self.deployment.start()
        await asyncio.wait_for(self.deployment.wait_until_ready(), _TIMEOUT_S)
        self.crashed_router_settings: RouterSettings | None = None

    async def asyncTearDown(self) -> None:
        await self.deployment.stop()

    async def test_streams_and_commands_pass_through_every_router(self) -> None:
        for number, settings in enumerate(self.deployment.settings):
            stream = await _ask(settings, _request(f"stream-{number}", tokens_out=12))
            self.assertTrue(stream.whole)
            self.assertEqual(_event_ids(stream), list(range(1, 13)))
            command = await _ask(settings, _request(f"command-{number}"))
            self.assertEqual(command.status, 200)
        ran = [name for replica in self.deployment.application_replicas for name in replica.ran]
        self.assertEqual(sorted(ran), ["command-0", "command-1", "command-2"])

    async def test_a_truncated_stream_resumes_at_another_replica(self) -> None:
        self.deployment.allow_retries()
        for replica in self.deployment.model_replicas:
            replica.truncate_at_event = 5
        answer = await _ask(self.deployment.settings[0], _request("truncated", tokens_out=9))
        # Both replicas truncate the stream, so the caller's answer must be truncated too.
        self.assertFalse(answer.whole)
        self.assertEqual(_event_ids(answer), [1, 2, 3, 4])
        self.assertEqual(len(self._replicas_that_ran("truncated")), 2)
        for number in range(3):
            first = await self._truncate_the_next_stream(number)
            name = f"whole-{number}"
            answer = await _ask(self.deployment.settings[0], _request(name, tokens_out=9))
            self.assertTrue(answer.whole)
            self.assertEqual(_event_ids(answer), list(range(1, 10)))
            ran = self._replicas_that_ran(name)
            self.assertEqual(len(ran), 2)
            self.assertIn(first, ran)

    async def test_a_stream_truncated_while_no_retry_is_allowed_stays_truncated(self) -> None:
        for replica in self.deployment.model_replicas:
            replica.truncate_at_event = 5
        answer = await _ask(self.deployment.settings[0], _request("truncated", tokens_out=9))
        self.assertFalse(answer.whole)
        self.assertEqual(_event_ids(answer), [1, 2, 3, 4])
        self.assertEqual(len(self._replicas_that_ran("truncated")), 1)

    async def _truncate_the_next_stream(self, number: int) -> ReplicaServer:
        """Find the replica that streams are sent to and let it truncate the next one."""
        name = f"before-{number}"
        answer = await _ask(self.deployment.settings[0], _request(name, tokens_out=9))
        self.assertTrue(answer.whole)
        (replica,) = self._replicas_that_ran(name)
        for other in self.deployment.model_replicas:
            other.truncate_at_event = 0
        replica.truncate_at_event = 5
        return replica

    def _replicas_that_ran(self, request_id: str) -> list[ReplicaServer]:
        return [replica for replica in self.deployment.model_replicas if request_id in replica.ran]

    async def test_weights_are_rolled_out_while_streams_pass(self) -> None:
        settings = self.deployment.settings
        self.deployment.publish_weights(2)
        number = 0
        while any(replica.weights_version != 2 for replica in self.deployment.model_replicas):
            self.assertLess(number, 2000)
            answer = await _ask(settings[number % 3], _request(f"during-{number}", tokens_out=3))
            self.assertIn(answer.status, (200, 503))
            self.assertTrue(answer.whole)
            number += 1
        fences = {replica.fence for replica in self.deployment.model_replicas}
        self.assertEqual(len(fences), 1)

    async def test_a_failing_version_is_rolled_back_and_a_sound_one_is_not_judged_bad(self) -> None:
        """New weights are rolled out meanwhile, and the leader crashes.

        Whether the sound version completes in time depends on the machine's speed;
        ``test_software_failures`` asserts that on a virtual clock.
        """
        sound, failing = await self._roll(ReplicaFault.NONE, ReplicaFault.FAILS)
        self.assertEqual(failing, "rolled_back")
        self.assertIn(sound, ("completed", "rolled_back"))
        for router in self.deployment.routers:
            if router.state.settings is not self.crashed_router_settings:
                self.assertEqual(router.state.software.effective_state("models").judged_bad, ())

    async def test_a_slow_version_and_one_that_fails_late_are_rolled_back(self) -> None:
        outcomes = await self._roll(ReplicaFault.SLOW, ReplicaFault.FAILS_LATE)
        self.assertEqual(outcomes, ("rolled_back", "rolled_back"))

    async def _roll(self, models: ReplicaFault, applications: ReplicaFault) -> tuple[str, str]:
        """Roll out both services' software under traffic; crash the leader meanwhile."""
        deployment = self.deployment
        stop = asyncio.Event()
        callers = [asyncio.create_task(self._call(number, stop)) for number in range(12)]
        orders = asyncio.gather(
            deployment.model_rollouts.roll_out(models, ROLLOUT_S),
            deployment.application_rollouts.roll_out(applications, ROLLOUT_S),
        )
        await asyncio.sleep(1.0)
        deployment.publish_weights(2)
        await asyncio.sleep(0.8)
        self.crashed_router_settings = deployment.crash_leader()
        reports = await orders
        stop.set()
        await asyncio.gather(*callers)
        for report, fault in zip(reports, (models, applications), strict=True):
            self.assertLess(report.duration_s, ROLLOUT_S + 0.5)
            if fault is not ReplicaFault.NONE:
                self.assertLessEqual(
                    report.target_requests, 0.1 * report.total_requests + 50, report
                )
        return reports[0].state, reports[1].state

    async def _call(self, caller: int, stop: asyncio.Event) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            settings = self.deployment.settings[(caller + number) % 3]
            if settings is self.crashed_router_settings:
                continue
            tokens_out = 3 if number % 2 else 0
            try:
                await _ask(settings, _request(f"roll-{caller}-{number}", tokens_out))
            except (OSError, asyncio.IncompleteReadError):
                # The caller's router has crashed.
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.02)

    async def test_a_planned_stop_finishes_running_streams(self) -> None:
        router, settings = self.deployment.routers[0], self.deployment.settings[0]
        request = asyncio.create_task(_ask(settings, _request("stopping", tokens_out=300)))
        while not router.service.active_requests:
            await asyncio.sleep(0.01)
        router.request_stop()
        answer = await request
        self.assertTrue(answer.whole)
        self.assertEqual(_event_ids(answer), list(range(1, 301)))
        await asyncio.wait_for(self.deployment.tasks[0], _TIMEOUT_S)
        with self.assertRaises(OSError):
            await _ask(settings, _request("late", tokens_out=3))

    async def test_a_stopping_router_refuses_late_callers_until_its_last_stream_ends(self) -> None:
        """A load balancer may send callers to a stopping router if too few others are ready."""
        router, settings = self.deployment.routers[0], self.deployment.settings[0]
        for replica in self.deployment.model_replicas:
            replica.token_interval_s = 0.012
        request = asyncio.create_task(_ask(settings, _request("stopping", tokens_out=300)))
        while not router.service.active_requests:
            await asyncio.sleep(0.01)
        with mock.patch.object(process, "LOAD_BALANCER_DRAIN_S", 0.1):
            router.request_stop()
            while not router.service.refusing_requests:
                await asyncio.sleep(0.01)
        for number in range(3):
            late = await _ask(settings, _request(f"late-{number}", tokens_out=3))
            self.assertEqual(late.status, 503)
            self.assertIn(b"stopping", late.body)
            self.assertEqual(late.headers["connection"], "close")
            self.assertEqual(await _probe(settings), 503)
        self.assertFalse(request.done())
        answer = await request
        self.assertTrue(answer.whole)
        self.assertEqual(_event_ids(answer), list(range(1, 301)))
        await asyncio.wait_for(self.deployment.tasks[0], _TIMEOUT_S)
        for address in (settings.caller_address, settings.readiness_address):
            with self.assertRaises(OSError):
                await _send(address, b"")
        ran = [name for replica in self.deployment.model_replicas for name in replica.ran]
        self.assertEqual(ran, ["stopping"])

    async def test_a_store_outage_fails_closed_until_the_store_returns(self) -> None:
        settings, router = self.deployment.settings[0], self.deployment.routers[0]
        self.deployment.store.down = True
        while router.state.api_keys_fresh:
            await asyncio.sleep(0.05)
        refused = await _ask(settings, _request("stale"))
        self.assertEqual(refused.status, 503)
        self.assertIn(b"configuration_stale", refused.body)
        self.deployment.store.down = False
        while not router.state.api_keys_fresh:
            await asyncio.sleep(0.05)
        self.assertEqual((await _ask(settings, _request("fresh"))).status, 200)
