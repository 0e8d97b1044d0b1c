"""Queries on a history that several checks share, and the time bounds of the promises."""

from collections import defaultdict

#: Time after an acknowledgement from which reads must return at least that version, in seconds.
CONFIGURATION_BOUND = 2.0
#: Time after a fault within which a process has reconnected, in seconds.
CONTACT_SECONDS = 3.0


def by_request(records):
    """Returns the records of each request, in order."""
    found = defaultdict(list)
    for record in records:
        found[record.request].append(record)
    return found


def runs_by_request(history):
    """Returns the runs of each request, in order."""
    return by_request(history.runs)


def had_no_fault(history, begin, end, processes):
    """True when no fault or planned work affected any of the processes between `begin` and `end`."""
    return not any(interval.process in processes
                   and interval.began <= end and interval.ended >= begin
                   for interval in history.fault_intervals)


def had_no_failure(history, begin, end, processes):
    """As had_no_fault, but planned work doesn't count, and a stall of the soak hits everything."""
    if any(stall.began <= end and stall.ended >= begin for stall in history.stalls):
        return False
    return not any(interval.process in processes and not interval.planned
                   and interval.began <= end and interval.ended >= begin
                   for interval in history.fault_intervals)


def shortest_route_timeout(history, begin, end):
    """Returns the shortest timeout that may apply between `begin` and `end`, in seconds.

    A configuration may be in force from when it is sent until CONFIGURATION_BOUND after the
    acknowledgement of the next one. Returns None when no configuration was sent.
    """
    shortest = None
    followers = [*history.route_timeouts[1:], None]
    for entry, follower in zip(history.route_timeouts, followers):
        replaced = (follower is not None and follower.acknowledged is not None
                    and follower.acknowledged + CONFIGURATION_BOUND < begin)
        if entry.sent <= end and not replaced:
            shortest = entry.seconds if shortest is None else min(shortest, entry.seconds)
    return shortest
