"""Back ends of the crowd tests, and the list that names them. Threads of the test's own process."""

import json
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ANSWER = b"a" * 800
EVENTS = 4


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """A forwarder may close its connection at any time."""

    def server_bind(self):
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address


class _ServerThread:
    def __init__(self, address, handler):
        self.address = address
        self.handler = handler
        self.server = None

    def start(self):
        self.server = _Server(self.address, self.handler)
        self.server.owner = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()
            self.server = None


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Writes no access log."""


class _BackendHandler(_Handler):
    def _read(self):
        left = int(self.headers.get("Content-Length", 0))
        size = 0
        while size < left:
            piece = self.rfile.read(min(65536, left - size))
            if not piece:
                raise ConnectionResetError
            size += len(piece)
        return size

    def do_GET(self):
        self.do_POST()

    def do_POST(self):
        backend = self.server.owner
        size = self._read()
        request = self.headers.get("X-Request-Id", "")
        if backend.take_failure():
            # The connection ends without an answer after the request has been read.
            self.close_connection = True
            return
        backend.received.append((request, size))
        time.sleep(backend.work_seconds)
        self.send_response_only(200)
        self.send_header("X-Request-Id", request)
        self.send_header("X-Response-Signature", f"s.{request}")
        if backend.streams:
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: e%d\n\n" % (number, number)
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.write(b"0\r\n\r\n")
        else:
            self.send_header("Content-Length", str(len(ANSWER)))
            self.end_headers()
            self.wfile.write(ANSWER)


class Backend(_ServerThread):
    """A replica of one service. `received` holds (request, size of its body)."""

    def __init__(self, address, service, number, streams):
        super().__init__(address, _BackendHandler)
        self.service = service
        self.name = f"{service}-{number}"
        self.streams = streams
        self.received = []
        #: Time that a request takes.
        self.work_seconds = 0
        #: One element for each request to fail; may be shared with other back ends.
        self.failures = []

    @staticmethod
    def fail_next(backends):
        """Ends the connection of the next request to any of them instead of answering it."""
        failures = [None]
        for backend in backends:
            backend.failures = failures

    def take_failure(self):
        try:
            self.failures.pop()
            return True
        except IndexError:
            return False

    def member(self):
        return {"Id": self.name, "Service": self.service,
                "Address": f"{self.address[0]}:{self.address[1]}", "Zone": "zone-a", "Slots": 64,
                "Version": "v1", "State": "ready", "ColdRemainingMs": 0}


class _ListHandler(_Handler):
    def do_GET(self):
        members = [backend.member() for backend in self.server.owner.backends]
        body = json.dumps({"Instances": members, "NextPageToken": None}).encode()
        self.send_response_only(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class BackendList(_ServerThread):
    def __init__(self, address, backends):
        super().__init__(address, _ListHandler)
        self.backends = backends
