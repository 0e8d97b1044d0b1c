"""Callers that run programs of several turns."""

import asyncio
import random

from .backends import TOKENS_PER_EVENT
from .connections import ConnectionPool
from .history import Attempt, Ending, RouteProbe

HOST = "soak.example"
MAX_TOKENS = 8 * TOKENS_PER_EVENT
RETENTION_SECONDS = 600.0
#: Time between the acknowledgement of a change and the callers' use of a route it added, in
#: seconds: a node may still use a confirmation that it requested shortly before.
ADDED_ROUTE_DELAY = 0.1
#: Time after its acknowledgement by which a change must be in force at every node, in seconds.
IN_FORCE_SECONDS = 2.0
#: Maximum number of attempts to continue a turn at the end, and their time limit in seconds.
#: Requests with an invalid key or over the tenant's limit, which stays exhausted for QUOTA_WINDOW,
#: don't count.
CONTINUATION_ATTEMPTS, CONTINUATION_SECONDS = 12, 60.0
#: Number of consecutive calls to a newly added route.
PROBES = 6


class Caller:
    """Runs programs one after the other, sending each turn to a random forwarder."""

    def __init__(self, history, clock, forwarders, seed, tenant, keys, added,
                 keeps_connections=False):
        self.history = history
        self.clock = clock
        self.forwarders = forwarders
        #: Times of acknowledgement by path of the routes that changes added.
        self.added = added
        self.random = random.Random(seed)
        #: Separate generator, so that draws of added routes don't alter the other draws of a seed.
        self.added_routes_random = random.Random(f"added-{seed}")
        self.tenant = tenant
        self.keys = keys
        #: Callers of other tenants, whose turns this one must not be able to continue.
        self.other_tenant_callers = []
        self.connections = ConnectionPool(clock, keeps_connections)
        self.stopping = False
        #: Completely answered turns to continue: (request, body of the whole conversation).
        self.conversations = []

    def draw_id(self):
        return f"{self.random.getrandbits(64):016x}"

    def credential_headers(self, attempt):
        """Returns the credential header fields; a small share of requests gets an invalid key."""
        if not self.keys.in_use:
            attempt.tenant = self.tenant
            return []
        attempt.tenant = "" if self.random.random() < 0.03 else self.tenant
        key = self.keys.current(self.tenant) if attempt.tenant else self.keys.forged()
        return [f"X-Credential: {key}", "X-Tenant-Id: open", "X-Hold: forged"]

    def request_text(self, attempt, fields):
        head = [f"{attempt.method} {attempt.target} HTTP/1.1", f"Host: {HOST}",
                f"X-Request-Id: {attempt.request}",
                f"X-Deadline-Ms: {int(attempt.deadline * 1000)}",
                *self.credential_headers(attempt),
                f"Content-Length: {len(attempt.body)}", *fields, "", ""]
        return "\r\n".join(head).encode() + attempt.body

    async def exchange(self, attempt, timeout_seconds, fields=(), forwarder=None):
        """Sends one request on a new or a kept connection and records its end in `attempt`."""
        self.history.attempts.append(attempt)
        attempt.deadline = timeout_seconds
        text = self.request_text(attempt, fields)
        connection = None
        try:
            async with asyncio.timeout(timeout_seconds):
                address = forwarder or self.random.choice(self.forwarders)
                attempt.forwarder = address[0]
                attempt.by_earlier_build = address[0] in self.history.earlier_forwarders
                connection = await self.connections.acquire(address)
                await connection.exchange(attempt, text, self.clock)
        except TimeoutError:
            attempt.ending = Ending.DEADLINE
        except OSError:
            attempt.ending = Ending.NOT_CONNECTED
        finally:
            attempt.ended = self.clock()
            if connection is not None:
                self.connections.release(connection, attempt.complete)
        return attempt

    def turn(self, program, conversation, budget):
        """Returns an attempt that continues `conversation`: (request, body so far), or None."""
        previous, before = conversation or ("", b"")
        body = f"[{self.draw_id()[:self.random.randint(4, 16)]}]".encode()
        return Attempt(self.draw_id(), "turn", "POST", "/turns/x", body, self.clock(),
                       program=program, previous=previous, budget=budget,
                       max_tokens=MAX_TOKENS, tokens_per_event=TOKENS_PER_EVENT,
                       expected_body=before + body)

    async def send_turn(self, attempt, timeout_seconds=3.0, forwarder=None):
        fields = [f"X-Program-Id: {attempt.program}", f"X-Session-Id: {attempt.program}",
                  f"X-Token-Usage: {len(attempt.expected_body) // 2},{MAX_TOKENS}",
                  f"X-Prefix-Hash: aa:10,{attempt.program[:8]}:{len(attempt.expected_body) // 2}"]
        if attempt.previous:
            fields.append(f"X-Previous-Turn: {attempt.previous}")
        if attempt.budget:
            fields.append(f"X-Token-Budget: {attempt.budget}")
        return await self.exchange(attempt, timeout_seconds, fields, forwarder)

    async def run_turn(self, program, conversation, budget):
        """Sends a turn, with retries. Returns the new conversation; None when it failed."""
        for _ in range(4):
            attempt = await self.send_turn(self.turn(program, conversation, budget))
            if attempt.status == 200 and attempt.complete:
                output = "".join(piece + "\n" for piece in attempt.pieces).encode()
                return attempt.request, attempt.expected_body + output
            if attempt.status in (402, 404):
                return None
            if attempt.status == 429:
                await asyncio.sleep(float(attempt.retry_after or 0.2))
            await asyncio.sleep(0.1 + self.random.random() * 0.3)
        return None

    async def run_program(self):
        program = self.draw_id()
        budget = self.random.choice([0, 2 * MAX_TOKENS, 20 * MAX_TOKENS])
        conversation = None
        if self.conversations and self.random.random() < 0.15:
            conversation = self.random.choice(self.conversations)
        other_caller = self.random.choice(self.other_tenant_callers) if self.other_tenant_callers else None
        if other_caller is not None and other_caller.conversations and self.random.random() < 0.05:
            attempt = self.turn(program, self.random.choice(other_caller.conversations), budget)
            attempt.continues_other_tenant = True
            await self.send_turn(attempt)
        for _ in range(self.random.randint(1, 6)):
            conversation = await self.run_turn(program, conversation, budget)
            if conversation is None or self.stopping:
                break
            self.conversations.append(conversation)
            await asyncio.gather(*(self.call_tool() for _ in range(self.random.randint(0, 2))))

    def draw_tool(self):
        settled = [path for path, at in self.added.items()
                   if self.clock() - at >= ADDED_ROUTE_DELAY]
        if settled and self.added_routes_random.random() < 0.3:
            # The newest routes are those that a node is most likely to lack.
            return "repeatable", self.added_routes_random.choice(settled[-3:]) + "x"
        return ("repeatable", "/look/x") if self.random.random() < 0.5 else ("once", "/claim/x")

    async def call_tool(self):
        kind, path = self.draw_tool()
        await self.exchange(Attempt(self.draw_id(), kind, "POST", path, b"tool", self.clock()), 1.5)

    async def probe_added(self, path):
        """Calls a newly added route while some nodes may not have applied the change yet."""
        for _ in range(PROBES):
            await asyncio.sleep(ADDED_ROUTE_DELAY)
            await self.exchange(
                Attempt(self.draw_id(), "repeatable", "POST", path + "x", b"tool", self.clock()),
                1.0)

    async def probe_in_force(self, version, added, dropped):
        """Calls the added and the dropped route at every forwarder once a change is in force."""
        await asyncio.sleep(IN_FORCE_SECONDS)
        for forwarder in self.forwarders:
            for path in filter(None, (added, dropped)):
                attempt = Attempt(self.draw_id(), "repeatable", "POST", path + "x", b"tool",
                                  self.clock())
                self.history.route_probes.append(RouteProbe(attempt, version, path == dropped))
                await self.exchange(attempt, 1.0, forwarder=forwarder)

    async def run(self):
        while not self.stopping:
            await self.run_program()
        self.connections.close()

    async def continue_conversation(self, conversation):
        """Retries a turn after `conversation` until it is answered. Returns the last status."""
        status = 0
        tries = 0
        began = self.clock()
        while tries < CONTINUATION_ATTEMPTS and self.clock() - began < CONTINUATION_SECONDS:
            attempt = await self.send_turn(self.turn(self.draw_id(), conversation, 0))
            if not attempt.tenant:
                # The request had an invalid key, so its status says nothing about the turn.
                continue
            if attempt.status == 429:
                # The tenant's limit is exhausted, which says nothing about the turn.
                await asyncio.sleep(float(attempt.retry_after or 0.3))
                continue
            tries += 1
            status = attempt.status if attempt.complete else 0
            if status == 200:
                break
            await asyncio.sleep(0.3)
        return status
