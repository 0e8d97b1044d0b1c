"""Callers whose requests end each back end that runs them."""

import asyncio

from .callers import Caller
from .history import Attempt

#: Targets that end a back end after some milliseconds: of requests that may run again, and of those
#: that must not.
REPEATABLE = ("/look/fatal/{ms}", "/streams/60/fatal/{ms}")
TURN = "/turns/fatal/{ms}"
ONCE = ("/claim/fatal/{ms}", TURN)
#: Number of client attempts of one request, the time limit of each, and the pauses between attempts
#: and between requests, in seconds.
ATTEMPTS, TIMEOUT_SECONDS, PAUSES, REQUEST_PAUSES = 6, 3.0, (0.0, 0.1), (0.5, 2.0)
#: Time for which a back end runs such a request before it ends, in milliseconds.
RUN_MS = (0, 150)


class FatalCaller(Caller):
    """Sends one such request after the other, each in several client attempts."""

    async def run(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(*REQUEST_PAUSES))
            await self.send_request()
        self.connections.close()

    async def send_request(self):
        pattern = self.random.choice(REPEATABLE + ONCE)
        kind = "fatal" if pattern in REPEATABLE else "fatal_once"
        target = pattern.format(ms=self.random.randint(*RUN_MS))
        body = self.draw_id().encode()
        fields = []
        if pattern == TURN:
            program = self.draw_id()
            fields = [f"X-Program-Id: {program}", f"X-Session-Id: {program}",
                      "X-Token-Usage: 10,72", "X-Token-Budget: 100000"]
        for _ in range(ATTEMPTS):
            if self.stopping:
                return
            attempt = Attempt(self.draw_id(), kind, "POST", target, body, self.clock())
            await self.exchange(attempt, TIMEOUT_SECONDS, fields)
            await asyncio.sleep(self.random.uniform(*PAUSES))
