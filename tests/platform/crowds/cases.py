"""The crowds, and the bounds that the processes they reach have to keep.

A bound is what the process was told: its memory in MB and its descriptors. Each crowd sends several
times as much.
"""

from dataclasses import dataclass, field

from .system import CALLERS_PORT, DIRECTORY_PORT, METRICS_PORT, OPERATORS_PORT, READINESS_PORT, STORE_PORT

KIB, MIB = 1 << 10, 1 << 20
#: Memory in MB and descriptors of a process that a crowd reaches.
FORWARDER = (24, 1024)
SMALL_TABLE = (64, 256)
DIRECTORY = (64, 1024)
STORE = (64, 1024)
SMALL_STORE = (32, 1024)
MAX_BODY_BYTES = 1 * MIB


@dataclass
class Case:
    name: str
    program: str
    limits: tuple
    port: int
    #: Settings of the crowd; see crowd.py.
    plan: dict = field(default_factory=dict)
    max_body_bytes: int = MAX_BODY_BYTES


def body_cases():
    """100 bodies of 1 MiB at a forwarder of 24 MB."""
    framings = {"length": {"message": "length"},
                "large-chunks": {"message": "chunked", "chunk": 256 * KIB},
                "small-chunks": {"message": "chunked", "chunk": 1}}
    for name, framing in framings.items():
        for ending in ("short", "trickles", "whole"):
            for pace in ("at-once", "pieces"):
                plan = {"count": 100, "body": 1 * MIB, "ending": ending, "pace": pace,
                        "path": "/plain/crowd", **framing}
                yield Case(f"bodies-{name}-{ending}-{pace}", "forwarder", FORWARDER, CALLERS_PORT, plan)


def forwarder_cases():
    yield from body_cases()
    stays = {"ending": "short", "pace": "at-once", "path": "/plain/crowd"}
    yield Case("bodies-beyond-limit", "forwarder", FORWARDER, CALLERS_PORT,
               {**stays, "message": "beyond", "count": 100, "body": 1 * MIB})
    yield Case("bodies-chunked-beyond-limit", "forwarder", FORWARDER, CALLERS_PORT,
               {**stays, "message": "chunked", "chunk": 64 * KIB, "count": 100, "body": 4 * MIB})
    yield Case("bodies-without-a-route", "forwarder", FORWARDER, CALLERS_PORT,
               {**stays, "path": "/none/", "message": "length", "count": 100, "body": 1 * MIB})
    yield Case("turns-whole", "forwarder", FORWARDER, CALLERS_PORT,
               {**stays, "path": "/turn/crowd", "ending": "whole", "message": "length",
                "count": 100, "body": 1 * MIB})
    # Each field of the head takes far more memory than its bytes.
    yield Case("heads-of-short-fields", "forwarder", FORWARDER, CALLERS_PORT,
               {**stays, "message": "head", "field": "a:", "head": 16_000, "count": 800})
    yield Case("heads-of-long-fields", "forwarder", FORWARDER, CALLERS_PORT,
               {**stays, "message": "head", "field": "a:" + "v" * 4_000, "head": 16_000, "count": 800})
    yield Case("connections-without-a-byte", "forwarder", SMALL_TABLE, CALLERS_PORT,
               {**stays, "message": "nothing", "count": 400})
    yield Case("readiness-connections-without-a-byte", "forwarder", SMALL_TABLE, READINESS_PORT,
               {**stays, "message": "nothing", "count": 400})
    yield Case("readiness-heads", "forwarder", FORWARDER, READINESS_PORT,
               {**stays, "message": "head", "field": "a:", "head": 16_000, "count": 800})
    yield Case("metrics-connections-without-a-byte", "forwarder", SMALL_TABLE, METRICS_PORT,
               {**stays, "message": "nothing", "count": 400})


def directory_cases():
    stays = {"ending": "short", "pace": "at-once", "path": "/v1/config/replace"}
    yield Case("configurations", "directory", DIRECTORY, OPERATORS_PORT,
               {**stays, "message": "length", "count": 60, "body": 8 * MIB - 1})
    yield Case("configurations-in-small-chunks", "directory", DIRECTORY, OPERATORS_PORT,
               {**stays, "message": "chunked", "chunk": 16, "count": 60, "body": 6 * MIB})
    yield Case("operators-connections-without-a-byte", "directory", SMALL_TABLE, OPERATORS_PORT,
               {**stays, "message": "nothing", "count": 400})
    yield Case("directory-connections-without-a-byte", "directory", SMALL_TABLE, DIRECTORY_PORT,
               {**stays, "message": "nothing", "count": 400})
    yield Case("directory-frames", "directory", DIRECTORY, DIRECTORY_PORT,
               {**stays, "message": "frame", "count": 20, "body": 31 * MIB})


def store_cases():
    stays = {"ending": "short", "pace": "at-once", "path": ""}
    yield Case("store-connections-without-a-byte", "turn-store", SMALL_TABLE, STORE_PORT,
               {**stays, "message": "nothing", "count": 400})
    yield Case("store-frames", "turn-store", STORE, STORE_PORT,
               {**stays, "message": "frame", "count": 20, "body": 31 * MIB})
    yield Case("store-metrics-connections-without-a-byte", "turn-store", SMALL_TABLE, METRICS_PORT,
               {**stays, "message": "nothing", "count": 400})
    # Turns of legal size, which a store keeps for their retention.
    yield Case("store-turns", "turn-store", SMALL_STORE, CALLERS_PORT,
               {**stays, "path": "/turn/crowd", "ending": "whole", "pace": "pieces",
                "message": "length", "count": 120, "body": 1 * MIB, "to": "forwarder",
                "spacing": 0.05})


def all_cases():
    return [*forwarder_cases(), *directory_cases(), *store_cases()]
