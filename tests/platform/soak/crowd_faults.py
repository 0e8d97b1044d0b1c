"""Crowds of clients that don't behave, beside the ordinary callers and the faults."""

import asyncio
import contextlib

from .callers import HOST
from .cluster import CALLERS_PORT, MEMORY_MB, READINESS_PORT
from .history import MemoryPeak

#: Connections of one crowd, and the bytes of their bodies: several times what a process may use.
CONNECTIONS, BODY_BYTES = 60, 4 << 20
#: Bytes of a head that doesn't end.
HEAD_BYTES = 16_000
#: Time for which a crowd stays, in seconds.
STAY_SECONDS = (1.0, 4.0)
#: Time limit of a connection's writes, in seconds.
WRITE_SECONDS = 3.0


def message(kind, number):
    """Returns a message that lacks its last byte."""
    head = f"POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd{number}\r\n".encode()
    if kind == "length":
        return head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + bytes(BODY_BYTES - 1)
    if kind == "chunked":
        chunk = b"%x\r\n" % (BODY_BYTES - 1) + bytes(BODY_BYTES - 1)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    if kind == "head":
        return head + b"a:\r\n" * ((HEAD_BYTES - len(head)) // 4)
    return b""


class CrowdFaults:
    """Kinds of crowds; each one is at one forwarder, whose ordinary callers must not notice it."""

    def __init__(self, faults):
        self.faults = faults
        self.kinds = [self.crowd_of_bodies, self.crowd_of_chunks, self.crowd_of_heads,
                      self.crowd_of_connections, self.crowd_of_readiness_checks]
        self.numbers = 0

    async def crowd_of_bodies(self):
        await self.crowd("length", CALLERS_PORT)

    async def crowd_of_chunks(self):
        await self.crowd("chunked", CALLERS_PORT)

    async def crowd_of_heads(self):
        await self.crowd("head", CALLERS_PORT)

    async def crowd_of_connections(self):
        await self.crowd("nothing", CALLERS_PORT)

    async def crowd_of_readiness_checks(self):
        await self.crowd("nothing", READINESS_PORT)

    async def crowd(self, kind, port):
        node = self.faults.draw_node(("forwarder",))
        if node is None or not node.has_started:
            return
        self.faults.note(f"crowd_{kind}", f"{node.name}:{port}")
        clients = []
        for _ in range(CONNECTIONS):
            self.numbers += 1
            clients.append(asyncio.ensure_future(
                self.client((node.own, port), message(kind, self.numbers))))
        await self.faults.pause_between(*STAY_SECONDS)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        peak = node.peak_memory()
        if peak is not None:
            self.faults.cluster.history.memory_peaks.append(
                MemoryPeak(node.name, self.faults.clock(), peak, MEMORY_MB * 1_000_000))

    @staticmethod
    async def client(address, data):
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                await asyncio.wait_for(writer.drain(), WRITE_SECONDS)
                while await reader.read(65536):
                    pass
            finally:
                writer.transport.abort()
