"""A loopback TCP proxy that injects connection faults."""

import asyncio
import contextlib

DELAY_SECONDS = 0.15
_CHUNK_BYTES = 65536


class LoopbackProxy:
    """Forwards connections to ``target`` with the fault that is set.

    ``delay`` delays each chunk, ``silent`` holds back the data of both
    directions until the fault ends, ``one_way`` only that from the target,
    ``reset`` aborts open and new connections; '' is no fault.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.fault = ''
        self.address = ''
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Abort all open connections."""
        for writer in self.writers:
            writer.transport.abort()

    def set_fault(self, fault: str) -> None:
        """Set the fault for open and new connections."""
        self.fault = fault
        if fault == 'reset':
            self.drop_connections()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.fault == 'reset':
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, ('silent',)),
            self._forward(target_reader, writer, ('silent', 'one_way')),
        )
        self.writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding_faults: tuple[str, ...],
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault == 'delay':
                    await asyncio.sleep(DELAY_SECONDS)
                while self.fault in holding_faults:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        writer.close()
