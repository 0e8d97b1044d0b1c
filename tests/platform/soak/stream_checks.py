"""Checks of resumable streams over all attempts of their callers."""

from .queries import CONTACT_SECONDS, had_no_fault

#: Number of resumed streams from which on their share is compared with that of new streams.
MIN_RESUMED = 12
#: Time after its start by which all nodes know a back end, in seconds.
KNOWN_AFTER_SECONDS = 2.0


def version_of(piece):
    return piece.split(".", 1)[0]


def was_served(attempt):
    return attempt.status == 200 and attempt.complete


def streams_of_this_build(history):
    """Returns the streams without an attempt at a forwarder of an earlier build.

    Such a forwarder records no origins, and resumes streams at any version.
    """
    return [stream for stream in history.streams
            if not any(attempt.by_earlier_build for attempt in stream.attempts)]


def streams_keep_their_version(history):
    """A stream has all events in order, each once, and all of one software version."""
    wrong = []
    streams = [stream for stream in streams_of_this_build(history) if stream.pieces()]
    for stream in streams:
        pieces = stream.pieces()
        numbers = [int(piece.split(".", 1)[1]) for piece in pieces]
        versions = sorted({version_of(piece) for piece in pieces})
        if len(versions) > 1:
            wrong.append(f"{stream.first_request()} has events of {' and '.join(versions)}")
        if numbers != list(range(1, len(numbers) + 1)):
            wrong.append(f"{stream.first_request()} has events {numbers}")
        if was_served(stream.attempts[-1]) and len(numbers) != stream.count:
            wrong.append(f"{stream.first_request()} ended after {len(numbers)} of {stream.count}")
    return len(streams), wrong


def in_touch(history, attempt):
    """True when its forwarder, the directory and the stores had no fault lately."""
    processes = [history.forwarder_at.get(attempt.forwarder), *history.directory, *history.stores]
    return had_no_fault(history, attempt.sent - CONTACT_SECONDS, attempt.ended, processes)


def serving_backends(history, version, attempt):
    """Number of engines of the version that served throughout the attempt."""
    return sum(service.version == version
               and service.began + KNOWN_AFTER_SECONDS <= attempt.sent
               and (service.ended is None or service.ended >= attempt.ended)
               for service in history.backend_services)


def resumed_and_begun(history):
    """Returns whether each resumed stream went on, and each new one began, at nodes in touch."""
    resumed, begun = [], []
    for stream in streams_of_this_build(history):
        received = []
        for attempt in stream.attempts:
            if not attempt.tenant or not in_touch(history, attempt):
                pass
            elif not received:
                begun.append(bool(attempt.pieces))
            elif serving_backends(history, version_of(received[0]), attempt) >= 2:
                resumed.append(bool(attempt.pieces) or was_served(attempt))
            received += attempt.pieces
    return resumed, begun


def interrupted_streams_go_on(history):
    """Resumed streams go on at least half as often as new ones begin."""
    resumed, begun = resumed_and_begun(history)
    if len(resumed) < MIN_RESUMED or not begun:
        return len(resumed), []
    share, new_share = sum(resumed) / len(resumed), sum(begun) / len(begun)
    wrong = [f"{sum(resumed)} of {len(resumed)} go on, {sum(begun)} of {len(begun)} begin"]
    return len(resumed), wrong if share < new_share / 2 else []


def describe_streams(history):
    resumed, begun = resumed_and_begun(history)
    return (f"{len(history.streams)} streams; at nodes in touch {sum(resumed)} of {len(resumed)} "
            f"resumed ones go on, {sum(begun)} of {len(begun)} new ones begin")
