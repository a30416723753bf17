"""A minimal HTTP server for the readiness and metrics pages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from winchfork.router.http_types import REASONS, render_headers

#: Returns the status, content type and body for a path.
PageReader = Callable[[str], tuple[int, bytes, bytes]]


class TextConnection(asyncio.Protocol):
    """One connection; answers each request with the page for its path."""

    def __init__(self, read_page: PageReader) -> None:
        self._read_page = read_page
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection on invalid HTTP."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in pieces."""
        self._target += url

    def on_message_complete(self) -> None:
        """Write the page."""
        path = self._target.partition(b"?")[0].decode("latin-1")
        status, content_type, body = self._read_page(path)
        keep_alive = self._parser.should_keep_alive()
        headers = [
            (b"Content-Type", content_type),
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"keep-alive" if keep_alive else b"close"),
        ]
        line = b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Unknown"))
        if self._transport is not None:
            self._transport.write(render_headers(line, headers) + body)
            if not keep_alive:
                self._transport.close()
