"""A single request inside the limits, alone: it is served, whatever its size and framing.

The process has the memory of the smallest machine, and the body the largest allowed size.
"""

from dataclasses import dataclass

from .backends import Backend
from .cases import MIB

SMALLEST_MACHINE = (48, 4100)
LARGEST_BODY = 4 * MIB


@dataclass
class SingleRequest:
    name: str
    chunk: int | None = None
    #: The back end fails once, so that the request is sent again.
    fails_once: bool = False
    turn: bool = False
    program: str = "forwarder"
    limits: tuple = SMALLEST_MACHINE
    max_body_bytes: int = LARGEST_BODY

    def play(self, system):
        """Returns the list of what went wrong, and a line of figures."""
        if self.turn:
            return self._play_turns(system)
        if self.fails_once:
            Backend.fail_next(system.apps)
        status = system.ordinary_request(b"b" * LARGEST_BODY, chunk=self.chunk)
        received = max((size for app in system.apps for _, size in app.received), default=0)
        problems = []
        if status != 200 or received != LARGEST_BODY:
            problems.append(f"status {status}, {received} of {LARGEST_BODY} bytes at the back end")
        return problems, self._figures(system, problems)

    def _play_turns(self, system):
        problems = []
        fields = {"X-Program-Id": "p1", "X-Session-Id": "s1", "X-Token-Usage": "1000,36"}
        first = {**fields, "X-Request-Id": "turn0001"}
        status = system.ordinary_request(b"b" * LARGEST_BODY, "/turn/1", first, self.chunk)
        second = {**fields, "X-Request-Id": "turn0002", "X-Previous-Turn": "turn0001"}
        later = system.ordinary_request(b"next", "/turn/1", second)
        sizes = [size for _, size in system.engine.received]
        if (status, later) != (200, 200) or sizes[0] != LARGEST_BODY or sizes[1] <= LARGEST_BODY:
            problems.append(f"status {status} and {later}, bytes at the back end {sizes}")
        return problems, self._figures(system, problems)

    def _figures(self, system, problems):
        peak = system.processes["forwarder"].peak_memory()
        if peak > self.limits[0] * 1_000_000:
            problems.append(f"peak memory {peak}")
        return f"peak {peak / 1e6:.1f} of {self.limits[0]} MB"


def all_single_requests():
    return [SingleRequest("single-length"), SingleRequest("single-large-chunks", chunk=256 << 10),
            SingleRequest("single-small-chunks", chunk=1),
            SingleRequest("single-sent-again", fails_once=True),
            SingleRequest("single-turn", turn=True)]
