"""Runs the programs as separate processes, each behind its own relay."""

import asyncio
import contextlib
import os
import pathlib
import re
import resource
import shutil
import signal
from dataclasses import dataclass

from .history import PlannedStop, ProcessExit, SettingsReload
from .links import Link
from .tenants import QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW

DIRECTORY_PORT, STORE_PORT, OPERATORS_PORT = 7601, 7602, 7603
CALLERS_PORT, READINESS_PORT, METRICS_PORT, LIST_PORT = 7604, 7605, 7606, 7609
GRACE_SECONDS = 8
#: Memory that each process is told, in MB.
MEMORY_MB = 96
#: Values between which a changed settings file alternates.
ACKNOWLEDGE_MS = (4000, 3900)


@dataclass
class Sizes:
    """Number of processes of each program, and of machines that may be lost at a time."""

    directory: int = 3
    stores: int = 3
    forwarders: int = 3
    losses_borne: int = 1

    def of(self, program):
        return {"directory": self.directory, "turn-store": self.stores,
                "forwarder": self.forwarders}[program]


class Addresses:
    """Loopback addresses of a cluster; clusters with different numbers can run at the same time."""

    def __init__(self, number):
        self.number = number

    #: Last octets of the first node of each program, and the maximum number of nodes.
    FIRST = {"directory": 1, "turn-store": 11, "forwarder": 101}
    MOST = {"directory": 9, "turn-store": 28, "forwarder": 150}

    def own(self, last):
        """Returns the address at which the process itself listens."""
        return f"127.{self.number}.7.{last}"

    def relayed(self, last):
        """Returns the address at which other processes reach it, through its relay."""
        return f"127.{self.number}.8.{last}"

    def direct(self, address):
        """Returns the address of the process itself for its own or its relayed address."""
        return self.own(address.rsplit(".", 1)[1])


class Node:
    """A process that listens at its own address and that others reach through its relay."""

    def __init__(self, cluster, program, number, last):
        self.cluster = cluster
        self.program = program
        self.name = f"{program}-{number}"
        self.own = cluster.addresses.own(last)
        self.relayed = cluster.addresses.relayed(last)
        self.folder = cluster.work / self.name
        #: Folder of the programs used at the next start.
        self.build = cluster.build
        self.process = None
        self.stop_requested = False
        #: Whether the process got SIGKILL since it still ran at the end of its grace.
        self.grace_over = False
        self.starting = asyncio.Lock()
        port = DIRECTORY_PORT if program == "directory" else STORE_PORT
        self.link = Link(self.name, (self.relayed, port), (self.own, port))
        #: Number of times that the process was started, and that its settings were changed.
        self.starts = 0
        self.reloads = 0
        #: Number of times that its disk was lost, and that another machine took its place.
        self.wipes = 0
        self.replacements = 0
        #: Offset in the log file at which the output of the latest start begins.
        self.log_offset = 0

    @property
    def machine(self):
        """Name under which the system knows the process."""
        return f"{self.name}-{self.replacements}" if self.replacements else self.name

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    @property
    def has_started(self):
        """True once the latest process has logged process_started: it accepts connections."""
        return self.started_after(self.log_offset)

    def started_after(self, log_offset):
        with (self.cluster.work / f"{self.name}.log").open("rb") as log:
            log.seek(log_offset)
            return b"name=process_started" in log.read()

    def peak_memory(self):
        """Returns the maximum of the process's resident bytes; None when it doesn't run."""
        if not self.running:
            return None
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            match = re.search(r"^VmHWM:\s+(\d+) kB", status, re.M)
            return int(match[1]) * 1024 if match else None
        return None

    def write_settings(self):
        seeds = ", ".join(f'"{node.relayed}:{OPERATORS_PORT}"'
                          for node in self.cluster.nodes_of("directory"))
        path = self.cluster.work / f"{self.name}.toml"
        written = path.with_suffix(".new")
        written.write_text(
            f'node = "{self.machine}"\nzone = "zone-a"\nip = "{self.relayed}"\n'
            f'listen_ip = "{self.own}"\ndirectory_port = {DIRECTORY_PORT}\n'
            f"store_port = {STORE_PORT}\nseeds = [{seeds}]\n"
            f'first_start = "{"true" if self.starts == 0 else "false"}"\n'
            f'data_folder = "{self.folder}"\nlosses_borne = {self.cluster.sizes.losses_borne}\n'
            f'callers_address = "{self.own}:{CALLERS_PORT}"\n'
            f'readiness_address = "{self.own}:{READINESS_PORT}"\n'
            f'operators_address = "{self.own}:{OPERATORS_PORT}"\n'
            f'backend_list_address = "{self.cluster.addresses.own(99)}:{LIST_PORT}"\n'
            f"grace_seconds = {GRACE_SECONDS}\n"
            f"acknowledge_ms = {ACKNOWLEDGE_MS[self.reloads % len(ACKNOWLEDGE_MS)]}\n")
        if self.build == self.cluster.build:
            # An earlier build rejects a file with unknown settings.
            with written.open("a") as settings:
                settings.write(f"memory_mb = {MEMORY_MB}\n"
                               f"quota_window_seconds = {QUOTA_WINDOW}\n"
                               f"quota_overshoot = {QUOTA_OVERSHOOT}\n"
                               f"quota_slack = {QUOTA_SLACK}\n")
                if self.cluster.metrics:
                    settings.write(f"metrics_port = {METRICS_PORT}\n")
                if self.cluster.dispatch:
                    settings.write("dispatch_from_nodes = 1\n")
        # A running process must not read a part of the file.
        written.replace(path)
        return path

    async def start(self):
        """Starts the process unless it runs; waits while the cluster has no power."""
        async with self.starting:
            await self.cluster.power.wait()
            if not self.running:
                await self._start()

    async def _start(self):
        settings = self.write_settings()
        self.starts += 1
        self.stop_requested = self.grace_over = False
        log = (self.cluster.work / f"{self.name}.log").open("ab")
        self.log_offset = log.tell()
        self.process = await asyncio.create_subprocess_exec(
            str(self.build / f"tallyfold-{self.program}"), "--settings", str(settings),
            stdout=log, stderr=log)
        log.close()
        asyncio.ensure_future(self._watch(self.process, self.log_offset))

    async def _watch(self, process, log_offset):
        code = await process.wait()
        expected = self._expected_codes(log_offset)
        self.cluster.history.process_exits.append(
            ProcessExit(self.name, self.cluster.clock(), code,
                        self.stop_requested and code in expected))

    def _expected_codes(self, log_offset):
        """Returns the exit codes of a process that was asked to stop."""
        if self.grace_over:
            # It may have ended in time while the soak didn't run; otherwise SIGKILL ended it.
            return (0,)
        if self.started_after(log_offset):
            return (0, -signal.SIGKILL)
        # A process that is stopped before it handles signals ends with that signal.
        return (0, -signal.SIGKILL, -signal.SIGTERM)

    def send(self, number):
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self):
        self.stop_requested = True
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def terminate(self):
        """Sends SIGTERM."""
        self.stop_requested = True
        self.send(signal.SIGTERM)

    def reload(self, signals=True):
        """Changes the settings file, and tells the process when `signals`."""
        self.reloads += 1
        self.write_settings()
        if signals:
            self.cluster.history.settings_reloads.append(
                SettingsReload(self.name, self.cluster.clock()))
            self.send(signal.SIGHUP)

    async def stop(self):
        """Sends SIGTERM; after GRACE_SECONDS sends SIGKILL, which counts as a violation."""
        self.cluster.history.planned_stops.append(PlannedStop(self.name, self.cluster.clock()))
        self.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            self.grace_over = True
            self.send(signal.SIGKILL)
            await self.process.wait()

    def wipe(self):
        self.wipes += 1
        shutil.rmtree(self.folder, ignore_errors=True)

    def append_torn_write(self, generator):
        """Appends random bytes to the newest turn file, as a write torn by a power loss may leave."""
        files = [path for path in self.folder.glob("*") if path.name.startswith("turns-")]
        if files:
            with max(files, key=lambda path: path.stat().st_mtime).open("ab") as file:
                file.write(generator.randbytes(generator.randint(1, 400)))

    def limit_file_size(self, size):
        """Makes writes beyond `size` bytes of a file fail, as on a full disk."""
        if self.running:
            hard = resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (size, hard))


class Cluster:
    """Directory nodes, turn stores and forwarders: three of each unless `sizes` says otherwise."""

    def __init__(self, history, clock, build, work, addresses, sizes=None, dispatch=False,
                 metrics=False):
        self.addresses = addresses
        #: Whether calls to engines get their places from dispatchers.
        self.dispatch = dispatch
        #: Whether all processes serve their metrics.
        self.metrics = metrics or dispatch
        self.sizes = sizes or Sizes()
        self.history = history
        self.clock = clock
        self.build = pathlib.Path(build)
        self.work = pathlib.Path(work)
        #: Cleared during a power loss of all machines.
        self.power = asyncio.Event()
        self.power.set()
        self.nodes = []
        for program, first in addresses.FIRST.items():
            count = min(self.sizes.of(program), addresses.MOST[program])
            self.nodes += [Node(self, program, number, first + number) for number in range(count)]
        #: Number of the next store that is added.
        self.added_stores = len(self.nodes_of("turn-store"))

    def stores_needed(self):
        """Returns the number of stores that the groups need."""
        group_size = 2 * self.sizes.losses_borne + 1
        return group_size * max(1, self.sizes.stores // (group_size + 1))

    def nodes_of(self, program):
        return [node for node in self.nodes if node.program == program]

    async def add_store(self):
        """Starts a store on a new machine, at an address that no other one has had."""
        number = self.added_stores
        self.added_stores += 1
        node = Node(self, "turn-store", number, self.addresses.FIRST["turn-store"] + number)
        # Only the first start of the whole system forms groups.
        node.starts = 1
        self.nodes.append(node)
        await node.link.start()
        await node.start()
        return node

    def remove(self, node):
        """Removes a machine whose process has ended, with its disk."""
        node.wipe()
        self.nodes.remove(node)

    async def start(self):
        for node in self.nodes:
            if node.program != "forwarder":
                await node.link.start()
            await node.start()

    async def lose_power(self, lost_disks, outage_seconds, generator):
        """Kills all processes at once, wipes the disks of `lost_disks`, and starts all again."""
        self.power.clear()
        for node in self.nodes:
            node.stop_requested = True
            node.send(signal.SIGKILL)
        await asyncio.gather(*(node.kill() for node in self.nodes))
        for node in self.nodes:
            node.link.heal()
            if node in lost_disks:
                node.wipe()
            elif node.program == "turn-store":
                node.append_torn_write(generator)
        await asyncio.sleep(outage_seconds)
        self.power.set()
        await asyncio.gather(*(self._start_delayed(node, generator.uniform(0, 0.3))
                               for node in self.nodes))

    @staticmethod
    async def _start_delayed(node, delay):
        await asyncio.sleep(delay)
        await node.start()

    async def stop(self):
        """Kills all processes of the cluster."""
        self.power.clear()
        for node in self.nodes:
            node.send(signal.SIGCONT)
            await node.kill()
