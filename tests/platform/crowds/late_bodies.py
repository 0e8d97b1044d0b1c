"""Requests whose last byte comes late in the grace of a planned stop.

The forwarder has to refuse the ones that it may have to cut off, before it sends them anywhere.
"""

import signal
import socket
import time
from dataclasses import dataclass

from .cases import MAX_BODY_BYTES
from .single_requests import SMALLEST_MACHINE
from .system import HOST

REQUESTS = 10
#: Seconds from the signal to the last byte; the grace is 8 s, and the cut-off 0.6 s before its end.
LAST_BYTE_SECONDS = 6
#: Seconds that the back end works on a request: longer than what is left then.
WORK_SECONDS = 3


@dataclass
class LateBodies:
    name: str = "late-bodies-at-a-stop"
    program: str = "forwarder"
    limits: tuple = SMALLEST_MACHINE
    max_body_bytes: int = MAX_BODY_BYTES

    def play(self, system):
        """Returns the list of what went wrong, and a line of figures."""
        for app in system.apps:
            app.work_seconds = WORK_SECONDS
        before = sum(len(app.received) for app in system.apps)
        callers = [self._begin(system, number) for number in range(REQUESTS)]
        process = system.processes[self.program]
        process.popen.send_signal(signal.SIGTERM)
        time.sleep(LAST_BYTE_SECONDS)
        for caller in callers:
            caller.sendall(b"b")
        answers = [self._answer(caller) for caller in callers]
        problems = []
        if any(not answer.startswith("HTTP/1.1 503") for answer in answers):
            problems.append(f"answers: {sorted(set(answers))}")
        sent = sum(len(app.received) for app in system.apps) - before
        if sent > 0:
            problems.append(f"{sent} requests reached a back end")
        if process.popen.wait() != 0:
            problems.append(f"exit code {process.popen.returncode}")
        del system.processes[self.program]
        refused = sum(answer.startswith("HTTP/1.1 503") for answer in answers)
        return problems, f"{refused} of {REQUESTS} refused"

    def _begin(self, system, number):
        """Sends a request but for its last byte."""
        path = "/once/1" if number % 2 else "/plain/1"
        caller = socket.create_connection(system.callers, timeout=20)
        caller.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: late{number:08x}\r\n"
                       "X-Deadline-Ms: 10000\r\nContent-Length: 2\r\n\r\nb".encode())
        return caller

    @staticmethod
    def _answer(caller):
        """Returns the first line of the answer; empty without one."""
        with caller:
            text = b""
            try:
                while b"\r\n" not in text:
                    piece = caller.recv(65536)
                    if not piece:
                        break
                    text += piece
            except OSError:
                pass
            return text.split(b"\r\n")[0].decode()
