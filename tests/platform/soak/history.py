"""Records of what callers, back ends and operators observed; the only input of the checks."""

import enum
from dataclasses import dataclass, field


class Ending(enum.Enum):
    """How a request ended, as its caller saw it."""

    #: No connection came up, so that nothing was sent.
    NOT_CONNECTED = "not connected"
    WHOLE = "whole answer"
    #: The connection ended after the head of an answer.
    CUT = "cut answer"
    #: The connection was closed, or reset, before an answer.
    CLOSED = "closed without an answer"
    RESET = "reset without an answer"
    #: The connection broke at the caller, as the soak had decided before.
    DROPPED = "dropped by the caller"
    #: The caller's deadline was reached.
    DEADLINE = "deadline"
    MALFORMED = "malformed answer"


@dataclass
class Run:
    """A request that a back end started to process."""

    request: str
    backend: str
    service: str
    method: str
    target: str
    body: bytes
    #: Events of a stream, or the single body of a plain answer, as the back end sent them.
    pieces: list = field(default_factory=list)
    status: int = 0
    #: Whether the back end sent its complete answer.
    complete: bool = False
    at: float = 0.0
    #: Time at which the back end stopped working on it; None while it works.
    ended: float | None = None
    #: Whether the back end ended its answer, or the connection, before the answer was complete.
    broke_off: bool = False
    #: Tenant and key that the back end received; the key must be empty.
    tenant: str = ""
    key: str = ""
    #: Software version of the back end, and number of the event after which it resumes a stream.
    version: str = ""
    last_event: int = 0


@dataclass
class Receipt:
    """A request that a back end received, whether it started to process it or not."""

    request: str
    backend: str
    at: float
    #: Whether the back end crashed while the request waited for a slot.
    broke_off: bool = False


@dataclass
class End:
    """A request that a back end had, running or waiting, when it ended."""

    request: str
    backend: str
    at: float


@dataclass
class Attempt:
    """A request of a caller and its answer."""

    request: str
    kind: str
    method: str
    target: str
    body: bytes
    sent: float
    ended: float = 0.0
    #: 0 when the connection ended before a complete header.
    status: int = 0
    signature: str = ""
    answered_id: str = ""
    pieces: list = field(default_factory=list)
    complete: bool = False
    retry_after: str = ""
    #: Tenant of the caller; empty when the request had an invalid key.
    tenant: str = ""
    #: Whether it continues another tenant's turn.
    continues_other_tenant: bool = False
    #: Address of the forwarder, and whether it ran the earlier build.
    forwarder: str = ""
    by_earlier_build: bool = False
    #: Number of the connection among its caller's; 0 when none came up.
    connection: int = 0
    #: Whether earlier requests had used the connection.
    on_kept_connection: bool = False
    #: Pause in the middle of sending it, in seconds.
    sending_pause: float = 0.0
    #: Whether it resumes a stream, so that its version decides where it goes, not a dispatcher.
    resumes_stream: bool = False
    #: Number of events after which its connection breaks at the caller; 0 for never.
    dropped_after: int = 0
    #: Time at which the last byte was handed to the connection; None when it never was.
    last_byte_sent: float | None = None
    ending: Ending = Ending.NOT_CONNECTED
    #: Time that the caller waits for the answer, in seconds; None when unknown.
    deadline: float | None = None
    # The following fields are used by turns only.
    program: str = ""
    previous: str = ""
    budget: int = 0
    max_tokens: int = 0
    tokens_per_event: int = 1
    #: Body that a back end must receive: the previous turns, then the new input.
    expected_body: bytes | None = None

    def was_dropped(self):
        return self.dropped_after > 0 and len(self.pieces) == self.dropped_after


@dataclass
class Stream:
    """A resumable stream of a caller, over all its attempts."""

    #: Number of events of the complete stream.
    count: int
    attempts: list = field(default_factory=list)

    def pieces(self):
        return [piece for attempt in self.attempts for piece in attempt.pieces]

    def first_request(self):
        """Returns the request that brought the first event."""
        return next(attempt.request for attempt in self.attempts if attempt.pieces)


@dataclass
class BackendService:
    """An interval in which an engine of a version was listed as ready; no end while it is."""

    backend: str
    version: str
    began: float
    ended: float | None = None


@dataclass
class ConfigurationRead:
    """An answered read of the configuration."""

    sent: float
    version: int


@dataclass
class ConfigurationChange:
    """An acknowledged change of the configuration."""

    version: int
    acknowledged: float


@dataclass
class MemoryPeak:
    """The maximum of a process's resident bytes after a crowd, and their bound."""

    process: str
    at: float
    bytes: int
    bound: int


@dataclass
class ProcessExit:
    """The end of a process."""

    process: str
    at: float
    code: int
    #: Whether it was killed, or exited with 0 after a request to stop.
    stop_requested: bool


@dataclass
class FaultInterval:
    """An interval in which a process was down, stopped, slowed down or partitioned."""

    process: str
    began: float
    ended: float
    #: Whether it was planned work (a stop and the start after it) rather than a failure.
    planned: bool = False


@dataclass
class Stall:
    """An interval in which the soak itself did not run, and with it all back ends and relays."""

    began: float
    ended: float


@dataclass
class PlannedStop:
    """A SIGTERM of a process; of several before its end, the first."""

    process: str
    at: float


@dataclass
class SettingsReload:
    """A SIGHUP of a process."""

    process: str
    at: float


@dataclass
class RetirementOrder:
    """An order to retire a store, and what was known when it was decided."""

    store: str
    sent: float
    decided: float
    #: 200, 404 or 409; 0 when no final answer came in time.
    status: int
    #: Number of stores that the groups need, of others that had no fault lately and no order, and of
    #: all others that were not certainly under an order.
    required: int
    steady: int
    possible: int


@dataclass
class RouteTimeout:
    """Timeout of all routes in a configuration that may be in force from `sent` on, in seconds."""

    sent: float
    seconds: float
    #: Time at which the configuration was acknowledged; None before.
    acknowledged: float | None = None


@dataclass
class RouteProbe:
    """A call at one forwarder to a route that an earlier change added or dropped."""

    attempt: Attempt
    version: int
    dropped: bool


@dataclass
class Placement:
    """How an engine's call got its place, from event 3201 of its forwarder; times in seconds."""

    request: str
    forwarder: str
    answered: bool
    #: "granted" or "forced" by a dispatcher, or "alone": decided by the forwarder.
    place: str
    #: Time to the dispatchers' answers, and in their queues.
    asked_seconds: float
    queued_seconds: float
    #: Time for which the forwarder held it back after that.
    held_seconds: float = 0.0
    #: Number of times that it was sent, of those to resume a stream, and of waits for room.
    sends: int = 1
    resumes: int = 0
    waits_for_room: int = 0


@dataclass
class DispatcherLoss:
    """An interval in which a directory node that dispatched was gone, or its answers were."""

    node: str
    began: float
    ended: float


@dataclass
class PlacesLeft:
    """Places that a directory node counted for a group of engines after all calls had ended."""

    node: str
    running: int
    waiting: int


@dataclass
class MemberState:
    """What a store said about the requests that it missed, when it had to have caught up."""

    store: str
    at: float
    #: Requests that other members hold and this store lacks; None when the store didn't tell.
    missing: float | None
    #: Longest time since a complete comparison with another member, in seconds.
    oldest_comparison: float | None


@dataclass
class History:
    """All records of a soak."""

    runs: list = field(default_factory=list)
    receipts: list = field(default_factory=list)
    ends: list = field(default_factory=list)
    #: Requests that forwarders refused to send since back ends had ended under them.
    poison_refusals: list = field(default_factory=list)
    attempts: list = field(default_factory=list)
    streams: list = field(default_factory=list)
    backend_services: list = field(default_factory=list)
    reads: list = field(default_factory=list)
    changes: list = field(default_factory=list)
    process_exits: list = field(default_factory=list)
    memory_peaks: list = field(default_factory=list)
    fault_intervals: list = field(default_factory=list)
    stalls: list = field(default_factory=list)
    planned_stops: list = field(default_factory=list)
    settings_reloads: list = field(default_factory=list)
    retirements: list = field(default_factory=list)
    #: Timeouts of the routes, by configuration, in the order in which they were sent.
    route_timeouts: list = field(default_factory=list)
    #: Calls to routes that a change added or dropped, once it must be in force.
    route_probes: list = field(default_factory=list)
    #: Planned rolling replacements without concurrent faults: (begin, end).
    rolling_replacements: list = field(default_factory=list)
    #: Names of the forwarders by callers' address, and names of the directory nodes.
    forwarder_at: dict = field(default_factory=dict)
    directory: list = field(default_factory=list)
    stores: list = field(default_factory=list)
    #: Addresses of the forwarders that currently run the earlier build.
    earlier_forwarders: set = field(default_factory=set)
    #: Turns that callers continued after all faults had ended: (turn, status of the last attempt).
    continued: list = field(default_factory=list)
    #: Whether the configuration has tenants, whose keys callers send.
    has_keys: bool = True
    #: Number of callers and operators that didn't finish within the time limit after `stopping`.
    unfinished: int = 0
    #: Whether disks may be lost before their copies are complete, so that turns may be lost.
    disks_in_series: bool = False
    #: Time at which all machines were up after the last fault; None when there was none.
    machines_up_at: float | None = None
    #: Version that was read back at the end; None without an answer.
    read_back: int | None = None
    #: Whether calls to engines must get their places from dispatchers once the faults have ended.
    dispatch: bool = False
    placements: list = field(default_factory=list)
    dispatcher_losses: list = field(default_factory=list)
    #: Times after which forwarders reported a silent dispatcher (event 3120): (forwarder, seconds).
    silences: list = field(default_factory=list)
    #: Places that were taken before the last forwarder with calls was killed; None when none was.
    places_abandoned: int | None = None
    #: Places left at the end; None for a directory node whose metrics could not be read.
    places_left: list = field(default_factory=list)
    #: MemberState of each store after each loss of a store.
    member_states: list = field(default_factory=list)
