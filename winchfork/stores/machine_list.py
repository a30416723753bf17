"""The port to the platform's list of machines, which may lag, and its JSON over HTTP adapter."""

from __future__ import annotations

import dataclasses
import enum
import json
from typing import Protocol

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.errors import Failure, FailureKind

_CALL_TIMEOUT_S = 1.5


class MachineState(enum.Enum):
    """A machine's state in the list; the list lags, so never rely on it alone."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Machine:
    """One machine; ``pool`` is its back-end pool, empty for a router."""

    machine_id: str
    pool: str
    zone: str
    address: str
    state: MachineState


@dataclasses.dataclass(frozen=True)
class MachineList:
    """The machines at one revision of the list."""

    revision: int
    machines: tuple[Machine, ...]


class MachineSource(Protocol):
    """Reads the list of machines."""

    def read(self, known_revision: int) -> MachineList | None | Failure:
        """Return the list, or None when it is still at ``known_revision``."""
        ...


class HttpMachineSource:
    """Adapter: ``GET {url}?known=REVISION`` answers 204 when unchanged, else the list in JSON."""

    def __init__(self, client: HttpClient, url: str) -> None:
        self._client = client
        self._url = url

    def read(self, known_revision: int) -> MachineList | None | Failure:
        """Return the list, or None when it is still at ``known_revision``."""
        request = HttpRequest(
            "GET", f"{self._url}?known={known_revision}", timeout_s=_CALL_TIMEOUT_S
        )
        answer = self._client.exchange(request)
        if isinstance(answer, Failure):
            return answer
        if answer.status == 204:
            return None
        if answer.status != 200:
            return FailureKind.STORE_UNAVAILABLE.because(
                f"the machine list service answered {answer.status}"
            )
        return _parse(answer.body)


def _parse(body: bytes) -> MachineList | Failure:
    try:
        document = json.loads(body)
        machines = tuple(
            Machine(
                item["id"],
                item["pool"],
                item["zone"],
                item["address"],
                MachineState(item["state"]),
            )
            for item in document["machines"]
        )
        return MachineList(int(document["revision"]), machines)
    except (ValueError, KeyError, TypeError) as error:
        return FailureKind.STORE_UNAVAILABLE.because(
            f"the machine list cannot be read: {type(error).__name__}: {error}"
        )
