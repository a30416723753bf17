"""Ports for listeners that are named before they are bound.

A port that the system hands out for port 0 may be taken by an outgoing connection between being
named and being bound. Ports below the range of outgoing connections are only taken by listeners.
"""

from __future__ import annotations

import random
import socket

#: Below the usual range of ports of outgoing connections (32,768 and up).
FIRST_PORT = 20_000
LAST_PORT = 32_000
_TRIES = 200


def free_port(ip: str = "127.0.0.1", kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of ``ip`` that no listener holds now."""
    generator = random.SystemRandom()
    for _ in range(_TRIES):
        port = generator.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port on {ip} between {FIRST_PORT} and {LAST_PORT}")


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return different ports of ``ip`` that no listener holds now.

    One that was handed out is free until it is bound: asked twice, :func:`free_port` may hand it
    out twice.
    """
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port(ip))
    return sorted(ports)
