"""WSGI helpers shared by the emulated servers."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.wrappers import Request, Response

from winchfork.gateway.server import WsgiApplication

Handler = Callable[[Request], WsgiApplication]


def json_response(body: Any, status: int = 200) -> Response:
    """Return a response with ``body`` as JSON."""
    return Response(json.dumps(body), status=status, content_type="application/json")


def route_requests(
    routes: dict[tuple[str, str], Handler],
) -> Callable[[dict[str, Any], Any], Iterable[bytes]]:
    """Return a WSGI application for exact (method, path) routes.

    An unknown route is answered with 404, and a KeyError, ValueError or TypeError of a handler
    with 400.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        handler = routes.get((request.method, request.path))
        if handler is None:
            response: WsgiApplication = json_response({"error": "no such path"}, 404)
        else:
            try:
                response = handler(request)
            except (KeyError, ValueError, TypeError) as error:
                response = json_response({"error": f"{type(error).__name__}: {error}"}, 400)
        return response(environ, start_response)

    return application
