"""Which replicas may continue a stream while the software of their service is rolled out."""

from __future__ import annotations

import asyncio
import random
import unittest

from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.software_state import RolloutOutcome, SoftwarePhase, SoftwareState, StopCause
from winchfork.core.stream_origin import StreamOrigin
from winchfork.errors import Failure, FailureKind
from winchfork.router.continued_request import ContinuedRequest
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.stream_origins import StreamOrigins

ORDER = 7


class ContinuingSoftwareTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = RouterSettings("n1", "z1", "g", "", "", "", "", software_rollouts=True)
        self.state = RouterState(settings, lambda: 100.0, random.Random(1))
        self.state.freshness.prove(100.0)
        for number, software in enumerate(("v1", "v1", "v2", "v2", "v3")):
            listing = ReplicaListing(
                f"i-{number}", "s", f"a:{number}", "z1", 8, True, software=software
            )
            self.state.fleet.install(listing)

    def install(self, phase: SoftwarePhase, **fields: object) -> None:
        """Install the record of a rollout from v1 to v2."""
        record = SoftwareState("s", "v1", phase, "v2", 0.1, order_revision=ORDER, **fields)  # type: ignore[arg-type]
        self.state.software.install(record, ORDER)

    def continuing(self, software: str) -> list[str]:
        """Return the replicas that may continue a stream of a version."""
        replicas = self.state.fleet.of_service("s")
        found = self.state.software.continuing_replicas("s", replicas, software)
        return [replica.replica_id for replica in found]

    def test_only_its_own_version_continues_a_stream(self) -> None:
        self.assertEqual(self.continuing("v1"), ["i-0", "i-1"])
        self.assertEqual(self.continuing("v3"), ["i-4"])
        self.assertEqual(self.continuing("v4"), [])

    def test_a_trial_is_continued_at_its_replicas(self) -> None:
        self.install(SoftwarePhase.TRIAL, trial_replicas=1)
        self.assertEqual(len(self.continuing("v2")), 1)
        self.assertEqual(self.continuing("v1"), ["i-0", "i-1"])

    def test_a_target_without_a_current_proof_continues_nothing(self) -> None:
        """Guards against requests to a bad version from a router that has lost the store."""
        self.install(SoftwarePhase.MOVING)
        self.assertEqual(self.continuing("v2"), ["i-2", "i-3"])
        self.state.clock = lambda: 110.0
        self.assertEqual(self.continuing("v2"), [])

    def test_a_stopped_or_rejected_target_continues_nothing(self) -> None:
        """Guards against streams that take a bad version beyond its share."""
        self.install(SoftwarePhase.MOVING)
        self.state.software.stop("s", ORDER, StopCause.BAD, reported_by="n2")
        self.assertEqual(self.continuing("v2"), [])
        self.assertEqual(self.continuing("v1"), ["i-0", "i-1"])

    def test_a_target_that_was_rolled_back_continues_nothing(self) -> None:
        self.install(SoftwarePhase.STABLE, outcome=RolloutOutcome.ROLLED_BACK)
        self.assertEqual(self.continuing("v2"), [])

    def test_the_version_before_finishes_what_it_began(self) -> None:
        """Guards against streams that are cut when a rollout completes."""
        self.install(SoftwarePhase.MOVED)
        self.assertEqual(self.continuing("v1"), ["i-0", "i-1"])
        self.assertEqual(self.continuing("v2"), ["i-2", "i-3"])


class _Charge:
    refunds = 0

    def refund(self) -> None:
        self.refunds += 1


class _Origins(StreamOrigins):
    """Answers with ``answer``, or never."""

    answer: StreamOrigin | Failure | None = None

    def __init__(self) -> None:
        pass

    async def find(self, admitted: object) -> StreamOrigin | Failure:
        if self.answer is None:
            await asyncio.Event().wait()
        assert self.answer is not None
        return self.answer


class ContinuedRequestTest(unittest.IsolatedAsyncioTestCase):
    def request(self, answer: StreamOrigin | Failure | None) -> ContinuedRequest:
        self.refused: list[FailureKind] = []
        self.charge = _Charge()
        origins = _Origins()
        origins.answer = answer
        return ContinuedRequest(
            origins,
            None,  # type: ignore[arg-type]
            self.fail,
            lambda failure: self.refused.append(failure.kind),
            self.charge,  # type: ignore[arg-type]
        )

    async def test_a_refused_request_costs_no_quota(self) -> None:
        unknown = FailureKind.STREAM_ORIGIN_UNKNOWN
        await self.request(unknown.because("unknown")).run()
        self.assertEqual((self.refused, self.charge.refunds), ([unknown], 1))

    async def test_a_caller_that_has_left_gets_nothing(self) -> None:
        request = self.request(StreamOrigin("s", "v1"))
        request.caller_disconnected()
        await request.run()
        self.assertEqual((self.refused, self.charge.refunds), ([], 1))

    async def test_a_request_that_a_stop_cuts_is_refused_as_not_run(self) -> None:
        task = asyncio.create_task(self.request(None).run())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual((self.refused, self.charge.refunds), ([FailureKind.STOPPING], 1))
