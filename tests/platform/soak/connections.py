"""Connections of callers to forwarders: new ones, and kept ones that carry many requests."""

import asyncio

from .history import Ending
from .http_text import read_answer_head, read_body

#: Buffered bytes above which a write waits: with 0 it returns once all bytes were handed over.
WRITE_BUFFER_BYTES = 0


class AnswerReader(asyncio.StreamReader):
    """Reader that yields all received bytes before it reports that the connection was reset."""

    def __init__(self):
        super().__init__()
        self.was_reset = False

    def set_exception(self, exc):
        # StreamReader discards what it has buffered once an exception is set.
        self.was_reset = True
        self.feed_eof()


async def read_chunks(reader):
    """Yields the bytes of each chunk; returns after the terminating one."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        length = int(line.strip(), 16)
        data = await reader.readexactly(length + 2)
        if length == 0:
            return
        yield data[:-2]


def kept_seconds(headers):
    """Returns the time for which the forwarder keeps an idle connection; None when not given."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.partition("=")
        if name.strip() == "timeout":
            return float(value)
    return None


class Connection:
    """A connection to a forwarder, which carries one request at a time."""

    def __init__(self, number, forwarder, reader, writer):
        self.number = number
        self.forwarder = forwarder
        self.reader = reader
        self.writer = writer
        self.requests = 0
        #: Whether the forwarder announced that it closes the connection after the last answer.
        self.closing = False
        #: Time until which it may be used again; None for no limit.
        self.idle_until = None

    @classmethod
    async def open(cls, number, address):
        loop = asyncio.get_running_loop()
        reader = AnswerReader()
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(reader), *address)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        return cls(number, address, reader,
                   asyncio.StreamWriter(transport, protocol, reader, loop))

    def may_be_used(self, now):
        """True when the next request may be sent: no close was announced or received."""
        return (not self.closing and not self.reader.at_eof()
                and (self.idle_until is None or now < self.idle_until))

    async def exchange(self, attempt, text, clock):
        """Sends a request and reads its answer, both recorded in `attempt`.

        With `sending_pause`, the second half of the request follows the first after that time.
        """
        attempt.connection = self.number
        attempt.on_kept_connection = self.requests > 0
        self.requests += 1
        try:
            await self._send(text, attempt.sending_pause)
            attempt.last_byte_sent = clock()
            await self._read_answer(attempt, clock)
            attempt.complete = True
            attempt.ending = Ending.WHOLE
        except (OSError, asyncio.IncompleteReadError):
            attempt.ending = self._broken_ending(attempt)
        except (ValueError, IndexError, asyncio.LimitOverrunError):
            attempt.ending = Ending.MALFORMED

    async def _send(self, text, pause):
        half = len(text) // 2 if pause else 0
        if half:
            self.writer.write(text[:half])
            await self.writer.drain()
            await asyncio.sleep(pause)
        self.writer.write(text[half:])
        await self.writer.drain()

    def _broken_ending(self, attempt):
        if attempt.was_dropped():
            return Ending.DROPPED
        if attempt.status:
            return Ending.CUT
        return Ending.RESET if self.reader.was_reset else Ending.CLOSED

    async def _read_answer(self, attempt, clock):
        attempt.status, headers = await read_answer_head(self.reader)
        attempt.signature = headers.get("x-response-signature", "")
        attempt.answered_id = headers.get("x-request-id", "")
        attempt.retry_after = headers.get("retry-after", "")
        self.closing = headers.get("connection", "").lower() == "close"
        is_chunked = headers.get("transfer-encoding") == "chunked"
        if is_chunked and headers.get("content-type") == "text/event-stream":
            await self._read_events(attempt)
        elif is_chunked:
            body = b"".join([chunk async for chunk in read_chunks(self.reader)])
            if attempt.status == 200:
                attempt.pieces.append(body.decode())
        else:
            body = await read_body(self.reader, headers)
            if attempt.status == 200:
                attempt.pieces.append(body.decode())
        limit = kept_seconds(headers)
        self.idle_until = None if limit is None else clock() + limit

    async def _read_events(self, attempt):
        text = b""
        async for chunk in read_chunks(self.reader):
            text += chunk
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                attempt.pieces.append(event.split(b"data: ", 1)[1].decode())
                if attempt.was_dropped():
                    raise ConnectionResetError

    def abort(self):
        self.writer.transport.abort()


class ConnectionPool:
    """Idle connections of one caller. Unless `keeps`, each request gets a new connection."""

    def __init__(self, clock, keeps):
        self.clock = clock
        self.keeps = keeps
        self.idle = {}
        self.opened = 0

    async def acquire(self, address):
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.may_be_used(self.clock()):
                return connection
            connection.abort()
        self.opened += 1
        return await Connection.open(self.opened, address)

    def release(self, connection, whole):
        """Keeps the connection for further requests when its last answer was whole."""
        if self.keeps and whole and connection.may_be_used(self.clock()):
            self.idle.setdefault(connection.forwarder, []).append(connection)
        else:
            connection.abort()

    def has_idle(self, address):
        """True when a kept connection to the address may be used."""
        return any(connection.may_be_used(self.clock())
                   for connection in self.idle.get(address, []))

    def close(self):
        for idle in self.idle.values():
            for connection in idle:
                connection.abort()
        self.idle.clear()
