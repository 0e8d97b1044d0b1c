"""Callers of resumable streams, which resume interrupted ones at any forwarder."""

import asyncio

from .callers import Caller
from .history import Attempt, Stream

#: Number of events of a stream, and the time between two of them in seconds.
EVENTS, GAP_SECONDS = (4, 12), 0.03
#: Share of the attempts whose caller's connection breaks after some events.
DROPPED_SHARE = 0.4
#: Number of attempts of a stream, the time limit of each, and the pauses between them in seconds.
ATTEMPTS, TIMEOUT_SECONDS, PAUSES = 4, 3.0, (0.0, 0.1)
#: Share of those pauses that outlast the list's delay, and their range in seconds.
LATE_SHARE, LATE_PAUSES = 0.2, (0.5, 3.0)
#: Share of the streams that belong to a program with a budget, which stores record as turns.
PROGRAM_SHARE = 0.5


class StreamCaller(Caller):
    """Requests one stream after the other, and resumes it when it was interrupted."""

    def __init__(self, *arguments, names_streams=True):
        super().__init__(*arguments)
        #: Whether it names the first attempt when it resumes a stream.
        self.names_streams = names_streams

    async def run(self):
        while not self.stopping:
            await self.run_stream()
        self.connections.close()

    async def run_stream(self):
        count = self.random.randint(*EVENTS)
        stream = Stream(count)
        self.history.streams.append(stream)
        target = f"/streams/{count}/work/{int(count * GAP_SECONDS * 1000)}"
        program = self.draw_id() if self.random.random() < PROGRAM_SHARE else ""
        # Only its content tells an unnamed stream from others.
        body = b"stream" if self.names_streams else f"stream {self.draw_id()}".encode()
        for _ in range(ATTEMPTS):
            attempt = Attempt(self.draw_id(), "stream", "POST", target, body, self.clock())
            if self.random.random() < DROPPED_SHARE:
                attempt.dropped_after = self.random.randint(1, count)
            attempt.resumes_stream = bool(stream.pieces())
            fields = self.program_fields(program) + self.resume_fields(stream)
            stream.attempts.append(attempt)
            await self.exchange(attempt, TIMEOUT_SECONDS, fields)
            if attempt.status == 200 and attempt.complete:
                return
            is_late = not self.names_streams and self.random.random() < LATE_SHARE
            await asyncio.sleep(self.random.uniform(*(LATE_PAUSES if is_late else PAUSES)))

    @staticmethod
    def program_fields(program):
        if not program:
            return []
        return [f"X-Program-Id: {program}", f"X-Session-Id: {program}", "X-Token-Usage: 10,9",
                "X-Token-Budget: 100000"]

    def resume_fields(self, stream):
        received = stream.pieces()
        if not received:
            return []
        fields = [f"Last-Event-Id: {len(received)}"]
        if self.names_streams:
            fields.append(f"Resumes: {stream.first_request()}")
        return fields
