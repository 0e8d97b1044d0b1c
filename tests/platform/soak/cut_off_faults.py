"""Back ends that end while a stopping forwarder cuts off its requests."""

import asyncio

from .cluster import CALLERS_PORT, GRACE_SECONDS
from .history import Attempt
from .operator_calls import ROUTE_TIMEOUTS

#: Time before the end of the grace at which a forwarder cuts off its requests, in seconds.
CUT_OFF_SECONDS = 0.6
#: Time before the cut-off at which the back end ends, in seconds.
ENDS_BEFORE_SECONDS = (0.0, 0.2)
#: Time after the SIGTERM at which the requests are sent, in seconds: the forwarder still takes them.
SENT_AFTER_SECONDS = 1.5
#: Number of requests, the work of each, and the time that their callers wait, in seconds.
REQUESTS, WORK_SECONDS, DEADLINE_SECONDS = 12, 6.5, 7.5
#: Time until the back end comes back, in seconds.
DOWN_SECONDS = (0.5, 1.5)


class CutOffFaults:
    """Faults of back ends in the last moments of a forwarder's grace."""

    def __init__(self, faults, operator):
        self.faults = faults
        self.operator = operator
        self.kinds = [self.end_back_end_at_cut_off]

    async def end_back_end_at_cut_off(self):
        node = self.faults.draw_node(("forwarder",))
        if node is None:
            return
        self.faults.note("end_back_end_at_cut_off", node.name)
        self.faults.busy.add(node.name)
        with self.faults.recording_fault(node, planned=True):
            # Work for as long needs the longest timeout.
            await self.operator.change(ROUTE_TIMEOUTS[-1])
            stop = asyncio.ensure_future(node.stop())
            ended = asyncio.ensure_future(self.end_back_end(GRACE_SECONDS - CUT_OFF_SECONDS))
            await asyncio.sleep(SENT_AFTER_SECONDS)
            await asyncio.gather(*(self.send(node) for _ in range(REQUESTS)))
            await asyncio.gather(stop, ended)
            await node.start()

    async def send(self, node):
        """Sends a request that is still worked on at the cut-off; some may run more than once."""
        caller = self.faults.random.choice(self.operator.probers)
        kind, path = self.faults.random.choice([("once", "/claim/"), ("repeatable", "/look/")])
        # A body of its own keeps several ends from being counted under one content.
        body = f"long {caller.draw_id()}".encode()
        attempt = Attempt(caller.draw_id(), kind, "POST",
                          f"{path}work/{int(WORK_SECONDS * 1000)}", body, caller.clock())
        await caller.exchange(attempt, DEADLINE_SECONDS, forwarder=(node.own, CALLERS_PORT))

    async def end_back_end(self, cut_off_after):
        """Ends the back end with the most requests shortly before the cut-off."""
        early = self.faults.random.uniform(*ENDS_BEFORE_SECONDS)
        await asyncio.sleep(cut_off_after - early)
        free = [backend for backend in self.faults.backends
                if backend.state == "ready" and backend.name not in self.faults.busy]
        if not free:
            return
        backend = max(free, key=lambda each: len(each.current))

        async def work(ending):
            if self.faults.random.random() < 0.5:
                await ending.lose_power()
            else:
                await ending.crash()
            await self.faults.pause_between(*DOWN_SECONDS)
            await ending.start()
        await self.faults.on_backend("back_end_ends", work, backend)
