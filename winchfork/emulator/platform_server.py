"""The emulated platform behind HTTP: key-value service and machine list.

The key-value service implements the subset of etcd's v3 JSON API that ``stores/etcd_json.py`` uses.
Faults (``POST /platform/faults``): ``down`` (closes every connection without an answer),
``delay_s``, ``lose_answers`` (the next N writes take effect and their answers are lost),
``calls_per_s`` (rate limit).
"""

from __future__ import annotations

import base64
import json
import threading
import time
from collections.abc import Iterator
from typing import Any

from werkzeug.wrappers import Request, Response

from winchfork.emulator.json_http import json_response, route_requests
from winchfork.emulator.key_value_model import KeyValueModel, StoredValue
from winchfork.gateway.server import PooledServer
from winchfork.stores.machine_list import Machine, MachineState

_WORKERS = 128
_WATCH_KEEPALIVE_S = 0.5


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


class PlatformServer:
    """The platform's services on one address.

    ``calls`` counts the requests received, without those to paths below ``/platform/``.
    """

    def __init__(self, address: str, *, machine_list_lag_s: float = 0.5) -> None:
        self.model = KeyValueModel()
        self._condition = threading.Condition()
        self._down = False
        self._delay_s = 0.0
        self._lose_answers = 0
        self._calls_per_s = 0.0
        self._tokens = 0.0
        self._refilled_at_s = time.monotonic()
        self._lag_s = machine_list_lag_s
        self._machines: dict[str, Machine] = {}
        self._machine_changes: list[tuple[float, int, tuple[Machine, ...]]] = [(0.0, 0, ())]
        self.calls = 0
        self._server = PooledServer(address, self._application, _WORKERS)
        self._routes = route_requests(
            {
                ("POST", "/v3/kv/range"): self._range,
                ("POST", "/v3/kv/txn"): self._transact,
                ("POST", "/v3/lease/grant"): self._grant,
                ("POST", "/v3/lease/keepalive"): self._keepalive,
                ("POST", "/v3/watch"): self._watch,
                ("GET", "/machines"): self._list_machines,
                ("POST", "/machines"): self._set_machine,
                ("POST", "/platform/faults"): self._inject,
            }
        )

    @property
    def address(self) -> str:
        """The base URL."""
        return f"http://{self._server.address}"

    def start(self) -> None:
        """Start serving on background threads."""
        self._server.start()

    def stop(self) -> None:
        """Stop without waiting for running requests."""
        self._server.stop(wait=False)

    def put_machine(self, machine: Machine) -> None:
        """Add or change a machine; readers see the change after the machine list's lag."""
        with self._condition:
            self._machines[machine.machine_id] = machine
            self._record_machines()

    def remove_machine(self, machine_id: str) -> None:
        """Remove a machine from the list, if it is there."""
        with self._condition:
            self._machines.pop(machine_id, None)
            self._record_machines()

    def inject(self, faults: dict[str, Any]) -> None:
        """Set the given faults, as ``POST /platform/faults`` does; others stay."""
        with self._condition:
            self._down = bool(faults.get("down", self._down))
            self._delay_s = float(faults.get("delay_s", self._delay_s))
            self._lose_answers = int(faults.get("lose_answers", self._lose_answers))
            self._calls_per_s = float(faults.get("calls_per_s", self._calls_per_s))
            self._condition.notify_all()

    def _record_machines(self) -> None:
        revision = self._machine_changes[-1][1] + 1
        shown = tuple(sorted(self._machines.values(), key=lambda item: item.machine_id))
        self._machine_changes.append((time.monotonic(), revision, shown))

    def _application(self, environ: dict[str, Any], start_response: Any) -> Any:
        if not environ["PATH_INFO"].startswith("/platform/"):
            with self._condition:
                self.calls += 1
                down, delay_s, limited = self._down, self._delay_s, self._is_limited()
            if down:
                environ["winchfork.socket"].close()
                raise ConnectionResetError("injected fault: the platform is down")
            if delay_s:
                time.sleep(delay_s)
            if limited:
                return json_response({"error": "rate limited"}, 429)(environ, start_response)
        return self._routes(environ, start_response)

    def _is_limited(self) -> bool:
        if not self._calls_per_s:
            return False
        now_s = time.monotonic()
        earned = (now_s - self._refilled_at_s) * self._calls_per_s
        self._tokens = min(self._calls_per_s, self._tokens + earned)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return True
        self._tokens -= 1.0
        return False

    def _range(self, request: Request) -> Response:
        body = request.get_json(force=True)
        end = _decode(body["range_end"]) if body.get("range_end") else None
        with self._condition:
            self.model.expire_leases(time.monotonic())
            found = self.model.range(_decode(body["key"]), end)
            revision = self.model.revision
        return json_response(
            {
                "header": {"revision": str(revision)},
                "kvs": [_key_value(key, value) for key, value in found],
                "count": str(len(found)),
            }
        )

    def _transact(self, request: Request) -> Response:
        body = request.get_json(force=True)
        with self._condition:
            self.model.expire_leases(time.monotonic())
            succeeded = all(
                self.model.modification_revision(_decode(item["key"]))
                == int(item.get("mod_revision", 0))
                for item in body.get("compare", ())
            )
            if succeeded:
                for operation in body.get("success", ()):
                    self._apply(operation)
            lose = succeeded and self._lose_answers > 0
            self._lose_answers -= lose
            revision = self.model.revision
            self._condition.notify_all()
        if lose:
            request.environ["winchfork.socket"].close()
            raise ConnectionResetError("injected fault: answer lost")
        return json_response({"header": {"revision": str(revision)}, "succeeded": succeeded})

    def _apply(self, operation: dict[str, Any]) -> None:
        put = operation.get("requestPut")
        if put is not None:
            value = base64.b64decode(put.get("value", ""))
            self.model.put(_decode(put["key"]), value, int(put.get("lease", 0)))
        deletion = operation.get("requestDeleteRange")
        if deletion is not None:
            self.model.delete(_decode(deletion["key"]))

    def _grant(self, request: Request) -> Response:
        ttl_s = int(request.get_json(force=True)["TTL"])
        with self._condition:
            lease_id = self.model.grant_lease(ttl_s, time.monotonic())
        return json_response({"ID": str(lease_id), "TTL": str(ttl_s)})

    def _keepalive(self, request: Request) -> Response:
        lease_id = int(request.get_json(force=True)["ID"])
        with self._condition:
            ttl_s = self.model.renew_lease(lease_id, time.monotonic())
        return json_response({"result": {"ID": str(lease_id), "TTL": str(ttl_s)}})

    def _watch(self, request: Request) -> Response:
        create = request.get_json(force=True)["create_request"]
        start, end = _decode(create["key"]), _decode(create["range_end"])
        return Response(
            self._watch_lines(start, end, int(create.get("start_revision", 0))),
            content_type="application/json",
        )

    def _watch_lines(self, start: str, end: str, from_revision: int) -> Iterator[bytes]:
        position = 0
        yield b'{"result":{"created":true}}\n'
        while True:
            with self._condition:
                if position >= len(self.model.history) and not self._down:
                    self._condition.wait(_WATCH_KEEPALIVE_S)
                if self._down:
                    return
                changes = self.model.history[position:]
                position += len(changes)
            events = [
                {
                    "type": "PUT",
                    "kv": {
                        "key": _encode(change.key.encode()),
                        "value": _encode(change.value),
                        "mod_revision": str(change.revision),
                    },
                }
                for change in changes
                if start <= change.key < end
                and change.revision >= from_revision
                and change.value is not None
            ]
            yield json.dumps({"result": {"events": events}}).encode() + b"\n" if events else b"\n"

    def _list_machines(self, request: Request) -> Response:
        visible_before_s = time.monotonic() - self._lag_s
        with self._condition:
            _, revision, machines = max(
                (item for item in self._machine_changes if item[0] <= visible_before_s),
                key=lambda item: item[1],
            )
        if revision == int(request.args.get("known", -1)):
            return Response(status=204)
        return json_response(
            {
                "revision": revision,
                "machines": [
                    {
                        "id": machine.machine_id,
                        "pool": machine.pool,
                        "zone": machine.zone,
                        "address": machine.address,
                        "state": machine.state.value,
                    }
                    for machine in machines
                ],
            }
        )

    def _set_machine(self, request: Request) -> Response:
        body = request.get_json()
        self.put_machine(
            Machine(
                body["id"],
                body["pool"],
                body["zone"],
                body["address"],
                MachineState(body["state"]),
            )
        )
        return json_response({"ok": True})

    def _inject(self, request: Request) -> Response:
        self.inject(request.get_json())
        return json_response({"ok": True})


def _key_value(key: str, value: StoredValue) -> dict[str, str]:
    return {
        "key": _encode(key.encode()),
        "value": _encode(value.value),
        "mod_revision": str(value.revision),
    }
