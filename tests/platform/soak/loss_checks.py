"""Check that requests which a forwarder has read are answered around planned work."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from .history import Ending, Run
from .queries import (CONFIGURATION_BOUND, CONTACT_SECONDS, by_request, had_no_failure,
                      shortest_route_timeout)

#: Time from SIGTERM to SIGKILL, in seconds.
GRACE_SECONDS = 8.0
#: Time after the grace for which requests are still cut off by the stop, in seconds.
AFTER_GRACE_SECONDS = 1.0
#: Start of the last sixth of the grace, in seconds after SIGTERM.
LAST_SIXTH_SECONDS = GRACE_SECONDS * 5 / 6
#: Time after SIGTERM up to which a request may have been sent whose back end works too long.
LONG_WORK_SENT_SECONDS = 3.0
#: Time after its last byte within which an unanswered request may have crossed the close.
LOSS_SLACK_SECONDS = 0.2
#: Time after an acknowledgement for which the change counts as under way, in seconds.
CHANGE_SECONDS = CONFIGURATION_BOUND + 1.0
#: Share of its time after which a request may be cut around a configuration change.
MOST_OF_ITS_TIME = 0.7
#: Factor by which a forwarder may cut more requests around changes than at other times.
CHANGE_CUT_FACTOR = 3


def backend_name(instance):
    """Returns the name of the back end of an instance like i-engine-1-4."""
    return instance.removeprefix("i-").rsplit("-", 1)[0]


def stops_around(history, attempt):
    """Returns the planned stops of its forwarder during which the request ended."""
    forwarder = history.forwarder_at.get(attempt.forwarder)
    return [stop for stop in history.planned_stops if stop.process == forwarder
            and stop.at <= attempt.ended <= stop.at + GRACE_SECONDS + AFTER_GRACE_SECONDS]


def is_around_reload(history, attempt):
    forwarder = history.forwarder_at.get(attempt.forwarder)
    return any(reload.process == forwarder and reload.at <= attempt.ended
               and attempt.sent <= reload.at + CONFIGURATION_BOUND
               for reload in history.settings_reloads)


def is_around_change(history, attempt):
    return any(entry.sent <= attempt.ended
               and (entry.acknowledged is None
                    or attempt.ended <= entry.acknowledged + CHANGE_SECONDS)
               for entry in history.route_timeouts)


@dataclass
class BackendView:
    """What the back ends saw, by request."""

    runs: dict
    receipts: dict

    @classmethod
    def of(cls, history):
        return cls(by_request(history.runs), by_request(history.receipts))

    def last_receiver(self, request):
        """Returns the run or the receipt of a back end that had it last; None when none had it."""
        received = self.receipts[request] + self.runs[request]
        return max(received, key=lambda one: (one.at, isinstance(one, Run)), default=None)

    def names(self, request):
        """Returns the names of the back ends that had it."""
        return {backend_name(one.backend) for one in self.receipts[request] + self.runs[request]}


def is_without_failure(history, attempt, seen):
    """True when nothing failed that the request depends on, from CONTACT_SECONDS before it."""
    processes = {history.forwarder_at.get(attempt.forwarder), *history.stores, *history.directory,
                 *seen.names(attempt.request)}
    return had_no_failure(history, attempt.sent - CONTACT_SECONDS, attempt.ended, processes)


def time_limit(history, attempt):
    """Returns the shorter of the caller's deadline and the route's timeout, in seconds."""
    limits = [attempt.deadline, shortest_route_timeout(history, attempt.sent, attempt.ended)]
    return min((limit for limit in limits if limit is not None), default=float("inf"))


def reached_time_limit(history, attempt):
    """True when the caller's deadline, or the route's timeout once the request was sent, was over."""
    timeout = shortest_route_timeout(history, attempt.sent, attempt.ended)
    return ((attempt.deadline is not None and attempt.ended - attempt.sent >= attempt.deadline)
            or (timeout is not None and attempt.ended - attempt.last_byte_sent >= timeout))


def worked_until_the_end(stop, attempt, runs):
    """True when the stop could not wait for the back end."""
    return (attempt.sent <= stop.at + LONG_WORK_SENT_SECONDS
            and any(run.at <= stop.at + GRACE_SECONDS
                    and (run.ended is None or run.ended >= stop.at + LAST_SIXTH_SECONDS)
                    for run in runs))


def later_request_was_read(history, attempt, seen):
    """True when the forwarder had read a request that was sent after this one before this one ended.

    A request that no back end received may wait in the forwarder's queue of new connections, which is
    not read while the process doesn't run; but requests are read in their order.
    """
    return any(other.forwarder == attempt.forwarder and other.last_byte_sent is not None
               and other.last_byte_sent > attempt.last_byte_sent
               and ((other.ending == Ending.WHOLE and other.ended < attempt.ended)
                    or any(one.at < attempt.ended for one in seen.receipts[other.request])
                    or any(run.at < attempt.ended for run in seen.runs[other.request]))
               for other in history.attempts)


def allowed_reason(history, attempt, seen):
    """Returns why the request may have ended as it did, stops aside; "" when it was lost."""
    if attempt.ending in (Ending.WHOLE, Ending.DEADLINE, Ending.NOT_CONNECTED, Ending.DROPPED):
        return attempt.ending.value
    if attempt.last_byte_sent is None:
        return "not sent whole"
    if reached_time_limit(history, attempt):
        return "time limit"
    last = seen.last_receiver(attempt.request)
    if last is not None:
        return "the back end broke off" if last.broke_off else ""
    if attempt.ended - attempt.last_byte_sent <= LOSS_SLACK_SECONDS:
        return "crossed the close"
    return "" if later_request_was_read(history, attempt, seen) else "not read"


def describe(attempt, seen, work):
    after = attempt.ended - attempt.last_byte_sent
    kept = "kept" if attempt.on_kept_connection else "new"
    where = ", ".join(f"ran at {run.backend} at {run.at:.3f}" for run in seen.runs[attempt.request])
    last = seen.last_receiver(attempt.request)
    where = where or (f"waited at {last.backend} at {last.at:.3f}" if last else "no back end")
    return (f"{attempt.request} ({attempt.kind} {attempt.target}, {kept} connection, "
            f"{attempt.forwarder}) sent at {attempt.sent:.3f} ended at {attempt.ended:.3f}, "
            f"{after:.3f} s after its last byte: {attempt.ending.value}; {where}; {work}")


def lost_around_stops(history, attempt, seen):
    """Returns the description of a request that was lost around a stop or a reload; else None."""
    stops = stops_around(history, attempt)
    if any(worked_until_the_end(stop, attempt, seen.runs[attempt.request]) for stop in stops):
        return None
    if stops:
        return describe(attempt, seen, f"SIGTERM at {stops[-1].at:.3f}")
    return describe(attempt, seen, "around SIGHUP")


@dataclass
class CutCount:
    """Requests of one forwarder at some times, and those of them that were cut."""

    requests: int = 0
    cut: int = 0

    def share(self):
        return self.cut / self.requests if self.requests else 0.0


class ChangeCuts:
    """Compares, for each forwarder, how often it cuts around changes and at other times."""

    def __init__(self):
        self.around = defaultdict(CutCount)
        self.otherwise = defaultdict(CutCount)
        self.described = defaultdict(list)

    def count(self, history, attempt, seen, lost):
        around = is_around_change(history, attempt)
        count = (self.around if around else self.otherwise)[attempt.forwarder]
        count.requests += 1
        count.cut += lost
        used_up = (attempt.ended - attempt.sent
                   >= MOST_OF_ITS_TIME * time_limit(history, attempt))
        if around and lost and not used_up:
            self.described[attempt.forwarder].append(
                describe(attempt, seen, "around a configuration change"))
        return around

    def violations(self):
        return [text for forwarder, found in self.described.items() for text in found
                if self.around[forwarder].share()
                > CHANGE_CUT_FACTOR * self.otherwise[forwarder].share()]


def describe_cut_requests(history):
    """Returns a line for each request that was sent and not answered whole, with the reason."""
    seen = BackendView.of(history)
    lines = []
    for attempt in history.attempts:
        if attempt.last_byte_sent is None or attempt.ending == Ending.WHOLE:
            continue
        reason = allowed_reason(history, attempt, seen) or "lost"
        stops = stops_around(history, attempt)
        if any(worked_until_the_end(stop, attempt, seen.runs[attempt.request]) for stop in stops):
            reason += ", worked until the end of a stop"
        if not is_without_failure(history, attempt, seen):
            reason += ", around a failure or a stall"
        work = ", ".join(f"SIGTERM at {stop.at:.3f}" for stop in stops) or "no stop"
        lines.append(f"{reason}: {describe(attempt, seen, work)}")
    return lines


def describe_endings(history):
    """Returns the number of requests by ending, as a text; those around stops apart."""
    counts = Counter(attempt.ending for attempt in history.attempts)
    stopped = [attempt for attempt in history.attempts if stops_around(history, attempt)]
    around = Counter(attempt.ending for attempt in stopped)
    kept = sum(attempt.on_kept_connection for attempt in stopped)
    texts = [f"{ending.value} {counts[ending]} ({around[ending]} around stops)"
             for ending in Ending if counts[ending]]
    return ", ".join([*texts, f"on kept connections around stops {kept}"])


def read_requests_are_answered(history):
    """Around planned work, a request that a forwarder has read gets a whole answer."""
    seen = BackendView.of(history)
    changes = ChangeCuts()
    checked = 0
    wrong = []
    for attempt in history.attempts:
        if not is_without_failure(history, attempt, seen):
            continue
        lost = not allowed_reason(history, attempt, seen)
        if stops_around(history, attempt) or is_around_reload(history, attempt):
            checked += 1
            found = lost_around_stops(history, attempt, seen) if lost else None
            wrong += [found] if found else []
        else:
            checked += changes.count(history, attempt, seen, lost)
    return checked, wrong + changes.violations()
