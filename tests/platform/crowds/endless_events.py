"""Streams whose back end sends events without end, while ordinary requests are served beside them."""

import json
import subprocess
import sys
from dataclasses import dataclass

from .cases import MAX_BODY_BYTES
from .single_requests import SMALLEST_MACHINE

STREAMS = 150
ORDINARY_REQUESTS = 20
#: Deadline of an ordinary request, as the field that tells it.
ORDINARY_FIELDS = {"X-Deadline-Ms": "3000"}


def start_helper(module, plan):
    """Starts a helper process and waits until it has printed its line."""
    process = subprocess.Popen([sys.executable, "-m", f"tests.platform.crowds.{module}"],
                               stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    process.stdin.write(json.dumps(plan) + "\n")
    process.stdin.flush()
    process.stdout.readline()
    return process


def end_helper(process):
    process.stdin.close()
    process.wait()


@dataclass
class EndlessEvents:
    name: str
    #: Form of the events; see endless_backend.py.
    form: str
    path: str
    program: str = "forwarder"
    limits: tuple = SMALLEST_MACHINE
    max_body_bytes: int = MAX_BODY_BYTES

    def play(self, system):
        """Returns the list of what went wrong, and a line of figures."""
        backend = system.endless if self.path.startswith("/stream/") else system.engine
        backend.stop()
        server = start_helper("endless_backend", {"address": backend.address, "form": self.form})
        crowd = start_helper("crowd", {
            "address": system.callers, "seed": 88, "path": self.path, "message": "length", "body": 1,
            "ending": "unanswered", "pace": "at-once", "count": STREAMS})
        try:
            answers = [system.ordinary_request(headers=ORDINARY_FIELDS)
                       for _ in range(ORDINARY_REQUESTS)]
        finally:
            end_helper(crowd)
            end_helper(server)
        problems = []
        served = answers.count(200)
        if served < ORDINARY_REQUESTS:
            problems.append(f"ordinary requests beside the streams: {answers}")
        process = system.processes[self.program]
        if not process.lives:
            return [*problems, "the process ended"], ""
        peak, bound = process.peak_memory(), self.limits[0] * 1_000_000
        if peak > bound:
            problems.append(f"peak memory {peak} above {bound}")
        return problems, f"peak {peak / 1e6:.1f} of {bound / 1e6:.0f} MB, {served} of {ORDINARY_REQUESTS} served"


def all_endless_events():
    return [EndlessEvents("endless-line", "line", "/stream/crowd"),
            EndlessEvents("endless-comments", "comments", "/stream/crowd"),
            EndlessEvents("endless-events-of-turns", "events", "/turn/crowd")]
