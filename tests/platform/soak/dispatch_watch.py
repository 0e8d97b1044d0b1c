"""Reads which directory node dispatches, its places, and how calls got theirs."""

import asyncio
import re
from collections import Counter

from .cluster import METRICS_PORT
from .history import Placement, PlacesLeft

#: Interval at which the metrics are read, in seconds; shorter than the gaps between two faults.
READ_SECONDS = 0.3
#: Time limit of a read, in seconds. A stopped process accepts the connection and sends nothing.
READ_TIMEOUT = 0.25
#: Time after the last call within which all places are returned, in seconds: a lease, the interval at
#: which the gauges are set, and the interval at which leases are checked.
LEASE_SECONDS, GAUGE_SECONDS, EXPIRY_SECONDS = 2.0, 1.0, 0.1
#: Number of reads of each node at the end: a machine under load may answer one too late.
FINAL_READS = 10
METRIC = re.compile(r"^(tallyfold_directory_place\w+)\{(.*)\} (\S+)$", re.MULTILINE)


def parse_metrics(text):
    """Returns (decisions made, places by state) from the metrics of a directory node."""
    decisions = 0.0
    places = Counter()
    for name, labels, value in METRIC.findall(text):
        if name == "tallyfold_directory_place_decisions_total":
            decisions += float(value)
        elif name == "tallyfold_directory_places":
            places[re.search(r'state="(\w+)"', labels)[1]] += int(float(value))
    return decisions, places


async def read_metrics(node):
    """Returns what parse_metrics() does, or None when the node doesn't answer."""
    writer = None
    try:
        async with asyncio.timeout(READ_TIMEOUT):
            reader, writer = await asyncio.open_connection(node.own, METRICS_PORT)
            writer.write(b"GET /metrics HTTP/1.0\r\nHost: m\r\n\r\n")
            return parse_metrics((await reader.read()).decode())
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class DispatchWatch:
    """Follows the metrics of the directory nodes."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.nodes = cluster.nodes_of("directory")
        #: Node that made the most decisions between the latest two reads in which any were made.
        self.decider = None
        #: Number of calls that waited at it at the latest read.
        self.waiting = 0
        self.decisions = {}

    async def run(self):
        while True:
            await self.update()
            await asyncio.sleep(READ_SECONDS)

    async def update(self):
        found = await asyncio.gather(*(read_metrics(node) for node in self.nodes))
        self.add(dict(zip((node.name for node in self.nodes), found)))

    def add(self, found):
        """Adds a read of all nodes: by name what parse_metrics() returned, or None."""
        made = {}
        for name, metrics in found.items():
            if metrics is not None:
                before = self.decisions.get(name, 0.0)
                # A restarted process counts from zero.
                made[name] = metrics[0] - (before if before <= metrics[0] else 0.0)
                self.decisions[name] = metrics[0]
        if made and max(made.values()) > 0:
            name = max(made, key=made.get)
            self.decider = next(node for node in self.nodes if node.name == name)
        if self.decider is not None:
            known = found[self.decider.name]
            self.waiting = known[1]["waiting"] if known is not None else 0

    async def read_running(self):
        """Returns the number of places that the directory nodes count as taken."""
        found = await asyncio.gather(*(read_metrics(node) for node in self.nodes))
        return sum(metrics[1]["running"] for metrics in found if metrics is not None)

    async def read_places_left(self):
        """Waits until all leases must have ended, then reads the places of each directory node."""
        await asyncio.sleep(LEASE_SECONDS + GAUGE_SECONDS + EXPIRY_SECONDS)
        for node in self.nodes:
            if node.build != self.cluster.build:
                continue
            metrics = None
            for _ in range(FINAL_READS):
                metrics = metrics or await read_metrics(node)
            self.cluster.history.places_left.append(
                metrics and PlacesLeft(node.name, metrics[1]["running"], metrics[1]["waiting"]))


def parse_fields(line):
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


def parse_placement(forwarder, fields):
    """Returns the placement that an event 3201 describes; None when no place was asked for."""
    if fields.get("place") not in ("granted", "forced", "alone"):
        return None
    return Placement(fields["request"], forwarder, fields.get("outcome") == "answered",
                     fields["place"], int(fields["place_ms"]) / 1000,
                     int(fields["room_wait_ms"]) / 1000, int(fields["waited_ms"]) / 1000,
                     int(fields["sends"]), int(fields["continued"]),
                     int(fields["waits_for_room"]))


def read_placements(history, cluster):
    """Reads the placements and the silences of dispatchers from the logs of the forwarders."""
    for node in cluster.nodes_of("forwarder"):
        with (cluster.work / f"{node.name}.log").open(errors="replace") as log:
            for line in log:
                if "event=3201 " in line:
                    placement = parse_placement(node.name, parse_fields(line))
                    history.placements += [] if placement is None else [placement]
                elif "event=3120 " in line:
                    history.silences.append(
                        (node.name, int(parse_fields(line)["silent_ms"]) / 1000))


def describe_dispatch(history):
    """Returns how calls got their places, and the losses of dispatchers, as a line of the report."""
    places = Counter(placement.place for placement in history.placements)
    waited = sum(placement.queued_seconds > 0 for placement in history.placements)
    counts = ", ".join(f"{place} {count}" for place, count in sorted(places.items()))
    longest = max((seconds for _, seconds in history.silences), default=0.0)
    return (f"{counts}; {waited} waited; {len(history.dispatcher_losses)} losses of a dispatcher; "
            f"{len(history.silences)} silences noticed, after {longest * 1000:.0f} ms at most")
