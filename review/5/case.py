"""LOST: turns that a store missed while it was restarted are lost with two further losses that the pages allow. See claim.txt.

1. Planned: a turn store is stopped with SIGTERM and started again. Turns are answered whole meanwhile; two stores keep them.
2. Planned: another store is replaced by an empty one at another address: the new one is started, and 1 s later the old one
   gets SIGTERM and is gone for good, with its disk.
3. Unplanned: once the successor has had CatchUpS, the third store loses its disk and comes back empty.
With TROUBLE=0 the first two happen.
"""
import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import small_plane as sp  # noqa: E402

# Bounds of dgh-fantasy, in seconds.
CATCH_UP, CONTACT, RECOVERY, RETENTION = 4.4, 3.0, 12.0, 60.0
SIGTERM_AFTER = 1.0
# Counted from the successor's start: a little more than CatchUpS.
WIPE_AFTER = float(os.environ.get("WIPE_AFTER", CATCH_UP + 0.15))
TURNS, TRIES = 20, 6
CONFIGURATION = {
    "Version": 7,
    "Routes": [{"Name": "coach", "Hostname": "h.example", "PathPrefix": "/coach/", "Type": "streaming", "TimeoutMs": 4000,
                "TargetLatencyMs": 250, "Priority": 1, "Service": "models", "MaxAttempts": 1, "KeepsHistory": True,
                "RetentionS": RETENTION, "SessionAffinity": True, "Resumable": False, "TargetGapMs": 200}],
    "Services": [sp.engine("models")],
    "Limits": sp.limits(),
}


async def work(replica, fields, body, writer):
    request = fields["x-request-id"]
    await asyncio.sleep(0.02)
    writer.write(sp.event_stream(request, [f"{request}-{n}" for n in range(1, 5)]))


class Client:
    def __init__(self, plane, replicas):
        self.plane, self.replicas = plane, replicas

    async def turn(self, program, previous, front):
        """(request id, answered whole, reached a replica)"""
        request = f"{random.randrange(1 << 64):016x}"
        fields = {"Host": "h.example", "X-Request-Id": request, "X-Program-Id": program, "X-Session-Id": program,
                  "X-Model": "m", "X-Token-Usage": "400,36", "X-Prefix-Hash": f"{program}:400", "X-Deadline-Ms": "4000",
                  "X-Program-Deadline-Ms": "120000", "X-Token-Budget": "100000"}
        if previous:
            fields["X-Previous-Turn"] = previous
        answer = await sp.call(self.plane.front(front), "POST", "/coach/a", fields, b"input of " + request.encode(), 6)
        ran = any(run[0] == request for replica in self.replicas for run in replica.runs)
        self.plane.record(f"client: turn {request} of program {program} after {previous or 'nothing'}, forwarder-{front + 1}: "
                          f"{answer}; {'reached a replica' if ran else 'reached no replica'}")
        return request, answer.status == 200 and answer.whole, ran


async def case(plane):
    replicas = [sp.Replica(plane, n, "models", 12, work) for n in range(11)]
    await plane.begin(replicas, CONFIGURATION)
    client = Client(plane, replicas)

    def start_store(number, ip):
        plane.start("turn-store", f"store-{number}", ip, first_start=False)

    async def end_store(number, how):
        plane.signal(f"store-{number}", how)
        while plane.processes[f"store-{number}"].poll() is None:
            await asyncio.sleep(0.02)

    # 1. Planned restart of store-3.
    await end_store(3, signal.SIGTERM)
    kept = []
    for number in range(TURNS):
        program = f"{random.randrange(1 << 32):08x}"
        request, whole, _ = await client.turn(program, None, number % 2)
        if whole:
            kept.append((program, request, time.monotonic()))
    start_store(3, plane.stores[2])
    if len(kept) < TURNS:
        raise sp.CannotRun("a first turn wasn't answered whole")
    await asyncio.sleep(CATCH_UP + CONTACT)

    # 2. Planned replacement of store-1 by store-4.
    start_store(4, f"{plane.prefix}.14")
    begun = time.monotonic()
    await asyncio.sleep(SIGTERM_AFTER)
    await end_store(1, signal.SIGTERM)
    plane.record(f"store-1 is gone, {time.monotonic() - begun:.2f} s after its successor was started")
    await asyncio.sleep(begun + WIPE_AFTER - time.monotonic())
    if sp.TROUBLE:
        # 3. store-2 loses its disk.
        plane.record(f"{time.monotonic() - begun:.2f} s after the successor was started, store-2 loses its disk")
        await end_store(2, signal.SIGKILL)
        shutil.rmtree(pathlib.Path(plane.work.name) / "data-store-2")
        await asyncio.sleep(1.0)
        start_store(2, plane.stores[1])
    await asyncio.sleep(RECOVERY)
    reached = {request: 0 for _, request, _ in kept}
    statuses = []
    firsts = []
    for attempt in range(TRIES):
        results = await asyncio.gather(*[client.turn(program, request, (attempt + number) % 2)
                                         for number, (program, request, _) in enumerate(kept) if not reached[request]])
        waiting = [request for _, request, _ in kept if not reached[request]]
        for request, (_, _, ran) in zip(waiting, results):
            reached[request] += ran
        if all(reached.values()):
            break
        firsts += [ran for _, _, ran in await asyncio.gather(*[
            client.turn(f"{random.randrange(1 << 32):08x}", None, number % 2) for number in range(4)])]
        await asyncio.sleep(random.uniform(0.1, 0.4))
    age = time.monotonic() - min(at for _, _, at in kept)
    lost = [request for request in reached if not reached[request]]
    plane.note_ends()
    plane.record(f"{len(lost)} of {len(kept)} turns, answered whole at most {age:.1f} s ago and kept for {RETENTION:.0f} s, can't be "
                 f"continued: no replica was reached in {attempt + 1} tries; first turns: {sum(firsts)} of {len(firsts)} reached one")
    for line in [line for number in (1, 2, 3) for line in plane.log_of(f"directory-{number}").splitlines()
                 if "store_majority_lost" in line or "store_map_changed" in line][-14:]:
        plane.record(f"log of the directory: {line[:230]}")
    return bool(lost) and attempt + 1 >= 5 and age < RETENTION and sum(firsts) * 10 >= len(firsts) * 9


sp.play(HERE, case)
