"""The load tool: sends a profile's workload over HTTP and checks every answer.

The expected answer follows from the prompt. An answer counts as whole (exactly the expected text),
lost (neither complete nor ended by a refusal or an error event), crossed (another request's text),
doubled (too many or repeated tokens), truncated (too few tokens) or broken (an error event).
Refusals are counted by code. A command that is neither answered nor refused as not run counts as
``command_`` and its last known outcome.
"""

from __future__ import annotations

import dataclasses
import json
import sys
import threading
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from hdrh.histogram import HdrHistogram

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.emulator.answers import answer_digest, answer_text
from winchfork.emulator.workload import Deployment, WorkItem, make_workload, prompt_text
from winchfork.errors import Failure, FailureKind

_CALLERS = 400
_REQUEST_TIMEOUT_S = 120.0
_COMMAND_TIMEOUT_S = 15.0
_COMMAND_ATTEMPTS = 4
_RETRY_DELAY_S = 0.3
_MAX_US = 600_000_000


@dataclasses.dataclass(frozen=True)
class LoadOptions:
    """Options of a run; ``urls`` are daemons' base URLs, ``rate`` scales the profile's arrivals."""

    deployment: Deployment
    urls: tuple[str, ...]
    seed: int
    duration_s: float
    rate: float
    show_progress: bool = False


class LoadReport:
    """Counts and histograms of one run. Thread-safe while it runs."""

    def __init__(self, options: LoadOptions) -> None:
        self._options = options
        self._lock = threading.Lock()
        self.outcomes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.started = 0
        self._first_token: dict[str, HdrHistogram] = {}
        self._between = HdrHistogram(1, _MAX_US, 3)

    @property
    def clean(self) -> bool:
        """Whether no answer was lost, doubled, crossed or truncated."""
        return not any(self.outcomes[name] for name in ("lost", "doubled", "crossed", "truncated"))

    def record_start(self) -> None:
        """Count a request sent."""
        with self._lock:
            self.started += 1

    def record_outcome(self, outcome: str, refusal: str = "") -> None:
        """Count how a request ended."""
        with self._lock:
            self.outcomes[outcome] += 1
            if refusal:
                self.refusals[refusal] += 1

    def record_timing(
        self, traffic_class: str, first_token_s: float, gaps_s: list[float], usage: dict[str, Any]
    ) -> None:
        """Record a complete answer's latencies in seconds and its token counts."""
        with self._lock:
            histogram = self._first_token.setdefault(traffic_class, HdrHistogram(1, _MAX_US, 3))
            histogram.record_value(max(1, int(first_token_s * 1e6)))
            for gap_s in gaps_s:
                self._between.record_value(max(1, int(gap_s * 1e6)))
            self.prompt_tokens += usage.get("prompt_tokens", 0)
            details = usage.get("prompt_tokens_details", {})
            self.cached_tokens += min(
                details.get("cached_tokens", 0), usage.get("prompt_tokens", 0)
            )

    def to_json(self) -> dict[str, Any]:
        """Return the report as plain values; times in milliseconds."""
        hit_rate = self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0
        return {
            "profile": self._options.deployment.name,
            "seed": self._options.seed,
            "duration_s": self._options.duration_s,
            "rate": self._options.rate,
            "requests": self.started,
            "outcomes": dict(self.outcomes),
            "refusals": dict(self.refusals),
            "lost": self.outcomes["lost"],
            "doubled": self.outcomes["doubled"],
            "crossed": self.outcomes["crossed"],
            "truncated": self.outcomes["truncated"],
            "prefix_hit_rate": round(hit_rate, 4),
            "prefilled_tokens": self.prompt_tokens - self.cached_tokens,
            "first_token_ms": {
                name: _percentiles(histogram)
                for name, histogram in sorted(self._first_token.items())
            },
            "between_tokens_ms": _percentiles(self._between),
        }

    def render(self) -> str:
        """Return the report as text."""
        report = self.to_json()
        lines = [
            f"{report['requests']} requests: {report['outcomes']}",
            f"refusals: {report['refusals'] or 'none'}",
            f"lost {report['lost']}, doubled {report['doubled']}, crossed {report['crossed']}, "
            f"truncated {report['truncated']}",
            f"prefix hit rate {report['prefix_hit_rate']:.3f}, "
            f"prefilled tokens {report['prefilled_tokens']}",
        ]
        for name, values in report["first_token_ms"].items():
            lines.append(f"first token, {name}: {values}")
        lines.append(f"between tokens: {report['between_tokens_ms']}")
        return "\n".join(lines)


def run_load(options: LoadOptions) -> LoadReport | Failure:
    """Send the workload in real time and return the report."""
    client = HttpClient()
    probe = client.exchange(HttpRequest("GET", f"{options.urls[0]}/healthz", timeout_s=5.0))
    if isinstance(probe, Failure):
        return FailureKind.BACKEND_UNREACHABLE.because(
            f"{options.urls[0]} does not answer: {probe.reason}", remedy="start `make run` first"
        )
    report = LoadReport(options)
    items = list(
        make_workload(options.deployment, options.seed).items(options.duration_s, options.rate)
    )
    sender = _Sender(options, client, report)
    started_s = time.monotonic()
    with ThreadPoolExecutor(_CALLERS, thread_name_prefix="caller") as callers:
        for item in items:
            wait_s = started_s + item.at_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            callers.submit(sender.send, item)
            if options.show_progress and item.number % 20 == 0:
                done = sum(report.outcomes.values())
                print(
                    f"\r{item.at_s:6.1f} s  sent {report.started}  done {done}",
                    end="",
                    file=sys.stderr,
                )
    client.close()
    if options.show_progress:
        print(file=sys.stderr)
    return report


class _Sender:
    def __init__(self, options: LoadOptions, client: HttpClient, report: LoadReport) -> None:
        self._options = options
        self._client = client
        self._report = report

    def send(self, item: WorkItem) -> None:
        """Send one item; an exception counts as a lost request."""
        self._report.record_start()
        try:
            if item.is_command:
                self._command(item)
            else:
                self._completion(item)
        except Exception as error:  # noqa: BLE001 - recorded, and the run continues
            self._report.record_outcome("lost", f"caller:{type(error).__name__}")

    def _headers(self, item: WorkItem) -> dict[str, str]:
        key = self._options.deployment.api_key(item.tenant)
        return {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            "X-Winchfork-Class": item.traffic_class,
        }

    def _url(self, item: WorkItem, attempt: int) -> str:
        return self._options.urls[(item.number + attempt) % len(self._options.urls)]

    def _completion(self, item: WorkItem) -> None:
        prompt = prompt_text(item)
        body = json.dumps(
            {
                "model": self._options.deployment.model,
                "prompt": prompt,
                "max_tokens": item.output_tokens,
                "stream": True,
            }
        ).encode()
        for attempt in range(len(self._options.urls)):
            stream = _CheckedStream()
            request = HttpRequest(
                "POST",
                f"{self._url(item, attempt)}/v1/completions",
                body,
                self._headers(item),
                timeout_s=_REQUEST_TIMEOUT_S,
            )
            sent_s = time.monotonic()
            result = self._client.stream(request, stream.on_start, stream.on_data)
            unreachable = isinstance(result, Failure) and (
                result.kind is FailureKind.BACKEND_UNREACHABLE
            )
            if unreachable or stream.refusal == FailureKind.STOPPING.value:
                continue
            self._evaluate(item, prompt, stream, sent_s)
            return
        self._report.record_outcome("refused", "unreachable")

    def _evaluate(self, item: WorkItem, prompt: str, stream: _CheckedStream, sent_s: float) -> None:
        if stream.refusal:
            self._report.record_outcome("refused", stream.refusal)
            return
        expected = answer_text(prompt, item.output_tokens)
        text = "".join(stream.parts)
        if stream.done and text == expected:
            self._report.record_outcome("whole")
            times = stream.times
            gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
            self._report.record_timing(item.traffic_class, times[0] - sent_s, gaps, stream.usage)
        elif text and answer_digest(prompt) not in text[:9]:
            self._report.record_outcome("crossed")
        elif len(text) > len(expected) or (stream.done and text != expected[: len(text)]):
            self._report.record_outcome("doubled")
        elif stream.done:
            self._report.record_outcome("truncated")
        elif stream.error:
            self._report.record_outcome("broken", stream.error)
        else:
            self._report.record_outcome("lost")

    def _command(self, item: WorkItem) -> None:
        """Send a command that must run at most once; retry at other daemons with the same key."""
        key = new_command_key()
        order = item.segments[0].identity
        outcome = "unknown"
        for attempt in range(_COMMAND_ATTEMPTS):
            headers = {
                **self._headers(item),
                "Idempotency-Key": key,
                "X-Winchfork-First-Send": "true" if attempt == 0 else "false",
            }
            pool = self._options.deployment.application_pool
            answer = self._client.exchange(
                HttpRequest(
                    "POST",
                    f"{self._url(item, attempt)}/v1/pools/{pool}/app/stop",
                    order.encode(),
                    headers,
                    timeout_s=_COMMAND_TIMEOUT_S,
                )
            )
            if isinstance(answer, Failure):
                time.sleep(_RETRY_DELAY_S)
                continue
            if answer.status == 200:
                executed = json.loads(answer.body).get("executed")
                self._report.record_outcome("whole" if executed == order else "crossed")
                return
            error = json.loads(answer.body)["error"]
            outcome = error["ran"]
            if outcome == "not_run":
                self._report.record_outcome("refused", error["code"])
                return
            time.sleep(_RETRY_DELAY_S)
        self._report.record_outcome("command_" + outcome)


def new_command_key() -> str:
    """Return a UUIDv7: the current time in milliseconds, followed by random bits."""
    stamp_ms = int(time.time() * 1000)
    value = (stamp_ms << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


class _CheckedStream:
    """Collects the events of one streamed answer."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.times: list[float] = []
        self.usage: dict[str, Any] = {}
        self.done = False
        self.error = ""
        self.refusal = ""
        self._status = 0
        self._buffer = b""

    def on_start(self, status: int, headers: object) -> Failure | None:
        self._status = status
        return None

    def on_data(self, data: bytes) -> Failure | None:
        self._buffer += data
        if self._status != 200:
            self._read_refusal()
            return None
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            self._on_event(event)
        return None

    def _read_refusal(self) -> None:
        try:
            self.refusal = json.loads(self._buffer)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            self.refusal = f"status_{self._status}"

    def _on_event(self, event: bytes) -> None:
        is_error = event.startswith(b"event: error")
        payload = event.partition(b"data: ")[2]
        if payload == b"[DONE]":
            self.done = True
            return
        body = json.loads(payload)
        if is_error:
            self.error = body["error"]["code"]
            return
        text = body["choices"][0].get("text", "")
        if text:
            self.parts.append(text)
            self.times.append(time.monotonic())
        self.usage = body.get("usage", self.usage)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if histogram.get_total_count() == 0:
        return {}
    return {
        f"p{level}": round(histogram.get_value_at_percentile(level) / 1000, 2)
        for level in (50, 95, 99)
    }
