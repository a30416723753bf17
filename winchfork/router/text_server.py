"""A minimal HTTP server for the readiness and metrics pages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from winchfork.router.http_types import REASONS, render_headers
from winchfork.router.read_buffer import BoundedReadProtocol

#: Limit on one request, its body included.
MAX_REQUEST_BYTES = 8 * 1024
#: Seconds within which the next request must be complete.
REQUEST_TIMEOUT_S = 15.0

#: Returns the status, content type and body for a path.
PageReader = Callable[[str], tuple[int, bytes, bytes]]


class TextConnection(BoundedReadProtocol):
    """One connection; answers each request with the page for its path."""

    def __init__(self, read_page: PageReader) -> None:
        super().__init__()
        self._read_page = read_page
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""
        #: Bytes of reads since the last complete request.
        self._request_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._writing_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._restart_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection on invalid HTTP or too large a request."""
        self._request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()
        if self._request_bytes > MAX_REQUEST_BYTES:
            self._close()

    def pause_writing(self) -> None:
        """Read no more requests until the pages have been read."""
        self._writing_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on reading requests."""
        self._writing_paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in pieces."""
        self._target += url

    def on_message_complete(self) -> None:
        """Write the page; close the connection if pages are asked for and not read."""
        if self._writing_paused:
            self._close()
            return
        self._request_bytes = 0
        self._restart_timer()
        path = self._target.partition(b"?")[0].decode("latin-1")
        status, content_type, body = self._read_page(path)
        keep_alive = self._parser.should_keep_alive()
        headers = [
            (b"Content-Type", content_type),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"keep-alive" if keep_alive else b"close"),
        ]
        line = b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Unknown"))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(render_headers(line, headers) + body)
            if not keep_alive:
                self._transport.close()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._close)

    def _close(self) -> None:
        """Close the connection at once, and drop what has not been read."""
        if self._transport is not None:
            self._transport.abort()
