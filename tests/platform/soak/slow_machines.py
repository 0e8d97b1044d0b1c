"""Forwarders on slow machines: each runs for a share of the time, from start to end of a run.

A slow machine is a property of the deployment, not a fault: all promises hold on it.
"""

import asyncio
import signal

#: Length of a turn of running and being stopped, in seconds.
PERIOD_SECONDS = 0.02


async def slow_down(node, share):
    """Lets the processes of a node run for `share` of the time until it is cancelled."""
    try:
        while True:
            node.send(signal.SIGSTOP)
            await asyncio.sleep(PERIOD_SECONDS * (1 - share))
            node.send(signal.SIGCONT)
            await asyncio.sleep(PERIOD_SECONDS * share)
    finally:
        node.send(signal.SIGCONT)


def slow_forwarders(cluster, share):
    """Starts to slow all forwarders down; returns the tasks. None for a share of 1."""
    if share >= 1:
        return []
    return [asyncio.ensure_future(slow_down(node, share))
            for node in cluster.nodes_of("forwarder")]
