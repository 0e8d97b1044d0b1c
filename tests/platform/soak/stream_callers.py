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
#: Share of the streams that belong to a program with a budget, which stores record as turns.
PROGRAM_SHARE = 0.5


class StreamCaller(Caller):
    """Requests one stream after the other; names the first attempt when it resumes one."""

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
        for _ in range(ATTEMPTS):
            attempt = Attempt(self.draw_id(), "stream", "POST", target, b"stream", self.clock())
            if self.random.random() < DROPPED_SHARE:
                attempt.dropped_after = self.random.randint(1, count)
            attempt.resumes_stream = bool(stream.pieces())
            fields = self.program_fields(program) + self.resume_fields(stream)
            stream.attempts.append(attempt)
            await self.exchange(attempt, TIMEOUT_SECONDS, fields)
            if attempt.status == 200 and attempt.complete:
                return
            await asyncio.sleep(self.random.uniform(*PAUSES))

    @staticmethod
    def program_fields(program):
        if not program:
            return []
        return [f"X-Program-Id: {program}", f"X-Session-Id: {program}", "X-Token-Usage: 10,9",
                "X-Token-Budget: 100000"]

    @staticmethod
    def resume_fields(stream):
        received = stream.pieces()
        if not received:
            return []
        return [f"Last-Event-Id: {len(received)}", f"Resumes: {stream.first_request()}"]
