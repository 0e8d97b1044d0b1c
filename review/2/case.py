"""A surplus copy of a rejection arrives in the place of the answer to the next request on its connection."""
import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from fleet import HOST, TROUBLE, Client, Fleet, Replica, run_case

CASE = pathlib.Path(__file__).resolve().parent
#: Share of the answers that are sent twice, for how long, how often and the pauses between; the site file's garble
#: 'extra late' has 0.03 and 5 s.
SHARE, FIRST_S, FOR_S, TIMES, PAUSE_S = 0.03, 2.0, 5.0, 2, 2.0
FORWARDERS, CLIENTS = 16, 32


class SurplusReplica(Replica):
    """Sends some whole answers twice; the copy comes late, in the place of the next answer on the connection."""

    def __init__(self, *arguments, faulty, **options):
        super().__init__(*arguments, **options)
        self.faulty = faulty
        self.random = random.Random(self.name)

    async def work(self, connection, method, path, headers, body):
        await asyncio.sleep(0.026)
        return b"quoted"

    async def send(self, connection, request, status, headers, body):
        fields = [("X-Request-Id", request), *headers, ("Content-Length", str(len(body)))]
        head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"
        whole = head.encode() + body
        surplus = connection.pop("surplus", None)
        if surplus is not None:
            self.fleet.record.write("surplus", replica=self.name, of=surplus[0], status=surplus[1], before=request)
            connection["writer"].write(surplus[2])
        connection["writer"].write(whole)
        active = TROUBLE and self.faulty and self.fleet.in_trouble()
        if surplus is None and active and self.random.random() < SHARE:
            connection["surplus"] = (request, status, whole)
        await connection["writer"].drain()


async def main():
    fleet = Fleet(CASE, forwarders=FORWARDERS)
    start = None

    def in_trouble():
        since = -1 if start is None else fleet.record.now() - start - FIRST_S
        return 0 <= since < TIMES * (FOR_S + PAUSE_S) and since % (FOR_S + PAUSE_S) < FOR_S

    fleet.in_trouble = in_trouble
    # 1 of 2 replicas: the site file's garble 'extra late' strikes a share of 0.6.
    fleet.replicas = [SurplusReplica(fleet, f"i-app-{number}", "app", slots=6, queue=1, faulty=number < 1)
                      for number in range(2)]
    answers = {}
    try:
        await fleet.start({
            "Version": 1,
            "Routes": [{"Name": "r", "Hostname": HOST, "PathPrefix": "/quote/", "Type": "non_idempotent",
                        "TimeoutMs": 3000, "TargetLatencyMs": 500, "Priority": 2, "Service": "app", "MaxAttempts": 1}],
            "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
        start = fleet.record.now()
        end = start + FIRST_S + TIMES * (FOR_S + PAUSE_S)

        async def client(number):
            forwarder = fleet.of("forwarder")[number % FORWARDERS]
            count = 0
            while fleet.record.now() < end:
                count += 1
                request = f"c{number}-{count}"
                fleet.record.write("send", request=request, to=forwarder.name)
                answer = await Client(forwarder.address, fleet.front_port).request(
                    "POST", "/quote/1", [("Host", HOST), ("X-Request-Id", request), ("X-Deadline-Ms", "3000")], b"quote")
                answers[request] = answer
                fleet.record.write("answer", request=request, status=answer.status, whole=answer.whole, error=answer.error)
                if answer.status != 200:
                    await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        await asyncio.sleep(0.5)
    finally:
        await fleet.stop()
    runs = collections.Counter(request for _, request, _ in fleet.runs)
    violations = [f"TWICE: {request} ran {count} times" for request, count in runs.items() if count > 1]
    violations += [f"REFUSED: {request} ran, and was answered with {answer.status}" for request, answer in answers.items()
                   if answer.status in (429, 503, 408, 421) and runs[request]]
    statuses = collections.Counter(answer.status for answer in answers.values())
    print(f"requests: {len(answers)}, answers by status: {dict(statuses)}, runs: {len(fleet.runs)}")
    return violations


run_case(main)
