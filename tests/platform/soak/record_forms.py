"""Records the wire and storage formats of a build, from its own programs.

    python3 -m tests.platform.soak.record_forms --build FOLDER OUTPUT

Runs a small cluster of that build with callers and a few configuration changes, and writes
OUTPUT/frames.txt (one message of each kind that was sent over a connection) and OUTPUT/folders.txt
(all files of a directory node and of a turn store after a planned stop). Each line is a name and
bytes in hexadecimal. Used to generate the fixtures of the format tests.
"""

import argparse
import asyncio
import pathlib
import random
import struct
import sys
import tempfile
import time

from .backends import Backend, BackendList
from .callers import Caller
from .cluster import CALLERS_PORT, LIST_PORT, OPERATORS_PORT, Addresses, Cluster
from .history import History
from .operator_calls import Operator
from .tenants import NoKeys

#: Number of changes after the first one, and seconds for which callers run programs.
CHANGES, SECONDS = 2, 2.5
#: Time for the replacements of wiped disks to join and copy the data, in seconds.
CATCH_UP_SECONDS = 8.0
#: Maximum length of a recorded message, in bytes, so that fixtures stay readable.
MAX_FRAME_BYTES = 4000
#: Kind number of consensus messages, which are distinguished by the kind of their body.
REPLICA_ENVELOPE = 0


def kind_of(payload):
    """Returns the kind number of a message, with the kind of the body for a consensus message."""
    kind, = struct.unpack_from("<I", payload)
    if kind != REPLICA_ENVELOPE:
        return f"{kind}"
    at = 4
    at += 4 + struct.unpack_from("<I", payload, at)[0]  # the sender's address
    at += 4 + 8 + 8  # the group, and the two replicas
    at += 4 + struct.unpack_from("<I", payload, at)[0]  # the receiver's address
    at += 8  # the term
    return f"{kind}.{struct.unpack_from('<I', payload, at)[0]}"


class Recorder:
    """Keeps the longest message of each kind that doesn't exceed the length limit."""

    def __init__(self):
        self.frames = {}

    def record(self, link):
        original_pump = link._pump

        async def pump(reader, writer, direction):
            await original_pump(FrameTap(reader, self), writer, direction)

        link._pump = pump

    def take(self, frame):
        kind = kind_of(frame[4:])
        if len(frame) <= MAX_FRAME_BYTES and len(frame) > len(self.frames.get(kind, b"")):
            self.frames[kind] = frame


class FrameTap:
    """Stream reader that passes each complete frame to the recorder."""

    def __init__(self, reader, recorder):
        self.reader = reader
        self.recorder = recorder
        self.buffer = b""

    async def read(self, size):
        data = await self.reader.read(size)
        self.buffer += data
        while len(self.buffer) >= 4:
            end = 4 + struct.unpack_from("<I", self.buffer)[0]
            if len(self.buffer) < end:
                break
            self.recorder.take(self.buffer[:end])
            self.buffer = self.buffer[end:]
        return data


async def record(options, work):
    started = time.monotonic()
    history = History(has_keys=False)

    def clock():
        return time.monotonic() - started

    addresses = Addresses(options.network)
    cluster = Cluster(history, clock, options.build, work, addresses)
    # Omits settings that the recorded build may reject as unknown.
    cluster.build = None
    recorder = Recorder()
    for node in cluster.nodes:
        recorder.record(node.link)
    backends = [Backend(history, clock, "engine-0", "engines", (addresses.own(41), 7700), True, 1),
                Backend(history, clock, "app-0", "apps", (addresses.own(51), 7700), False, 2)]
    for backend in backends:
        await backend.start()
    await BackendList(backends, (addresses.own(99), LIST_PORT)).start()
    await cluster.start()
    try:
        operator = Operator(history, clock, [(node.own, OPERATORS_PORT)
                                             for node in cluster.nodes_of("directory")], 3, NoKeys(),
                            addresses)
        await operator.change()
        callers = [Caller(history, clock, [(node.own, CALLERS_PORT)
                                           for node in cluster.nodes_of("forwarder")], number, "open",
                          NoKeys(), operator.added) for number in range(2)]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        for _ in range(CHANGES):
            await asyncio.sleep(SECONDS / CHANGES)
            await operator.change()
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*tasks)
        # A wiped node asks to join and copies the others' data, which records these messages.
        for lost in (cluster.nodes_of("turn-store")[2], cluster.nodes_of("directory")[2]):
            await lost.kill()
            lost.wipe()
            await lost.start()
        await asyncio.sleep(CATCH_UP_SECONDS)
        for node in cluster.nodes:
            await node.stop()
    finally:
        await cluster.stop()
    return recorder, cluster


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", required=True)
    parser.add_argument("--network", type=int, default=0)
    parser.add_argument("output", type=pathlib.Path)
    options = parser.parse_args()
    random.seed(1)
    work = pathlib.Path(tempfile.mkdtemp(prefix="tallyfold-forms-"))
    recorder, cluster = asyncio.run(record(options, work))
    options.output.mkdir(parents=True, exist_ok=True)
    (options.output / "frames.txt").write_text("".join(
        f"{kind} {frame.hex()}\n" for kind, frame in sorted(recorder.frames.items())))
    files = [path for node in (cluster.nodes_of("directory")[0], cluster.nodes_of("turn-store")[0])
             for path in sorted(node.folder.rglob("*")) if path.is_file()]
    (options.output / "folders.txt").write_text("".join(
        f"{path.relative_to(work)} {path.read_bytes().hex()}\n" for path in files))
    print(f"{len(recorder.frames)} kinds, {len(files)} files")
    return 0


if __name__ == "__main__":
    sys.exit(main())
