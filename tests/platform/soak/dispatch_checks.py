"""Promises of the dispatch of calls to engines (docs/design/engine-dispatch.md, Failures)."""

from .queries import had_no_failure, had_no_fault

#: Time after which a forwarder decides without an answer, and longest time for which a waiting call
#: waits for a dispatcher that is gone (an interval between requests more), in seconds.
ANSWER_SECONDS, WAITING_ANSWER_SECONDS = 0.04, 0.24
#: Time by which a timer of a forwarder may be late on a busy machine, in seconds.
TIMER_SECONDS = 0.05
#: Time for which a call may be between the decision and the engine, in seconds.
SENDING_SECONDS = 0.05
#: Time after the end of the last fault from which calls are dispatched again, in seconds: the longest
#: delay after which a silent dispatcher is asked again, and the time to reconnect.
DISPATCH_RETURNS_SECONDS = 12.0
#: Minimum share of the calls after that time that get their place from a dispatcher.
DISPATCHED_SHARE = 0.9


def calls_with_placements(history):
    """Returns (attempt, placement) of the answered calls whose forwarder had no fault."""
    attempts = {attempt.request: attempt for attempt in history.attempts}
    calls = []
    for placement in history.placements:
        attempt = attempts.get(placement.request)
        if attempt is not None and placement.answered and had_no_failure(
                history, attempt.sent, attempt.ended, [placement.forwarder]) and had_no_fault(
                history, attempt.sent, attempt.ended, [placement.forwarder]):
            calls.append((attempt, placement))
    return calls


def dispatchers_answer_in_time(history):
    """A forwarder waits for the first answer to a request for a place no longer than the timeout."""
    calls = calls_with_placements(history)
    wrong = []
    for attempt, placement in calls:
        # Each send that does not resume a stream, and each wait for room, follows a request.
        requests = max(1, placement.sends - placement.resumes + placement.waits_for_room)
        bound = requests * (ANSWER_SECONDS + TIMER_SECONDS)
        if placement.asked_seconds > bound:
            wrong.append(f"{attempt.request} at {attempt.sent:.2f} ({placement.place}) waited "
                         f"{placement.asked_seconds:.3f} s for answers to {requests} requests")
    return len(calls), wrong


def newest_loss(history, asked, decided):
    """Returns the newest loss that began during a call's wait and holds when it is decided; or None.

    The dispatcher of a call is not known. A directory node with a fault of another kind, or with one
    that ends during the wait, may keep the call waiting in its own way, so that None is returned.
    """
    lost = [loss for loss in history.dispatcher_losses if loss.began < decided <= loss.ended]
    for fault in history.fault_intervals:
        concerned = (fault.process in history.directory
                     and fault.began < decided and fault.ended >= asked)
        if concerned and not any(loss.node == fault.process and fault.began <= loss.began
                                 and loss.ended <= fault.ended for loss in lost):
            return None
    return max((loss for loss in lost if loss.began >= asked), key=lambda loss: loss.began,
               default=None)


def calls_do_not_wait_for_lost_dispatchers(history):
    """A call that waits at a dispatcher is decided soon after the dispatcher is gone."""
    received = {}
    for receipt in history.receipts:
        received[receipt.request] = min(receipt.at, received.get(receipt.request, receipt.at))
    wrong = []
    checked = 0
    for attempt, placement in calls_with_placements(history):
        sent = received.get(attempt.request)
        # After several sends it is not known which of them waited.
        sent_once = placement.sends == 1 and not placement.waits_for_room
        if placement.place != "alone" or sent is None or not sent_once:
            continue
        # The forwarder may hold back a call that it decides alone, as without dispatch.
        decided = sent - placement.held_seconds
        asked = decided - placement.asked_seconds - placement.queued_seconds
        loss = newest_loss(history, asked, decided)
        if loss is None:
            continue
        checked += 1
        bound = WAITING_ANSWER_SECONDS if placement.queued_seconds > 0 else ANSWER_SECONDS
        if decided - loss.began > bound + TIMER_SECONDS + SENDING_SECONDS:
            wrong.append(f"{attempt.request} was decided {decided - loss.began:.3f} s after the loss "
                         f"of {loss.node} at {loss.began:.2f}")
    return checked, wrong


def calls_are_dispatched(history):
    """Once all nodes are up again, calls that don't resume a stream get a dispatcher's place."""
    if not history.dispatch or history.machines_up_at is None:
        return 0, []
    calls = [placement for attempt, placement in calls_with_placements(history)
             if attempt.sent >= history.machines_up_at + DISPATCH_RETURNS_SECONDS
             and not attempt.resumes_stream]
    if not calls:
        return 1, ["no call asked a dispatcher after the faults"]
    alone = sum(placement.place == "alone" for placement in calls)
    if alone > (1 - DISPATCHED_SHARE) * len(calls):
        return len(calls), [f"{alone} of {len(calls)} calls were decided alone"]
    return len(calls), []


def places_are_returned(history):
    """A lease after the last call or its forwarder has ended, no place is taken and no call waits."""
    wrong = [f"{left.node}: {left.running} places taken, {left.waiting} calls waiting"
             if left is not None else "no metrics of a directory node at the end"
             for left in history.places_left if left is None or left.running or left.waiting]
    if history.places_abandoned == 0:
        wrong.append("no place was taken before the forwarder was killed")
    return len(history.places_left), wrong
