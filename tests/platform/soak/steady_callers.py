"""Callers that send one request after the other on a connection until the forwarder closes it."""

import asyncio

from .callers import Caller
from .history import Attempt, Ending
from .queries import shortest_route_timeout

#: Shortest long work in seconds, and its longest as a share of the routes' shortest timeout.
LEAST_WORK_SECONDS, MOST_WORK_SHARE = 0.3, 0.75
#: Time that callers wait for a long request, in seconds: beyond every route's timeout.
LONG_DEADLINE_SECONDS = 9.0
#: Pause after a connection was closed, or a request wasn't served, in seconds.
RECONNECT_SECONDS = 0.05
#: Pause between the requests of a caller that doesn't send back to back, in seconds.
PAUSES = (0.0, 0.25)
#: Share of the requests that are sent with a pause in the middle, and its range in seconds.
SLOWLY_SENT_SHARE, SENDING_PAUSES = 0.1, (0.0, 1.0)
#: Time that callers wait for other requests, in seconds.
SHORT_DEADLINE_SECONDS = 3.0


class SteadyCaller(Caller):
    """Uses a connection until it is closed, with the next request at once or after a pause."""

    def __init__(self, *arguments, back_to_back, long_share):
        super().__init__(*arguments, keeps_connections=True)
        #: Share of the requests that ask the back end for long work.
        self.long_share = long_share
        self.back_to_back = back_to_back

    async def run(self):
        while not self.stopping:
            await self.use_forwarder(self.random.choice(self.forwarders))
            await asyncio.sleep(RECONNECT_SECONDS)
        self.connections.close()

    async def use_forwarder(self, forwarder):
        """Sends requests to a forwarder until a request isn't answered on an open connection."""
        while not self.stopping:
            attempt = await self.send_next(forwarder)
            if attempt.ending != Ending.WHOLE or not self.connections.has_idle(forwarder):
                return
            if attempt.status != 200:
                await asyncio.sleep(RECONNECT_SECONDS)
            elif not self.back_to_back:
                await asyncio.sleep(self.random.uniform(*PAUSES))

    async def send_next(self, forwarder):
        work, deadline = self.draw_work()
        kind = self.random.choice(["turn", "repeatable", "once"])
        attempt = self.create_attempt(kind, work)
        if self.random.random() < SLOWLY_SENT_SHARE:
            attempt.sending_pause = self.random.uniform(*SENDING_PAUSES)
        if kind == "turn":
            return await self.send_turn(attempt, deadline, forwarder)
        return await self.exchange(attempt, deadline, forwarder=forwarder)

    def create_attempt(self, kind, work):
        if kind == "turn":
            attempt = self.turn(self.draw_id(), None, 0)
            attempt.target = f"/turns/{work}"
            return attempt
        path = "/look/" if kind == "repeatable" else "/claim/"
        return Attempt(self.draw_id(), kind, "POST", path + work, b"tool", self.clock())

    def draw_work(self):
        """Returns the end of the target and the deadline in seconds."""
        if self.random.random() >= self.long_share:
            return "x", SHORT_DEADLINE_SECONDS
        now = self.clock()
        most = MOST_WORK_SHARE * shortest_route_timeout(self.history, now, now)
        seconds = self.random.uniform(LEAST_WORK_SECONDS, most)
        return f"work/{int(seconds * 1000)}", LONG_DEADLINE_SECONDS
