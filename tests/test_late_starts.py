"""Logs and metrics tell a version dated late from a prompt that waited at its replica."""

from __future__ import annotations

import asyncio

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import ReceivedRequest, ScriptedReplica, chunk, event, stream_head
from tests.test_weights_bounds import FollowingFleet
from tests.virtual_loop import run_virtually
from winchfork.core.routing import RouteKind
from winchfork.core.start_margin import START_MARGIN_S
from winchfork.core.weight_rollout import VersionHistory
from winchfork.logs import configure_logs


async def slow_to_begin(
    request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Send the head at once and the first event after the replica's weights have expired."""
    writer.write(stream_head(request))
    await asyncio.sleep(START_MARGIN_S + 0.5)
    writer.write(chunk(event(1)) + b"0\r\n\r\n")
    await writer.drain()
    return True


class LateStartLogTest(RelayTestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        configure_logs("info", self.lines.append)
        self.addCleanup(configure_logs, "error")

    def line(self, event_name: str) -> str:
        return next(line for line in self.lines if f"event={event_name} " in line)

    async def test_a_first_event_after_the_expiry_is_logged_and_counted(self) -> None:
        relay = await self.relay(ScriptedReplica(slow_to_begin), kind=RouteKind.STREAMING)
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        history.add(2, relay.state.clock())
        asking = asyncio.create_task(relay.ask(method="POST", extra=PROMPT_HEADERS))
        await asyncio.sleep(0.3)
        # A peer's report of an earlier naming ends the bound while the request is queued.
        history.update_published_at(2, relay.state.clock() - bound_s)
        await asking
        self.assertEqual(relay.state.metrics.late_starts.value, 1)
        self.assertIn("late_s=", self.line("stream_started_late"))
        self.assertIn("weights_margin_s=", self.line("request_sent"))
        done = self.line("request_done")
        head_s = float(done.split(" head_s=")[1].split()[0])
        first_event_s = float(done.split(" first_event_s=")[1].split()[0])
        self.assertGreater(first_event_s - head_s, START_MARGIN_S)

    def test_the_naming_of_a_version_logs_what_it_is_dated_by(self) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            fleet.name(2)
            await asyncio.sleep(0.1)

        run_virtually(main())
        line = self.line("weights_named")
        for field in (" via=watch ", " dated_s_ago=", " assumed=", " known_s="):
            self.assertIn(field, f"{line} ")
