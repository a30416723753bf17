"""Guards against events of another attempt in a caller's stream."""

from __future__ import annotations

import json
import unittest

from winchfork.backends.engine_port import StreamCallbacks, StreamPiece
from winchfork.backends.openai_engine import _StreamReader
from winchfork.errors import FailureKind, RunState


def _event(attempt_id: str) -> bytes:
    body = {
        "id": attempt_id,
        "offset": 0,
        "token_count": 1,
        "choices": [{"index": 0, "text": "word ", "finish_reason": None}],
    }
    return f"data: {json.dumps(body)}\n\n".encode()


class CrossedAnswerTest(unittest.TestCase):
    def test_event_of_another_attempt_fails_the_stream_and_is_not_delivered(self) -> None:
        pieces: list[StreamPiece] = []
        callbacks = StreamCallbacks(lambda start: None, pieces.append, lambda: None)
        reader = _StreamReader("mine", callbacks)
        reader.on_http_start(200, {})
        self.assertIsNone(reader.on_data(_event("mine")))
        failure = reader.on_data(_event("another"))
        assert failure is not None
        self.assertIs(failure.kind, FailureKind.STREAM_BROKEN)
        self.assertIs(failure.ran, RunState.UNKNOWN)
        self.assertEqual(len(pieces), 1)


if __name__ == "__main__":
    unittest.main()
