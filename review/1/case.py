"""A store machine may be retired though too few would remain; after that, the group of stores is never repaired."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import HOST, TROUBLE, Client, Fleet, Replica, render_head, run_case

CASE = pathlib.Path(__file__).resolve().parent
EVENTS, EVENT_S = 3, 0.01
CATCH_UP_S, RECOVERY_S, LAST_S = 4.4, 12.0, 4.0
CONFIGURATION = {
    "Version": 1,
    "Routes": [{"Name": "r", "Hostname": HOST, "PathPrefix": "/chat/", "Type": "streaming", "TimeoutMs": 4000,
                "TargetLatencyMs": 250, "Priority": 1, "Service": "lm", "MaxAttempts": 1, "KeepsHistory": True,
                "RetentionS": 60.0, "SessionAffinity": True, "Resumable": False, "TargetGapMs": 200}],
    "Services": [{"Name": "lm", "HealthPath": "/health", "MaxConnections": 170, "Protocol": "h1", "Tls": False,
                  "Engine": {"Slots": 12, "KvCapacity": 139361, "KvTokenBytes": 131072, "BandwidthMbps": 1100000.0,
                             "Backups": True, "Stride": 9, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
                             "handle_s": 5.0, "Models": [{"Name": "m"}]}}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Engine(Replica):
    async def work(self, connection, method, path, headers, body):
        request = headers["x-request-id"]
        writer = connection["writer"]
        writer.write(render_head("HTTP/1.1 200 OK", [
            ("X-Request-Id", request), ("X-Response-Signature", f"sig.{request}"), ("X-Weight-Versions", "1"),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def respond(self, connection, request, result):
        pass


class Turns:
    """Sends turns over all forwarders in turn, and keeps what was answered and run."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.count = 0
        #: Sent at, whether it was answered whole with 200, and the request, by kind.
        self.sent = {"first": [], "next": []}

    async def send(self, kind, program, previous):
        self.count += 1
        request = f"{kind}-{self.count}"
        forwarders = self.fleet.of("forwarder")
        forwarder = forwarders[self.count % len(forwarders)]
        headers = [("Host", HOST), ("X-Request-Id", request), ("X-Deadline-Ms", "4000"), ("X-Program-Id", program),
                   ("X-Session-Id", program), ("X-Program-Deadline-Ms", "90000"), ("X-Token-Budget", "100000"),
                   ("X-Model", "m"), ("X-Token-Usage", "100,27"), ("X-Prefix-Hash", f"{self.count:x}:100")]
        if previous:
            headers.append(("X-Previous-Turn", previous))
        at = self.fleet.record.now()
        self.fleet.record.write("send", request=request, program=program, previous=previous or "-", to=forwarder.name)
        answer = await Client(forwarder.address, self.fleet.front_port).request("POST", "/chat/1", headers, b"text", limit=6)
        served = answer.whole and answer.status == 200
        self.fleet.record.write("answer", request=request, status=answer.status, whole=answer.whole, error=answer.error)
        self.sent[kind].append((at, served, request))
        return request if served else None

    async def stream_of_first_turns(self):
        while True:
            await self.send("first", f"p{self.count}", None)
            await asyncio.sleep(0.3)


async def main():
    fleet = Fleet(CASE, forwarders=3, stores=4)
    fleet.replicas = [Engine(fleet, f"i-lm-{number}", "lm", slots=12, queue=12) for number in range(3)]
    one, two, three, four = fleet.of("turn-store")
    fleet.nodes.remove(four)
    turns = Turns(fleet)
    others = []
    try:
        await fleet.start(CONFIGURATION)
        await asyncio.sleep(4)
        others = [asyncio.ensure_future(turns.stream_of_first_turns()) for _ in range(4)]
        conversation = await turns.send("next", "conversation", None)

        # The third store machine is gone for good; an empty one comes 1 s later at another address.
        await three.kill()
        three.wipe()
        await asyncio.sleep(1)
        fleet.nodes.append(four)
        await four.start()
        await asyncio.sleep(14)
        conversation = await turns.send("next", "conversation", conversation) or conversation

        # Three store machines are left. The operator asks to empty one of them.
        if TROUBLE:
            answer = await fleet.operator("POST", f"/v1/retire/{one.name}/start", json.dumps({"DurationS": 10}).encode())
            print(f"retire {one.name}: {answer.status}")
        await asyncio.sleep(4)

        # The second store machine loses its disk, and is back after 2 s.
        await two.kill()
        two.wipe()
        await asyncio.sleep(2)
        await two.start()
        await asyncio.sleep(CATCH_UP_S + 3)
        conversation = await turns.send("next", "conversation", conversation) or conversation

        # The final fault: one machine loses its disk, and is back after 1 s.
        final = fleet.record.now()
        await four.kill()
        four.wipe()
        await asyncio.sleep(1)
        await four.start()
        back = fleet.record.now()
        end = back + RECOVERY_S + LAST_S + 2
        while fleet.record.now() < end:
            conversation = await turns.send("next", "conversation", conversation) or conversation
            await asyncio.sleep(0.3)
        if TROUBLE:
            answer = await fleet.operator("GET", f"/v1/retire/{one.name}/describe")
            print(f"retire {one.name}: {answer.body.decode()}")
    finally:
        for each in others:
            each.cancel()
        await fleet.stop()
    ran = {request for _, request, _ in fleet.runs}
    everything = turns.sent["first"] + turns.sent["next"]
    before = [served for at, served, _ in everything if at < final]
    after = [served for at, served, _ in everything if at > back + RECOVERY_S]
    last = [request for at, _, request in turns.sent["next"] if at > end - LAST_S]
    reached = [request for request in last if request in ran]
    print(f"turns served before the final fault: {sum(before)} of {len(before)}; later than {RECOVERY_S:.0f} s after the return: "
          f"{sum(after)} of {len(after)}; of the conversation in the last {LAST_S:.0f} s {len(reached)} of {len(last)} reached a replica")
    violations = []
    if last and not reached:
        violations.append(f"LOST: no turn that continues {conversation} reached a replica in the last {LAST_S:.0f} s")
    if sum(before) >= len(before) / 4 and sum(after) < len(after) / 4:
        violations.append(f"RECOVER: {sum(after)} of {len(after)} turns served")
    return violations


run_case(main)
