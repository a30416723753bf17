"""A router process of a soak and the fault proxy between it and the store."""

from __future__ import annotations

import asyncio
import math
import os
import signal
import sys
from pathlib import Path

from standins.deployment import PlatformStandins, node_id
from standins.fault_proxy import FaultProxy
from standins.process_memory import read_memory_mb
from standins.soak.network_partition import PARTITION_FILE_NAME, PARTITION_FILE_VARIABLE
from standins.soak.replica_partition import (
    MACHINE_IP_VARIABLE,
    REPLICA_PARTITION_NAME,
    REPLICA_PARTITION_VARIABLE,
)
from standins.soak.suspended_clock import SUSPENDED_FILE_VARIABLE, SuspendedTime

_ROOT = Path(__file__).resolve().parent.parent.parent


class SoakRouter:
    """One router process and its proxy.

    The first process runs the build in ``first_tree``, if given; all later ones run this build.
    Locks serialize the faults of the process and those of the link to the store.
    """

    def __init__(
        self,
        platform: PlatformStandins,
        number: int,
        zone: str,
        folder: Path,
        first_tree: Path | None = None,
    ) -> None:
        self._tree = first_tree or _ROOT
        #: When the first process of this build was started; infinite before.
        self.upgraded_at_s = math.inf
        self._platform = platform
        self.number = number
        self._zone = zone
        self._file = folder / f"router-{number}.conf"
        self._log = folder / f"router-{number}.log"
        self._partition_file = folder / PARTITION_FILE_NAME
        self._replica_partition_file = folder / REPLICA_PARTITION_NAME
        self._suspended_file = folder / f"suspended-{number}"
        self._suspended = SuspendedTime(self._suspended_file)
        self._process: asyncio.subprocess.Process | None = None
        self.address = ""
        self.node_id = node_id(zone)
        #: Held during a fault of the process, and during a fault of its link to the store.
        self.process_fault = asyncio.Lock()
        self.link_fault = asyncio.Lock()

    @property
    def runs_earlier_build(self) -> bool:
        """Whether no process of this build has been started yet."""
        return math.isinf(self.upgraded_at_s)

    @property
    def machine_ip(self) -> str:
        """The IP address of the router's machine."""
        return self.address.partition(":")[0]

    async def prepare(self) -> None:
        """Start the proxy and write the settings file, which restarts reuse."""
        self.proxy = FaultProxy(self._platform.store.address)
        await self.proxy.start()
        text = self._platform.settings_text(self.number, self._zone, self.proxy.address)
        self._file.write_text(text)
        lines = dict(line.split("=", 1) for line in text.splitlines())
        self.address = lines["ListenAddresses.Front"]

    async def start(self) -> None:
        """Start the process; the log is appended to."""
        tree, self._tree = self._tree, _ROOT
        if tree == _ROOT:
            self.upgraded_at_s = min(self.upgraded_at_s, asyncio.get_running_loop().time())
        self._suspended.write(0.0)
        files = {
            "WINCHFORK_BOOT": str(self._file),
            PARTITION_FILE_VARIABLE: str(self._partition_file),
            SUSPENDED_FILE_VARIABLE: str(self._suspended_file),
            REPLICA_PARTITION_VARIABLE: str(self._replica_partition_file),
            MACHINE_IP_VARIABLE: self.machine_ip,
        }
        environment = {**os.environ, **files}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "standins.soak.lossy_router",
                cwd=tree,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def end_process(self, number: signal.Signals) -> int:
        """Send a signal that ends the process; return its exit code.

        If it has already ended, no signal is sent; the code then shows how it ended.
        """
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(number)
        return await self._process.wait()

    def handles_signal(self, number: signal.Signals) -> bool:
        """Return whether the process has a handler for a signal, or has already ended.

        While the interpreter starts, the process has no handler and a signal's default action ends
        it, so that a planned stop is not possible yet.
        """
        assert self._process is not None
        if self._process.returncode is not None:
            return True
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)

    @property
    def peak_memory_mb(self) -> float:
        """The most memory that the current process has occupied; 0 once it has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        return read_memory_mb(self._process.pid, "VmHWM")

    def kill(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    def pause(self, paused: bool) -> None:
        """Pause or resume the process with SIGSTOP or SIGCONT, if it still runs."""
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def add_suspension(self, seconds: float) -> None:
        """Add a suspension of the machine, which the paused process sees when it resumes."""
        self._suspended.write(self._suspended.total_s() + seconds)
