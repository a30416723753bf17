"""Picks ports for listeners whose address must be known before they bind.

Ports are picked below the ephemeral range, so that no outgoing connection can take one before it
is bound.
"""

from __future__ import annotations

import random
import socket

#: Below the usual ephemeral range (32,768 and up).
FIRST_PORT = 20_000
LAST_PORT = 32_000
_MAX_ATTEMPTS = 200


def free_port(ip: str = "127.0.0.1", kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of ``ip`` that is not bound now; raise OSError if none is found."""
    generator = random.SystemRandom()
    for _ in range(_MAX_ATTEMPTS):
        port = generator.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port on {ip} between {FIRST_PORT} and {LAST_PORT}")


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return ``count`` different ports of ``ip`` that are not bound now.

    Separate calls of :func:`free_port` may return the same port until it is bound.
    """
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port(ip))
    return sorted(ports)
