"""Relays in front of the nodes, which can delay, cut (in one or both directions) or reset links."""

import asyncio

PASS, SILENT = "pass", "silent"


class Link:
    """Forwards connections from `listen` to `target`, with the configured faults."""

    def __init__(self, name, listen, target):
        self.name = name
        self.listen = listen
        self.target = target
        self.inward = PASS
        self.outward = PASS
        self.delay = 0.0
        self.connections = set()
        self.healed = asyncio.Event()
        self.healed.set()

    async def start(self):
        await asyncio.start_server(self._accept, *self.listen)

    def cut(self, inward=True, outward=True):
        self.inward = SILENT if inward else PASS
        self.outward = SILENT if outward else PASS
        self.healed.clear()

    def heal(self):
        self.inward = self.outward = PASS
        self.delay = 0.0
        self.healed.set()

    def reset(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.connections.add(writer)
        target_writer = None
        try:
            # While the link is cut, a new connection gets no answer until the link heals.
            if SILENT in (self.inward, self.outward):
                await self.healed.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.connections.add(target_writer)
            await asyncio.gather(self._pump(reader, target_writer, "inward"),
                                 self._pump(target_reader, writer, "outward"))
        except OSError:
            pass
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    self.connections.discard(end)
                    end.transport.abort()

    async def _pump(self, reader, writer, direction):
        while data := await reader.read(65536):
            if self.delay:
                await asyncio.sleep(self.delay)
            while getattr(self, direction) == SILENT:
                await self.healed.wait()
            writer.write(data)
            await writer.drain()
        # Aborts both connections when either side closes.
        raise ConnectionResetError
