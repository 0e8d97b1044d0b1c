"""Notices when the soak itself stalls: its back ends, relays and callers all freeze meanwhile."""

import asyncio

from .history import Stall

#: Interval of the checks, and the delay above which one is recorded, in seconds: the least delay
#: that a check of the promises tells apart.
CHECK_SECONDS, STALL_SECONDS = 0.05, 0.2


async def record_stalls(history, clock):
    """Records the stalls of the event loop until it is cancelled."""
    while True:
        began = clock()
        await asyncio.sleep(CHECK_SECONDS)
        ended = clock()
        if ended - began > CHECK_SECONDS + STALL_SECONDS:
            history.stalls.append(Stall(began, ended))
