"""A router as a process of its own, whose memory and readiness are measured."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from standins.process_memory import read_memory_mb
from winchfork.boot_clock import boot_seconds

_ROOT = Path(__file__).resolve().parent.parent
_READY_TIMEOUT_S = 15.0
_PROBE_PERIOD_S = 0.02
_PROBE = b"GET /readiness HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n"


class MeasuredRouter:
    """Runs ``python3 -m winchfork.platform`` with settings in the platform's format."""

    def __init__(self, settings: str, folder: Path) -> None:
        self._file = folder / "router.conf"
        self._log = folder / "router.log"
        self._file.write_text(settings)
        fields = dict(line.split("=", 1) for line in settings.splitlines())
        self.address = fields["ListenAddresses.Front"]
        self._readiness_address = fields["ListenAddresses.Readiness"]
        self._process: asyncio.subprocess.Process | None = None
        self._probing: asyncio.Task[None] | None = None
        #: The longest time in seconds until the readiness page answered.
        self.slowest_probe_s = 0.0
        #: Probes that did not get the answer 200.
        self.failed_probes = 0

    async def start(self) -> None:
        """Start the process, wait until it is ready, and probe it from then on.

        Raises TimeoutError, and kills the process, if it does not become ready.
        """
        environment = {**os.environ, "WINCHFORK_BOOT": str(self._file)}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "winchfork.platform",
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while not await self._probe():
                    await asyncio.sleep(_PROBE_PERIOD_S)
        except TimeoutError:
            await self.stop()
            raise
        self._probing = asyncio.create_task(self._probe_until_cancelled())

    async def stop(self) -> None:
        """Kill the process."""
        if self._probing is not None:
            self._probing.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def request_stop(self) -> None:
        """Ask the process to stop, as the platform does."""
        assert self._process is not None
        self._process.terminate()

    def request_reload(self) -> None:
        """Say that the settings have changed, as the platform does."""
        assert self._process is not None
        self._process.send_signal(signal.SIGHUP)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def peak_resident_mb(self) -> float:
        """The most memory that the process has occupied, in MB; 0 once it has ended."""
        assert self._process is not None
        return read_memory_mb(self._process.pid, "VmHWM")

    @property
    def resident_mb(self) -> float:
        """The memory that the process occupies, in MB; 0 once it has ended."""
        assert self._process is not None
        return read_memory_mb(self._process.pid, "VmRSS")

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of the log with an event."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if f"event={event} " in line]

    async def _probe_until_cancelled(self) -> None:
        while True:
            began_s = boot_seconds()
            self.failed_probes += not await self._probe()
            self.slowest_probe_s = max(self.slowest_probe_s, boot_seconds() - began_s)
            await asyncio.sleep(_PROBE_PERIOD_S)

    async def _probe(self) -> bool:
        host, _, port = self._readiness_address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(_PROBE)
            return (await reader.read()).startswith(b"HTTP/1.1 200 ")
        except ConnectionError:
            return False
        finally:
            writer.close()
