"""Plays crowds of clients that don't behave against the real programs, one crowd at a time.

Checks what doesn't depend on the machine's speed: the process lives, its memory and its open
descriptors stay within what it was told, and ordinary requests are answered while the crowd holds
its connections and after it has gone.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from .cases import all_cases
from .endless_events import all_endless_events
from .late_bodies import LateBodies
from .single_requests import all_single_requests
from .system import PAUSE, System, eventually

#: Time in seconds for which the crowd holds its connections after the last one has sent its bytes.
HOLD_SECONDS = 1.5


def known_red():
    """Returns the reasons of the known failures by test, from the crowd lines of KNOWN-RED.txt."""
    path = pathlib.Path("KNOWN-RED.txt")
    lines = path.read_text().splitlines() if path.exists() else []
    parts = [line.removeprefix("crowd ").split(" | ", 1) for line in lines
             if line.startswith("crowd ")]
    return {name: reason for name, reason in parts}


class Crowd:
    """A process of clients that don't behave."""

    def __init__(self, plan):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.crowds.crowd"], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True)
        self.process.stdin.write(json.dumps(plan) + "\n")
        self.process.stdin.flush()

    def wait_until_sent(self):
        self.process.stdout.readline()

    def end(self):
        self.process.stdin.close()
        self.process.wait()


def served(system):
    """Returns whether an ordinary request is answered; one that is refused comes back."""
    return eventually(lambda: system.ordinary_request() == 200)


def play_crowd(case, system):
    """Returns the list of what went wrong, and a line of figures."""
    problems = []
    process = system.processes[case.program]
    memory_bound, descriptor_bound = case.limits[0] * 1_000_000, case.limits[1]
    idle_memory, idle_descriptors = process.memory(), process.open_descriptors()
    address = [system.address(case.plan.get("to", case.program)), case.port]
    crowd = Crowd({**case.plan, "address": address, "seed": 85})
    try:
        crowd.wait_until_sent()
        if process.lives and not served(system):
            problems.append("no ordinary request was answered beside the crowd")
        until = time.monotonic() + HOLD_SECONDS
        descriptors = 0
        while process.lives and time.monotonic() < until:
            descriptors = max(descriptors, process.open_descriptors())
            time.sleep(PAUSE)
        if descriptors >= descriptor_bound:
            problems.append(f"{descriptors} descriptors were open, all that there are")
    finally:
        crowd.end()
    if not process.lives:
        return ["the process ended"], ""
    if not served(system):
        problems.append("no ordinary request was answered after the crowd")
    peak = process.peak_memory()
    if peak > memory_bound:
        problems.append(f"peak memory {peak} above {memory_bound}")

    def is_back():
        return (process.open_descriptors() <= idle_descriptors + 32
                and process.memory() <= idle_memory + memory_bound / 4)

    # A store keeps the turns for their retention.
    if "to" not in case.plan and not eventually(is_back):
        problems.append(f"memory {idle_memory} -> {process.memory()}, descriptors "
                        f"{idle_descriptors} -> {process.open_descriptors()} after the crowd")
    return problems, (f"peak {peak / 1e6:.1f} of {memory_bound / 1e6:.0f} MB, left "
                      f"{process.memory() / 1e6:.1f} MB, descriptors {descriptors} of "
                      f"{descriptor_bound}")


def run_case(case, options):
    with tempfile.TemporaryDirectory(prefix="tallyfold-crowd-") as folder:
        system = System(options.build, pathlib.Path(folder), {case.program: case.limits},
                        case.max_body_bytes, not options.without_memory_limit, options.network)
        try:
            system.start()
            play = getattr(case, "play", None)
            problems, figures = play(system) if play else play_crowd(case, system)
            for name, process in system.processes.items():
                if not process.lives:
                    problems.append(f"{name} ended")
            return problems, figures
        finally:
            system.stop()
            if options.keep:
                log = pathlib.Path(folder) / f"{case.program}.log"
                pathlib.Path(options.keep, f"{case.name}.log").write_bytes(log.read_bytes())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="folder of the programs")
    parser.add_argument("--only", default="", help="cases whose names begin so, separated by commas")
    parser.add_argument("--without-memory-limit", action="store_true",
                        help="leaves the memory limit out of the settings, for earlier builds")
    parser.add_argument("--network", type=int, default=85, help="second part of all addresses (85)")
    parser.add_argument("--keep", help="folder for the logs")
    options = parser.parse_args()
    listed = known_red()
    passed = failed = 0
    for case in [*all_single_requests(), *all_endless_events(), LateBodies(), *all_cases()]:
        if not case.name.startswith(tuple(options.only.split(","))):
            continue
        began = time.monotonic()
        problems, figures = run_case(case, options)
        print(f"{'FAILED' if problems else 'ok'}: {case.name}: {figures} "
              f"({time.monotonic() - began:.1f} s)", flush=True)
        for problem in problems:
            print(f"    {problem}", flush=True)
        if problems and case.name in listed:
            print(f"known red: {case.name}: {listed[case.name]}", flush=True)
            continue
        passed += not problems
        failed += bool(problems)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
