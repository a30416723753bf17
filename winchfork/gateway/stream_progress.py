"""What a caller has received of a stream so far; survives the attempts."""

from __future__ import annotations

from collections.abc import Callable

from winchfork.backends.engine_port import StreamPiece
from winchfork.errors import Failure, FailureKind, RunState


class StreamProgress:
    """The text passed on; a piece counts only if it continues the stream."""

    def __init__(self, deliver: Callable[[str], Failure | None]) -> None:
        self.tokens = 0
        self.parts: list[str] = []
        self.cached_tokens = 0
        self.started = False
        self._deliver = deliver

    @property
    def text(self) -> str:
        """Everything passed on."""
        return "".join(self.parts)

    def forward(self, piece: StreamPiece) -> Failure | None:
        """Pass one piece on if it continues the stream; drop a repeat; refuse a gap."""
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
