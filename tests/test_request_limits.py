"""Requests with trailers, and requests that are refused while they are read."""

from __future__ import annotations

import asyncio
import unittest

from tests.relay_case import RelayTestCase
from tests.relay_support import KEY, ScriptedReplica, answering, chunk, read_answer, signed

_HEAD = (
    "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 4000\r\n"
    f"X-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class RequestTrailersTest(RelayTestCase):
    async def test_trailers_of_a_request_are_not_taken_for_headers(self) -> None:
        """Guards against headers that follow the body and were never checked as headers."""
        replica = ScriptedReplica(answering(lambda request: signed(request, b"done")))
        relay = await self.relay(replica)
        reader, writer = await relay.connect()
        writer.write(_HEAD.encode() + chunk(b"body") + b"0\r\nX-Late: 1\r\nX-Later: 2\r\n\r\n")
        answer = await asyncio.wait_for(read_answer(reader), 5.0)
        writer.close()
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(replica.received[0].body, b"body")
        self.assertNotIn("x-late", replica.received[0].headers)

    async def test_trailers_without_end_are_refused(self) -> None:
        """Guards against a caller whose trailers are kept without a bound."""
        relay = await self.relay(ScriptedReplica(answering(lambda request: signed(request, b""))))
        last_chunk = _HEAD.encode() + chunk(b"body") + b"0\r\n"
        parts = (
            (last_chunk, b"X-Late: 1\r\n" * 100),
            (last_chunk + b"X-Late: ", b"17" * 1_000),
            (_HEAD.encode() + b"4;", b"a=b;" * 500),
        )
        for beginning, repeated in parts:
            with self.subTest(repeated=repeated[:10]):
                reader, writer = await relay.connect()
                writer.write(beginning)
                for _ in range(40):
                    writer.write(repeated)
                    await asyncio.sleep(0.001)
                answer = await asyncio.wait_for(read_answer(reader), 5.0)
                writer.close()
                self.assertEqual(answer.status, 431)


if __name__ == "__main__":
    unittest.main()
