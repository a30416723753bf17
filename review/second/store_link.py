"""The link between one machine and the store; cut, it carries nothing and says nothing."""

from __future__ import annotations

import asyncio


class StoreLink:
    """Forwards connections to the store; while ``cut``, bytes and new connections hang."""

    def __init__(self, store_address: str) -> None:
        self._store_address = store_address
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.cut = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening, and abort every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        await self._wait_while_cut()
        host, _, port = self._store_address.rpartition(":")
        try:
            store_reader, store_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(store_writer)
        for pair in ((reader, store_writer), (store_reader, writer)):
            task = asyncio.create_task(self._forward(*pair))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _wait_while_cut(self) -> None:
        while self.cut:
            await asyncio.sleep(0.05)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self._wait_while_cut()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            await self._wait_while_cut()
            writer.close()
            self._writers.discard(writer)
