"""What callers, back ends and operators saw, as plain records: the checks read nothing else."""

from dataclasses import dataclass, field


@dataclass
class Run:
    """One request that a back end began to work on."""

    request: str
    backend: str
    service: str
    method: str
    target: str
    body: bytes
    #: Events of a stream, or the whole body of a plain answer, as the back end sent them.
    pieces: list = field(default_factory=list)
    status: int = 0
    #: The back end sent its answer to the end.
    whole: bool = False
    at: float = 0.0
    #: Whose request the system said it was, and the key that came along; it must not.
    tenant: str = ""
    key: str = ""


@dataclass
class Attempt:
    """One request of a caller and what came back."""

    request: str
    kind: str
    method: str
    target: str
    body: bytes
    sent: float
    ended: float = 0.0
    #: 0 when the connection ended without a head.
    status: int = 0
    signature: str = ""
    answered_id: str = ""
    pieces: list = field(default_factory=list)
    whole: bool = False
    retry_after: str = ""
    #: Who calls; empty with a key that nobody holds.
    tenant: str = ""
    #: It goes on from another tenant's turn.
    foreign: bool = False
    #: The forwarder that it was sent to, and whether that ran the programs of the earlier build.
    forwarder: str = ""
    by_earlier_build: bool = False
    # Of turns.
    program: str = ""
    previous: str = ""
    budget: int = 0
    most_tokens: int = 0
    tokens_per_event: int = 1
    #: Body that a back end has to receive: the line of turns before, then the new input.
    expected_body: bytes | None = None


@dataclass
class ConfigurationRead:
    """One answered read of the configuration."""

    sent: float
    version: int


@dataclass
class ConfigurationChange:
    """One acknowledged change."""

    version: int
    acknowledged: float


@dataclass
class Ending:
    """A process that ended."""

    process: str
    at: float
    code: int
    #: It was killed, or asked to stop, from outside.
    asked: bool


@dataclass
class Strike:
    """A time in which a process was down, stopped, slowed or cut off."""

    process: str
    began: float
    ended: float


@dataclass
class RouteProbe:
    """A call some time after a change, at one forwarder: of a route that it added or dropped."""

    attempt: Attempt
    version: int
    dropped: bool


@dataclass
class History:
    """Everything of one soak."""

    runs: list = field(default_factory=list)
    attempts: list = field(default_factory=list)
    reads: list = field(default_factory=list)
    changes: list = field(default_factory=list)
    endings: list = field(default_factory=list)
    strikes: list = field(default_factory=list)
    #: Calls of routes that a change added or dropped, once it has to be in force.
    route_probes: list = field(default_factory=list)
    #: Planned replacements of processes without faults beside them: (begin, end).
    planned_rolls: list = field(default_factory=list)
    #: Names of the forwarders by the addresses at which callers reach them, and of directory nodes.
    forwarder_at: dict = field(default_factory=dict)
    directory: list = field(default_factory=list)
    #: Addresses of the forwarders that run the programs of the earlier build now.
    earlier_forwarders: set = field(default_factory=set)
    #: Turns that were asked to go on after all faults had ended: (turn, status of the last try).
    continued: list = field(default_factory=list)
    #: The configuration has tenants, whose keys callers send.
    has_keys: bool = True
    #: Callers and operators that hadn't ended their work long after they were to stop.
    unended: int = 0
    #: Disks were lost faster than copies can be made, so turns may be gone.
    disks_in_series: bool = False
    #: When all machines were back after the last fault; None when there was none.
    returned: float | None = None
    #: Version that was read back at the end; None when nothing came.
    read_back: int | None = None
