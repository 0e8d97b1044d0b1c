"""Checks of requests that end their back ends."""

from collections import defaultdict

from .dispatch_watch import parse_fields
from .queries import by_request
from .stream_checks import in_touch

#: Number of back ends that may end under one request, one after the other.
MAX_ENDED = 3
#: Kinds of attempts of such requests.
FATAL_KINDS = ("fatal", "fatal_once")
#: Maximum share of all other requests that are refused since back ends ended under them.
REFUSED_SHARE = 0.01


def read_refusals(history, cluster):
    """Reads from the logs of the forwarders which requests they refused to send."""
    for node in cluster.nodes_of("forwarder"):
        with (cluster.work / f"{node.name}.log").open(errors="replace") as log:
            history.poison_refusals += [parse_fields(line)["request"] for line in log
                                        if "event=3208 " in line]


def fatal_requests(history):
    """Returns the attempts of each fatal request, in order."""
    found = defaultdict(list)
    for attempt in history.attempts:
        if attempt.kind in FATAL_KINDS:
            found[(attempt.target, attempt.body)].append(attempt)
    return list(found.values())


def ended_under(history, attempts):
    """Returns the first end of each back end under any of the attempts, in order."""
    requests = {attempt.request for attempt in attempts}
    first = {}
    for end in history.ends:
        if end.request in requests:
            first.setdefault(end.backend, end)
    return sorted(first.values(), key=lambda end: end.at)


def requests_end_three_back_ends_at_most(history):
    """A request under which three back ends have ended reaches no further one at nodes in touch."""
    receipts = by_request(history.receipts)
    checked, wrong = 0, []
    for attempts in fatal_requests(history):
        if not all(in_touch(history, attempt) for attempt in attempts):
            continue
        checked += 1
        ends = ended_under(history, attempts)
        if len(ends) < MAX_ENDED:
            continue
        third = ends[MAX_ENDED - 1].at
        sent = [receipt for attempt in attempts for receipt in receipts[attempt.request]
                if receipt.at > third]
        if sent:
            wrong.append(f"{attempts[0].target} {attempts[0].body.decode()} was sent {len(sent)} "
                         f"times after {third:.3f}, {len(ends)} back ends ended in all")
    return checked, wrong


def other_requests_are_not_refused(history):
    """Requests that end no back end are hardly ever refused, although back ends end under them."""
    others = {attempt.request for attempt in history.attempts if attempt.kind not in FATAL_KINDS}
    refused = [request for request in history.poison_refusals if request in others]
    wrong = [f"{len(refused)} of {len(others)} refused, the first {refused[0]}"] if refused else []
    return len(others), wrong if len(refused) > REFUSED_SHARE * len(others) else []


def describe_fatal(history):
    ended = defaultdict(int)
    for attempts in fatal_requests(history):
        ended[len(ended_under(history, attempts))] += 1
    counts = ", ".join(f"{number} back ends {count}" for number, count in sorted(ended.items()))
    others = {attempt.request for attempt in history.attempts if attempt.kind not in FATAL_KINDS}
    innocent = sum(request in others for request in history.poison_refusals)
    return (f"{sum(ended.values())} requests; ended under them: {counts}; refusals "
            f"{len(history.poison_refusals)}, of other requests {innocent}")
