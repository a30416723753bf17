"""A router process under soak, and its way to the store."""

from __future__ import annotations

import asyncio
import math
import os
import signal
import sys
from pathlib import Path

from standins.deployment import PlatformStandins, node_id
from standins.fault_proxy import FaultProxy
from standins.soak.network_partition import PARTITION_FILE_NAME, PARTITION_FILE_VARIABLE
from standins.soak.suspended_clock import SUSPENDED_FILE_VARIABLE, SuspendedTime

_ROOT = Path(__file__).resolve().parent.parent.parent


class SoakRouter:
    """One router process and its proxy. Faults that would meet at one of them take turns.

    Its first process runs the build in ``first_tree``, all later ones the build of this file.
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
        #: When a process of this file's build was started first; infinite before.
        self.upgraded_at_s = math.inf
        self._platform = platform
        self.number = number
        self._zone = zone
        self._file = folder / f"router-{number}.conf"
        self._log = folder / f"router-{number}.log"
        self._partition_file = folder / PARTITION_FILE_NAME
        self._suspended_file = folder / f"suspended-{number}"
        self._suspended = SuspendedTime(self._suspended_file)
        self._process: asyncio.subprocess.Process | None = None
        self.address = ""
        self.node_id = node_id(zone)
        #: Held by the fault that the process, or its way to the store, suffers now.
        self.process_fault = asyncio.Lock()
        self.link_fault = asyncio.Lock()

    @property
    def runs_earlier_build(self) -> bool:
        """Whether no process of this file's build has been started yet."""
        return math.isinf(self.upgraded_at_s)

    @property
    def machine_ip(self) -> str:
        """The IP number of its machine."""
        return self.address.partition(":")[0]

    async def prepare(self) -> None:
        """Start the proxy and write the settings, which stay the same over restarts."""
        self.proxy = FaultProxy(self._platform.store.address)
        await self.proxy.start()
        text = self._platform.settings_text(self.number, self._zone, self.proxy.address)
        self._file.write_text(text)
        lines = dict(line.split("=", 1) for line in text.splitlines())
        self.address = lines["ListenAddresses.Front"]

    async def start(self) -> None:
        """Start the process."""
        tree, self._tree = self._tree, _ROOT
        if tree == _ROOT:
            self.upgraded_at_s = min(self.upgraded_at_s, asyncio.get_running_loop().time())
        self._suspended.write(0.0)
        files = {
            "WINCHFORK_BOOT": str(self._file),
            PARTITION_FILE_VARIABLE: str(self._partition_file),
            SUSPENDED_FILE_VARIABLE: str(self._suspended_file),
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

        A process that has ended by itself is a broken promise: its code is not 0.
        """
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(number)
        return await self._process.wait()

    def handles_signal(self, number: signal.Signals) -> bool:
        """Whether the process has a handler for a signal: without, the signal's default ends it.

        A process that the system has started runs nothing of the router for some hundredths of a
        second, while the interpreter starts; a stop that comes then cannot end as planned.
        """
        assert self._process is not None
        if self._process.returncode is not None:
            return True
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)

    def kill(self) -> None:
        """End the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    def pause(self, paused: bool) -> None:
        """Freeze or thaw the process, if it runs."""
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def add_suspension(self, seconds: float) -> None:
        """Let the process, which is frozen, find that its machine was suspended for so long."""
        self._suspended.write(self._suspended.total_s() + seconds)
