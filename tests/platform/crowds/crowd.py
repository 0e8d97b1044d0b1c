"""A crowd of clients that don't behave, as a process of its own.

Reads its plan as JSON from the first line of standard input, prints "sent" once every connection has
sent what it could, keeps the connections open, and ends when standard input ends or its time is over.
"""

import asyncio
import functools
import json
import os
import random
import socket
import sys

#: A connection that can't send for this long, in seconds, waits for a server that doesn't read.
BLOCKED_SECONDS = 3
#: Time limit of the process, in seconds.
LIFE_SECONDS = 120
#: Pause between the bytes of clients that trickle, in seconds.
TRICKLE_SECONDS = 0.5
PIECE_BYTES = 64 << 10
PIECE_PAUSE_SECONDS = 0.01
#: Number of times that a client whose connection was closed comes back.
RETURNS = 2
RETURN_SECONDS = 0.3


def head(plan, number):
    lines = [f"POST {plan['path']} HTTP/1.1", "Host: h.example",
             f"X-Request-Id: crowd{number:08x}{plan['seed']:08x}", "X-Deadline-Ms: 60000"]
    if plan["path"].startswith("/turn/"):
        lines += [f"X-Program-Id: c{number}", f"X-Session-Id: c{number}", "X-Token-Usage: 1000,36"]
    return "\r\n".join(lines).encode() + b"\r\n"


@functools.lru_cache(maxsize=1)
def chunks(size, chunk):
    """Returns a chunked body, which all connections share."""
    return (b"%x\r\n" % chunk + b"b" * chunk + b"\r\n") * (size // chunk) + b"0\r\n\r\n"


@functools.lru_cache(maxsize=1)
def plain(size):
    """Returns a body that stores can't compress, which all connections share."""
    return random.Random(size).randbytes(size)


def with_length(plan, number):
    return head(plan, number) + b"Content-Length: %d\r\n\r\n" % plan["body"], plain(plan["body"])


def chunked(plan, number):
    return (head(plan, number) + b"Transfer-Encoding: chunked\r\n\r\n",
            chunks(plan["body"], plan["chunk"]))


def unending_head(plan, number):
    start = head(plan, number)
    line = plan["field"].encode() + b"\r\n"
    return start, line * ((plan["head"] - len(start)) // len(line))


def frame(plan, _number):
    """A message between nodes: its length, and as many bytes."""
    return plan["body"].to_bytes(4, "little"), plain(plan["body"])


def beyond_limit(plan, number):
    """A body that is announced as much larger than allowed, and sent."""
    return (head(plan, number) + b"Content-Length: %d\r\n\r\n" % (plan["body"] * 10_000),
            plain(plan["body"]))


def nothing(_plan, _number):
    return b"", b""


#: Each returns the beginning of a message and its rest.
MESSAGES = {"length": with_length, "chunked": chunked, "head": unending_head, "frame": frame,
            "nothing": nothing, "beyond": beyond_limit}
#: Bytes at the end of a message that each ending does not send with the others.
WITHHELD = {"short": 1, "trickles": 400, "whole": 0, "unanswered": 0}


async def send(loop, client, data):
    """Sends as much as the server takes. Returns False when it takes no more."""
    try:
        await asyncio.wait_for(loop.sock_sendall(client, data), BLOCKED_SECONDS)
    except TimeoutError:
        return False
    return True


async def send_message(loop, client, plan, number, on_sent):
    """Sends the message as the plan says, and waits until the server closes the connection."""
    start, rest = MESSAGES[plan["message"]](plan, number)
    sent = max(0, len(rest) - WITHHELD[plan["ending"]])
    await send(loop, client, start)
    for offset in range(0, sent, PIECE_BYTES):
        if not await send(loop, client, rest[offset:min(sent, offset + PIECE_BYTES)]):
            break
        if plan["pace"] == "pieces":
            await asyncio.sleep(PIECE_PAUSE_SECONDS)
    if plan["ending"] == "whole":
        await loop.sock_recv(client, PIECE_BYTES)
    on_sent()
    if plan["ending"] == "trickles":
        for offset in range(sent, len(rest)):
            await asyncio.sleep(TRICKLE_SECONDS)
            await send(loop, client, rest[offset:offset + 1])
    while await loop.sock_recv(client, PIECE_BYTES):
        pass


async def connect_and_send(loop, plan, number, on_sent):
    client = socket.socket()
    client.setblocking(False)
    try:
        await asyncio.wait_for(loop.sock_connect(client, tuple(plan["address"])), BLOCKED_SECONDS)
        await send_message(loop, client, plan, number, on_sent)
    except (OSError, TimeoutError):
        pass
    finally:
        client.close()


async def run_client(loop, plan, number, on_sent):
    await asyncio.sleep(number * plan.get("spacing", 0))
    for _ in range(1 + RETURNS):
        await connect_and_send(loop, plan, number, on_sent)
        on_sent()
        await asyncio.sleep(RETURN_SECONDS)


async def main():
    loop = asyncio.get_running_loop()
    plan = json.loads(sys.stdin.readline())
    waiting = set(range(plan["count"]))

    def sent(number):
        if number in waiting:
            waiting.discard(number)
            if not waiting:
                print("sent", flush=True)

    clients = [asyncio.ensure_future(
        run_client(loop, plan, number, lambda number=number: sent(number)))
        for number in range(plan["count"])]
    ended = loop.run_in_executor(None, sys.stdin.read)
    await asyncio.wait([ended], timeout=LIFE_SECONDS)
    # Closes all connections at once; a cancelled write may not notice.
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main())
