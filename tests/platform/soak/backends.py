"""Simulated replicas of the users' platform, and its list of replicas."""

import asyncio
import json
import random
import re
import socket
import struct

from .history import BackendService, End, Receipt, Run
from .http_text import read_body, read_message_head

TOKENS_PER_EVENT = 9
#: Number of requests that a back end works on at a time.
SLOTS = 12
#: Interval at which a working back end looks whether its connection was closed, in seconds.
CLOSE_CHECK_SECONDS = 0.02
#: Beginning of an event that a back end breaks off, at any byte.
BROKEN_EVENT = b"id: 999\r\ndata: broken\n"


#: Time for which a back end that ended under a request stays away, in seconds.
RESTART_SECONDS = (0.3, 1.0)
#: Time for which a plain request that ends its back end would be worked on, in seconds.
FATAL_WORK_SECONDS = 5.0
#: Number of events of a stream that ends its back end; more than it generates until then.
FATAL_EVENTS = 60
#: Connections that fill the queue of a back end without power, and more.
QUEUED_CONNECTIONS = 4


def fatal_after(target):
    """Returns the seconds after which a target like /look/fatal/20 ends its back end, or None."""
    match = re.search(r"/fatal/(\d+)$", target)
    return int(match[1]) / 1000 if match else None


def requested_work(target):
    """Returns the seconds of work that a target like /look/work/2500 asks for; 0 without any."""
    match = re.search(r"/work/(\d+)$", target)
    return int(match[1]) / 1000 if match else 0.0


async def read_request(reader):
    """Returns (method, target, headers, body). IncompleteReadError at its end."""
    first, headers = await read_message_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await read_body(reader, headers)
    return method, target, headers, body


class Backend:
    """A replica: an engine that streams events, or an app service that sends plain answers."""

    #: Failure modes of a faulty back end, which affect a share of its answers.
    FAILURE_MODES = ("cut", "lost", "slow", "surplus", "refuse", "error")

    def __init__(self, history, clock, name, service, address, engine, seed, slots=SLOTS,
                 versions=1, unframed_share=0.0, late_copy_share=0.0):
        self.history = history
        self.clock = clock
        self.service = service
        self.address = address
        self.engine = engine
        #: Number of requests that it works on at a time; as many again wait, it rejects more.
        self.slots = slots
        self.random = random.Random(seed)
        self.incarnation = 0
        #: Number of software versions, of which each start draws one.
        self.versions = versions
        #: Separate generator, so that the draws of versions don't alter the other draws of a seed.
        self.version_random = random.Random(f"version-{seed}")
        self.version = ""
        #: Version of all starts from here on; a start draws one while there is none.
        self.released_version = ""
        #: Share of the answers with neither a length nor chunks, which end with their connection.
        self.unframed_share = unframed_share
        #: Separate generator, as for the versions.
        self.framing_random = random.Random(f"framing-{seed}")
        #: Share of the whole answers, rejections among them, that are sent twice: the copy comes in
        #: place of the next answer on the connection.
        self.late_copy_share = late_copy_share
        #: Separate generator, as for the versions.
        self.late_copy_random = random.Random(f"late-copy-{seed}")
        #: Copies that are due, by the writer of their connection.
        self.late_copies = {}
        #: Separate generator, as for the versions.
        self.fatal_random = random.Random(f"fatal-{seed}")
        #: Writers of event streams under way that have neither a length nor chunks.
        self.unframed_streams = set()
        self.name = name
        self.failure_mode = ""
        self.state = "ready"
        self.server = None
        #: Sockets that keep its address silent while it has no power.
        self.silent_sockets = []
        self.connections = set()
        #: Requests that it works on.
        self.current = []
        #: Requests that wait for a slot, in order.
        self.waiting = []

    @property
    def instance(self):
        return f"i-{self.name}-{self.incarnation}"

    async def start(self):
        if self.state == "ready" and self.server is not None and self.server.is_serving():
            # It came back by itself after a request had ended it.
            return
        self.incarnation += 1
        self.state = "ready"
        drawn = f"v{self.version_random.randint(1, self.versions)}"
        self.version = self.released_version or drawn
        self._close_silent_sockets()
        if self.engine:
            self.history.backend_services.append(
                BackendService(self.instance, self.version, self.clock()))
        self.server = await asyncio.start_server(self._serve, *self.address)

    def end_service(self):
        """Records that it takes no new requests from now on."""
        for service in self.history.backend_services:
            if service.backend == self.instance and service.ended is None:
                service.ended = self.clock()

    def leave(self):
        self.state = "draining"
        self.end_service()

    async def crash(self):
        self.end_service()
        self.server.close()
        self.state = "gone"
        for received in (*self.current, *self.waiting):
            received.broke_off = True
            self.history.ends.append(End(received.request, self.instance, self.clock()))
        for writer in list(self.unframed_streams):
            self._break_off_inside_event(writer)
        for writer in list(self.connections):
            if writer not in self.unframed_streams:
                writer.transport.abort()
        self.unframed_streams.clear()

    async def lose_power(self):
        """Ends as `crash` does; from then on connection attempts get no reply."""
        await self.crash()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(0)
        self.silent_sockets.append(listener)
        # A full queue of new connections makes the kernel drop further SYN packets.
        for _ in range(QUEUED_CONNECTIONS):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex(self.address)
            self.silent_sockets.append(queued)

    def _close_silent_sockets(self):
        for each in self.silent_sockets:
            each.close()
        self.silent_sockets.clear()

    async def _end_under(self, run, seconds):
        """Ends while it works on the request, and comes back after a while."""
        await asyncio.sleep(seconds)
        if run not in self.current:
            return
        await self.crash()
        await asyncio.sleep(self.fatal_random.uniform(*RESTART_SECONDS))
        if self.state == "gone":
            await self.start()

    @staticmethod
    def _reset(writer):
        """Ends a connection with a reset rather than a close."""
        connection = writer.get_extra_info("socket")
        if connection.fileno() >= 0:
            # The forwarder hasn't closed it before.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def _break_off_inside_event(self, writer):
        """Ends a connection so that its stream shows that it was broken off.

        A close follows only a part of an event: behind a whole one it would be the end of the stream.
        """
        part = BROKEN_EVENT[:self.framing_random.randint(0, len(BROKEN_EVENT))]
        if part:
            writer.write(part)
        if part and self.framing_random.random() < 0.5:
            writer.close()
        else:
            self._reset(writer)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self._answer(*await read_request(reader), reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            self.unframed_streams.discard(writer)
            self.late_copies.pop(writer, None)
            if not writer.is_closing():
                writer.transport.abort()

    @staticmethod
    def _head(status, fields):
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
        return f"HTTP/1.1 {status} Word\r\n{lines}\r\n".encode()

    def _begin_answer(self, writer, data):
        """Writes the beginning of an answer, behind the late copy of an earlier one if one is due."""
        writer.write(self.late_copies.pop(writer, b"") + data)

    def _keep_late_copy(self, writer, answer):
        """Draws whether a copy of a whole answer comes in place of the next one."""
        if self.late_copy_random.random() < self.late_copy_share:
            self.late_copies[writer] = answer

    async def _send_whole(self, writer, answer):
        self._begin_answer(writer, answer)
        self._keep_late_copy(writer, answer)
        await writer.drain()

    async def _wait_for_slot(self, receipt, deadline, reader):
        """Returns whether there is a slot before the deadline. ConnectionResetError on a close."""
        if len(self.waiting) >= self.slots:
            return False
        self.waiting.append(receipt)
        try:
            while self.waiting[0] is not receipt or len(self.current) >= self.slots:
                if self.clock() >= deadline:
                    return False
                await self._work(CLOSE_CHECK_SECONDS, reader)
            return True
        finally:
            self.waiting.remove(receipt)

    async def _work(self, seconds, reader):
        """Works for some seconds; ConnectionResetError once the connection is closed."""
        until = self.clock() + seconds
        while (left := until - self.clock()) > 0:
            await asyncio.sleep(min(left, CLOSE_CHECK_SECONDS))
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionResetError

    async def _answer(self, method, target, headers, body, reader, writer):
        request = headers.get("x-request-id", "")
        instance = self.instance
        common_headers = [("X-Request-Id", request), ("Keep-Alive", "timeout=5")]
        if headers.get("x-expected-instance", instance) != instance:
            await self._send_whole(writer, self._head(421, common_headers + [
                ("X-Not-Executed", "1"), ("Content-Length", "0")]))
            return True
        receipt = Receipt(request, instance, self.clock())
        self.history.receipts.append(receipt)
        failure = self.failure_mode if self.random.random() < 0.3 else ""
        deadline = self.clock() + float(headers.get("x-deadline-ms", "60000")) / 1000
        if failure == "refuse" or not await self._wait_for_slot(receipt, deadline, reader):
            await self._send_whole(writer, self._head(503, common_headers + [
                ("X-Not-Executed", "1"), ("Content-Length", "0")]))
            return True
        run = Run(request, instance, self.service, method, target, body, at=self.clock(),
                  tenant=headers.get("x-tenant-id", ""), key=headers.get("x-credential", ""),
                  version=self.version, last_event=int(headers.get("last-event-id", 0)))
        self.history.runs.append(run)
        self.current.append(run)
        try:
            return await self._run(run, common_headers, failure, reader, writer)
        finally:
            self.current.remove(run)
            run.ended = self.clock()

    async def _run(self, run, common_headers, failure, reader, writer):
        seconds = requested_work(run.target)
        fatal = fatal_after(run.target)
        if fatal is not None:
            asyncio.ensure_future(self._end_under(run, fatal))
            failure, seconds = "", 0.0 if self.engine else FATAL_WORK_SECONDS
        streams = self.engine and failure != "error"
        await self._work(self.random.uniform(0.005, 0.04) + (0.8 if failure == "slow" else 0)
                         + (0 if streams else seconds), reader)
        if failure == "lost":
            run.broke_off = True
            return False
        run.status = 500 if failure == "error" else 200
        common_headers.append(("X-Response-Signature", f"{run.backend}.{run.request}"))
        unframed = self.framing_random.random() < self.unframed_share
        if unframed and self.framing_random.random() < 0.5:
            common_headers.append(("Connection", "close"))
        if streams:
            return await self._stream(run, common_headers, failure, unframed, reader, writer)
        run.pieces = [f"{run.backend}:{run.request}:" + "p" * self.random.randrange(800)]
        payload = run.pieces[0].encode()
        sent = payload[:len(payload) // 2] if failure == "cut" else payload
        run.complete = sent == payload
        run.broke_off = not run.complete
        if unframed:
            return await self._send_unframed(run, common_headers, sent, writer)
        answer = self._head(run.status, common_headers + [("Content-Length", str(len(payload)))]) + sent
        self._begin_answer(writer, answer)
        if run.complete and failure != "surplus":
            self._keep_late_copy(writer, answer)
        if failure == "surplus":
            writer.write(self._head(200, common_headers + [("Content-Length", "5")]) + b"extra")
        await writer.drain()
        return run.complete

    async def _send_unframed(self, run, common_headers, sent, writer):
        """Sends a plain answer without a length; only a reset tells that it isn't whole."""
        self._begin_answer(writer, self._head(run.status, common_headers) + sent)
        await writer.drain()
        if run.complete:
            writer.close()
        else:
            self._reset(writer)
        return False

    async def _stream(self, run, common_headers, failure, unframed, reader, writer):
        framing = [] if unframed else [("Transfer-Encoding", "chunked")]
        sent = [self._head(200, common_headers + [("Content-Type", "text/event-stream"), *framing])]
        self._begin_answer(writer, sent[0])
        if unframed:
            self.unframed_streams.add(writer)
        count = self.random.randint(2, 8)
        if fatal_after(run.target) is not None:
            count = FATAL_EVENTS
        resumable = re.match(r"/streams/(\d+)/", run.target)
        if resumable:
            count = int(resumable[1])
        for number in range(run.last_event + 1, count + 1):
            if failure == "cut" and number == count:
                run.broke_off = True
                if unframed:
                    self._break_off_inside_event(writer)
                return False
            piece = (f"{run.version}.{number}" if resumable else
                     f"{run.request[:6]}-{number}-{self.random.randrange(1000)}")
            event = f"id: {number}\ndata: {piece}\n\n".encode()
            run.pieces.append(piece)
            sent.append(event if unframed else b"%x\r\n" % len(event) + event + b"\r\n")
            writer.write(sent[-1])
            await writer.drain()
            await self._work(0.01 + requested_work(run.target) / count, reader)
        run.complete = True
        if unframed:
            self.unframed_streams.discard(writer)
            writer.close()
            return False
        sent.append(b"0\r\n\r\n")
        writer.write(sent[-1])
        self._keep_late_copy(writer, b"".join(sent))
        await writer.drain()
        return True


class BackendList:
    """The platform's list of replicas, which is updated with a delay of LAG seconds."""

    UPDATE_DELAY = 0.5

    def __init__(self, backends, address):
        self.backends = backends
        self.address = address
        self.published = []

    def current_members(self):
        return [{"Id": backend.instance, "Service": backend.service,
                 "Address": f"{backend.address[0]}:{backend.address[1]}", "Zone": "zone-a",
                 "Slots": backend.slots, "Version": backend.version, "State": backend.state, "ColdRemainingMs": 0}
                for backend in self.backends if backend.state != "gone"]

    async def start(self):
        self.published = self.current_members()
        await asyncio.start_server(self._serve, *self.address)
        asyncio.ensure_future(self._publish_delayed())

    async def _publish_delayed(self):
        while True:
            seen = self.current_members()
            await asyncio.sleep(self.UPDATE_DELAY)
            self.published = seen

    async def _serve(self, reader, writer):
        try:
            while True:
                await read_request(reader)
                body = json.dumps({"Instances": self.published, "NextPageToken": None}).encode()
                writer.write(Backend._head(200, [("Content-Type", "application/json"),
                                                 ("Content-Length", str(len(body)))]) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()
