"""Starts the programs of the forwarding plane on loopback, one process each, with given limits."""

import json
import pathlib
import re
import resource
import subprocess
import time

from . import http_client
from .backends import Backend, BackendList

HOST = "h.example"
DIRECTORY_PORT, STORE_PORT, OPERATORS_PORT = 7701, 7702, 7703
CALLERS_PORT, READINESS_PORT, METRICS_PORT, LIST_PORT = 7704, 7705, 7706, 7709
#: Memory in MB and descriptors of the processes that no crowd reaches.
OTHER_LIMITS = (2048, 4096)
#: Limit in seconds of everything that has to come true eventually, and the pause between attempts.
EVENTUALLY_SECONDS, PAUSE = 30, 0.2


def eventually(condition):
    """Returns the first true value of `condition()`, or its last one."""
    until = time.monotonic() + EVENTUALLY_SECONDS
    while not (value := condition()) and time.monotonic() < until:
        time.sleep(PAUSE)
    return value


class Process:
    """One program. Its memory and descriptors are read from /proc."""

    def __init__(self, command, log, descriptors):
        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with log.open("ab") as output:
            self.popen = subprocess.Popen(command, stdout=output, stderr=output,
                                          preexec_fn=limit_descriptors)
        self.folder = pathlib.Path("/proc") / str(self.popen.pid)

    @property
    def lives(self):
        return self.popen.poll() is None

    def _status(self, field):
        match = re.search(rf"^{field}:\s+(\d+) kB", (self.folder / "status").read_text(), re.M)
        return int(match[1]) * 1024

    def memory(self):
        """Returns the resident bytes."""
        return self._status("VmRSS")

    def peak_memory(self):
        """Returns the maximum of the resident bytes since the start."""
        return self._status("VmHWM")

    def open_descriptors(self):
        return len(list((self.folder / "fd").iterdir()))

    def kill(self):
        self.popen.kill()
        self.popen.wait()


class System:
    """One directory node, one turn store, one forwarder, and a back end for each service.

    `limits` maps a program to (memory in MB, descriptors) that its process is told. Without
    `tells_memory`, the settings files have no memory limit, as builds before the limit need it.
    """

    def __init__(self, build, work, limits, max_body_bytes, tells_memory=True, network=85):
        self.build = pathlib.Path(build)
        self.work = pathlib.Path(work)
        self.limits = limits
        self.max_body_bytes = max_body_bytes
        self.tells_memory = tells_memory
        #: Beginning of all addresses; systems with different ones can run at the same time.
        self.network = f"127.{network}.9"
        self.apps = [Backend((f"{self.network}.{30 + number}", 7710), "apps", number, streams=False)
                     for number in range(2)]
        self.engine = Backend((f"{self.network}.40", 7710), "engines", 0, streams=True)
        self.endless = Backend((f"{self.network}.50", 7710), "streams", 0, streams=True)
        self.list = BackendList((f"{self.network}.99", LIST_PORT),
                                [*self.apps, self.engine, self.endless])
        self.processes = {}

    def address(self, program):
        return f"{self.network}.{['directory', 'turn-store', 'forwarder'].index(program) + 1}"

    @property
    def callers(self):
        return self.address("forwarder"), CALLERS_PORT

    def start(self):
        for server in (*self.apps, self.engine, self.endless, self.list):
            server.start()
        for program in ("directory", "turn-store", "forwarder"):
            self._start(program)
        if not eventually(self.configure):
            raise RuntimeError("the configuration was not acknowledged")
        if not eventually(self.is_ready):
            raise RuntimeError("the forwarder did not become ready")

    def _start(self, program):
        memory, descriptors = self.limits.get(program, OTHER_LIMITS)
        ip = self.address(program)
        path = self.work / f"{program}.toml"
        lines = [
            f'node = "{program}-0"', 'zone = "zone-a"', f'ip = "{ip}"',
            f"directory_port = {DIRECTORY_PORT}", f"store_port = {STORE_PORT}",
            f'seeds = ["{self.address("directory")}:{OPERATORS_PORT}"]', 'first_start = "true"',
            f'data_folder = "{self.work / program}"', "losses_borne = 0",
            f'callers_address = "{ip}:{CALLERS_PORT}"',
            f'readiness_address = "{ip}:{READINESS_PORT}"',
            f'operators_address = "{ip}:{OPERATORS_PORT}"', f"metrics_port = {METRICS_PORT}",
            f'backend_list_address = "{self.network}.99:{LIST_PORT}"']
        if self.tells_memory:
            lines.append(f"memory_mb = {memory}")
        path.write_text("\n".join(lines) + "\n")
        self.processes[program] = Process(
            [str(self.build / f"tallyfold-{program}"), "--settings", str(path)],
            self.work / f"{program}.log", descriptors)

    def configuration(self):
        def route(name, kind, service, **more):
            return {"Name": name, "Hostname": HOST, "PathPrefix": f"/{name}/", "Type": kind,
                    "TimeoutMs": 20000, "TargetLatencyMs": 1000, "Priority": 0,
                    "Service": service, "MaxAttempts": 2, **more}

        engine = {"Slots": 64, "KvCapacity": 100000, "Stride": 9, "Models": [{"Name": "m"}]}
        return {
            "Version": 1,
            "Routes": [route("plain", "idempotent", "apps"), route("once", "non_idempotent", "apps"),
                       route("stream", "streaming", "streams", Resumable=True),
                       route("turn", "streaming", "engines", KeepsHistory=True, RetentionS=60.0)],
            "Services": [{"Name": "apps", "HealthPath": "/health", "MaxConnections": 400},
                         {"Name": "streams", "HealthPath": "/health", "MaxConnections": 400},
                         {"Name": "engines", "HealthPath": "/health", "MaxConnections": 400,
                          "Engine": engine}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": self.max_body_bytes,
                       "HeaderTimeoutMs": 60000, "IdleTimeoutMs": 60000}}

    def operators_call(self, method, path, body=b""):
        """Returns the answer of the directory node; None without one."""
        address = (self.address("directory"), OPERATORS_PORT)
        return http_client.call(address, method, path, {"Host": "operators"}, body)

    def configure(self):
        answer = self.operators_call("POST", "/v1/config/replace",
                                     json.dumps(self.configuration()).encode())
        return answer is not None and answer.status == 200

    def is_ready(self):
        address = (self.address("forwarder"), READINESS_PORT)
        answer = http_client.call(address, "GET", "/", {"Host": "platform"}, b"")
        return answer is not None and answer.status == 200

    def ordinary_request(self, body=b"ordinary", path="/plain/1", headers=None, chunk=None):
        """Sends one request and returns the status of its answer; 0 when it isn't whole."""
        fields = {"Host": HOST, "X-Request-Id": http_client.new_request(),
                  "X-Deadline-Ms": "20000", **(headers or {})}
        answer = http_client.call(self.callers, "POST", path, fields, body, chunk)
        if answer is None:
            return 0
        whole = answer.status != 200 or "x-response-signature" in answer.headers
        return answer.status if whole else 0

    def stop(self):
        for process in self.processes.values():
            process.kill()
        for server in (*self.apps, self.engine, self.endless, self.list):
            server.stop()
