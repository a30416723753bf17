"""The part of a stream that a caller has received, across all attempts of its request."""

from __future__ import annotations

from collections.abc import Callable

from winchfork.backends.engine_port import StreamPiece
from winchfork.errors import Failure, FailureKind, RunState


class StreamProgress:
    """Forwards the pieces that continue the stream, and keeps the text and tokens forwarded."""

    def __init__(self, deliver: Callable[[str], Failure | None]) -> None:
        self.tokens = 0
        self.parts: list[str] = []
        self.cached_tokens = 0
        self.started = False
        self._deliver = deliver

    @property
    def text(self) -> str:
        """All text forwarded."""
        return "".join(self.parts)

    def forward(self, piece: StreamPiece) -> Failure | None:
        """Forward a piece that continues the stream; ignore a repeat; fail on any other piece."""
        if piece.offset + piece.token_count <= self.tokens:
            return None
        if piece.offset != self.tokens:
            return FailureKind.STREAM_BROKEN.because(
                f"a piece at {piece.offset} does not continue the stream at {self.tokens}",
                ran=RunState.UNKNOWN,
            )
        failure = self._deliver(piece.text)
        if failure is None:
            self.tokens += piece.token_count
            self.parts.append(piece.text)
        return failure
