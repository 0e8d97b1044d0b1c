"""Starts the platform's three programs on loopback addresses, with small stand-ins for the platform's list, replicas,
clients and the operator. Every process runs the command of deploy/system.toml, with a settings file that is filled as
platform/settings.template.toml is. Used by the run.sh of each case.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAMS = pathlib.Path(os.environ.get("REVIEW_PROGRAMS", ROOT / "target"))
HOST = "review.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8


class CannotRun(Exception):
    """The case could not run; exit code 2."""


def free_ports(address, count):
    """Ports that are free at the address now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((address, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """Lines of record.txt: seconds since the start, what happened, and its fields."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yields the data of each chunk up to the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return b"".join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def render_head(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers) + "\r\n").encode()


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        #: False when the connection ended before the whole answer.
        self.whole = False
        self.error = ""


class Client:
    """Sends one request over a connection of its own."""

    def __init__(self, address, port):
        self.address, self.port = address, port

    async def request(self, method, path, headers, body=b"", limit=10.0):
        answer = Answer()
        try:
            await asyncio.wait_for(self._exchange(answer, method, path, headers, body), limit)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.TimeoutError, ValueError) as error:
            answer.error = type(error).__name__
        return answer

    async def _exchange(self, answer, method, path, headers, body):
        reader, writer = await asyncio.open_connection(self.address, self.port)
        try:
            fields = list(headers)
            if body or method == "POST":
                fields.append(("Content-Length", str(len(body))))
            writer.write(render_head(f"{method} {path} HTTP/1.1", fields) + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            if "chunked" in answer.headers.get("transfer-encoding", "").lower():
                async for part in read_chunks(reader):
                    answer.body += part
            else:
                answer.body = await read_body(reader, answer.headers)
            answer.whole = True
        finally:
            writer.transport.abort()


class Replica:
    """A replica of a service: works on `slots` requests at a time, lets `queue` more wait, and rejects the others.

    Subclasses change `work`, `respond` or `reject`.
    """

    def __init__(self, fleet, name, service, slots=6, queue=2, zone="zone-a"):
        self.fleet, self.name, self.service, self.slots, self.queue, self.zone = fleet, name, service, slots, queue, zone
        self.address = fleet.next_address()
        self.port = free_ports(self.address, 1)[0]
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.server = None
        self.connections = set()

    def listed(self):
        return {"Service": self.service, "Address": f"{self.address}:{self.port}", "Zone": self.zone, "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Id": self.name}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        connection = {"writer": writer}
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(connection, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def handle(self, connection, method, path, headers, body):
        request = headers.get("x-request-id", "")
        if headers.get("x-expected-instance", self.name) != self.name:
            return await self.send(connection, request, 421, [], b"")
        if self.running >= self.slots and self.waiting >= self.queue:
            return await self.reject(connection, request)
        self.waiting += 1
        await self.slot.acquire()
        self.waiting -= 1
        self.running += 1
        self.fleet.runs.append((self.fleet.record.now(), request, self.name))
        self.fleet.record.write("run", request=request, replica=self.name)
        try:
            result = await self.work(connection, method, path, headers, body)
        finally:
            self.running -= 1
            self.slot.release()
        await self.respond(connection, request, result)

    async def work(self, connection, method, path, headers, body):
        await asyncio.sleep(0.1)
        return f"ran {headers.get('x-request-id', '')}\n".encode()

    async def respond(self, connection, request, result):
        await self.send(connection, request, 200, [("X-Response-Signature", f"sig.{request}")], result)

    async def reject(self, connection, request):
        self.fleet.record.write("reject", request=request, replica=self.name)
        await self.send(connection, request, 503, [("X-Not-Executed", "1")], b"full")

    async def send(self, connection, request, status, headers, body):
        fields = [("X-Request-Id", request), *headers, ("Content-Length", str(len(body)))]
        connection["writer"].write(render_head(f"HTTP/1.1 {status} Status", fields) + body)
        await connection["writer"].drain()


class Node:
    """One process of the system."""

    def __init__(self, fleet, program, number):
        self.fleet, self.program = fleet, program
        self.name = f"{program}-{number}"
        self.zone = f"zone-{'abc'[(number - 1) % 3]}"
        self.address = fleet.next_address()
        self.folder = fleet.work / self.name
        self.process = None
        self.starts = 0

    def settings(self):
        fleet = self.fleet
        front = self.program == "forwarder"
        control = self.program == "directory"
        seeds = ", ".join(f'"{node.address}:{fleet.control_port}"' for node in fleet.nodes if node.program == "directory")
        text = f'''node = "{self.name}"
zone = "{self.zone}"
ip = "{self.address}"
directory_port = {fleet.directory_port}
store_port = {fleet.store_port}
seeds = [{seeds}]
first_start = "{"true" if self.starts == 0 and not fleet.started else "false"}"
data_folder = "{"" if front else self.folder}"
losses_borne = 1
callers_address = "{f"{self.address}:{fleet.front_port}" if front else ""}"
readiness_address = "{f"{self.address}:{fleet.ready_port}" if front else ""}"
operators_address = "{f"{self.address}:{fleet.control_port}" if control else ""}"
metrics_port = {fleet.metrics_port}
backend_list_address = "{fleet.list_address}:{fleet.list_port}"
policy_file = "policies/platform.lua"
grace_seconds = {GRACE_S}
acknowledge_ms = 4000
quota_window_seconds = 5
quota_overshoot = 0
quota_slack = 0
refuses_stale_keys = ""
revocation_ms = 5000
dispatch_from_nodes = 40
'''
        path = fleet.work / f"{self.name}.toml"
        path.write_text(text)
        return path

    async def start(self):
        path = self.settings()
        self.starts += 1
        with (self.fleet.work / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAMS / f"tallyfold-{self.program}"), "--settings", str(path), stdout=log, stderr=log, cwd=ROOT,
                env={key: os.environ[key] for key in ("PATH", "HOME", "LANG", "ASAN_OPTIONS", "UBSAN_OPTIONS") if key in os.environ})
        self.fleet.record.write("start", node=self.name, pid=self.process.pid)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        self.fleet.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        if self.running():
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    def wipe(self):
        self.fleet.record.write("wipe", node=self.name)
        shutil.rmtree(self.folder, ignore_errors=True)


class Fleet:
    def __init__(self, case, forwarders=1, directories=3, stores=3):
        self.case = pathlib.Path(case)
        self.record = Record(self.case / "record.txt")
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="tallyfold-review-"))
        self.network = f"127.{random.SystemRandom().randint(20, 220)}.{random.SystemRandom().randint(1, 250)}"
        self.last = 0
        self.runs = []
        self.started = False
        self.replicas = []
        self.list_address = self.next_address()
        (self.list_port, self.directory_port, self.store_port, self.control_port, self.front_port, self.ready_port,
         self.metrics_port) = free_ports(self.list_address, 7)
        self.nodes = [Node(self, "directory", number + 1) for number in range(directories)]
        self.nodes += [Node(self, "turn-store", number + 1) for number in range(stores)]
        self.nodes += [Node(self, "forwarder", number + 1) for number in range(forwarders)]

    def next_address(self):
        self.last += 1
        return f"{self.network}.{self.last}"

    def of(self, program):
        return [node for node in self.nodes if node.program == program]

    async def serve_list(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                body = json.dumps({"Instances": [replica.listed() for replica in self.replicas if replica.state != "gone"],
                                   "NextPageToken": None}).encode()
                writer.write(render_head("HTTP/1.1 200 OK", [("Content-Type", "application/json"),
                                                             ("Content-Length", str(len(body)))]) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()

    async def start(self, configuration):
        if not (PROGRAMS / "tallyfold-forwarder").exists():
            raise CannotRun(f"no programs in {PROGRAMS.name}/")
        self.list_server = await asyncio.start_server(self.serve_list, self.list_address, self.list_port)
        for replica in self.replicas:
            await replica.start()
        for node in self.nodes:
            await node.start()
        await self.operator("POST", "/v1/config/replace", json.dumps(configuration).encode(), until=20)
        for node in self.of("forwarder"):
            await self.until_ready(node)
        self.started = True
        self.record.write("ready")

    async def until_ready(self, node, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await Client(node.address, self.ready_port).request("GET", "/v1/ready", [("Host", "x")], limit=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} isn't ready")

    async def operator(self, method, path, body=b"", until=8):
        """Sends an order to one directory node after the other until one gives a clear answer."""
        end = time.monotonic() + until
        targets = [(node.address, self.control_port) for node in self.of("directory")]
        turn = 0
        while time.monotonic() < end:
            address = targets[turn % len(targets)]
            turn += 1
            for _ in range(3):
                answer = await Client(*address).request(method, path, [("Host", "control")], body, limit=1)
                if answer.status != 307:
                    break
                place = answer.headers["location"].split("/")[2].split(":")
                address = (place[0], int(place[1]))
            if answer.whole and (answer.status < 500 and answer.status not in (408, 429)):
                self.record.write("operator", call=f"{method}:{path}", status=answer.status)
                return answer
            await asyncio.sleep(0.2)
        raise CannotRun(f"the operator got no answer to {path}")

    async def stop(self):
        for node in self.nodes:
            if node.running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if os.environ.get("REVIEW_KEEP"):
            print(f"logs: {self.work}", file=sys.stderr)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def run_case(main):
    """Runs the coroutine function; exits with 1 when it returns violations, 0 without, 2 when it can't run."""
    try:
        violations = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:  # An unexpected end of the case must not pass for a broken rule.
        print(f"can't run: {error!r}")
        sys.exit(2)
    for violation in violations:
        print(violation)
    print("BROKEN" if violations else "held")
    sys.exit(1 if violations else 0)
