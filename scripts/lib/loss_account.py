"""Breaks down the lost credit of a day from the output of `fleetbench run SITE DAY --log frontend`.

The report rows give the credit of each window of the day; the log lines of event 3201 (request_finished) give the time
spent in each phase of a turn and sample request ids. Lines are placed by their own `time=` field, since the bench
prefixes only the first of several lines with a timestamp.
"""
import collections
import re

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
WINDOW_ROW = re.compile(r"^(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +([\d.]+) +[\d.]+ +[\d.]+\s*$")
PRICE_ROW = re.compile(r"^ +-(0\.\d+) +[\d.]+ (.+)$")
# Number of sample request ids listed for each outcome of unanswered requests.
SAMPLES = 3


def seconds_of_day(text):
    hours, minutes, rest = text[11:].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(rest)


def number(fields, name):
    value = fields.get(name, "")
    return int(value) if value.lstrip("-").isdigit() else 0


def quantile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0


class Account:
    """Report rows, prices and finished requests of a log, grouped by window of the day."""

    def __init__(self, lead, width):
        self.lead, self.width = lead, width
        self.report = []
        self.prices = []
        self.turns = collections.defaultdict(list)
        self.plain = collections.defaultdict(list)
        self.unanswered = collections.defaultdict(collections.Counter)
        self.samples = {}
        self.start = None

    def read(self, lines):
        for line in lines:
            if "event=" in line and "name=" in line:
                self.read_event(dict(FIELD.findall(line)))
                continue
            row = WINDOW_ROW.match(line)
            if row:
                first, asked, in_aim, late, refused, failed = (int(row[part]) for part in range(1, 7))
                self.report.append((first, asked, in_aim, late, refused, failed, float(row[8])))
            price = PRICE_ROW.match(line.rstrip())
            if price and float(price[1]) > 0:
                self.prices.append((float(price[1]), price[2]))

    def read_event(self, fields):
        try:
            moment = seconds_of_day(fields["time"])
        except (KeyError, ValueError):
            return
        if self.start is None:
            self.start = moment + self.lead
        if fields.get("name") != "request_finished":
            return
        window = int((moment - self.start) // self.width * self.width)
        outcome = fields.get("outcome", "-")
        if outcome == "answered":
            (self.turns if "events" in fields else self.plain)[window].append(fields)
        elif outcome not in ("over_budget", "no_route"):
            ending = (outcome, fields.get("reason", "-").strip('"'))
            self.unanswered[window][ending] += 1
            self.samples.setdefault(ending, []).append(fields.get("request", "-"))

    def idle_gap(self):
        """Time between events on a lightly loaded engine, in ms: a low quantile of the day's gaps."""
        gaps = [event_gap(turn) for turns in self.turns.values() for turn in turns if number(turn, "events") > 2]
        return quantile(gaps, 0.05)


def event_gap(turn):
    return (number(turn, "total_ms") - number(turn, "first_byte_ms")) / (number(turn, "events") - 1)


def phase_times(turn):
    """Milliseconds of a turn: at the stores, queued at the forwarder, until the first event, and generating."""
    store, waited = number(turn, "store_ms"), number(turn, "waited_ms")
    first, total = number(turn, "first_byte_ms"), number(turn, "total_ms")
    return store, waited, max(0, first - store - waited), total - first


def render(account):
    text = ["credit by window, from the bench's report",
            "from s  asked  in aim  late  refused  failed  earned  lost of the asked"]
    for first, asked, in_aim, late, refused, failed, worth in account.report:
        text.append(f"{first:6} {asked:6} {in_aim:7} {late:5} {refused:8} {failed:7} {worth:7.3f} {asked * (1 - worth):8.1f}")
    text += ["", f"turns by window, milliseconds 50/95 of 100; idle pace {account.idle_gap():.1f} ms an event",
             "from s  turns    stores      waited   to first event  generating  pace x idle  not cached %  continued"]
    idle = account.idle_gap()
    for window, turns in sorted(account.turns.items()):
        parts = list(zip(*(phase_times(turn) for turn in turns)))
        cells = " ".join(f"{quantile(part, .5):5}/{quantile(part, .95):5}" for part in parts)
        gaps = [event_gap(turn) for turn in turns if number(turn, "events") > 2]
        slow = quantile(gaps, .5) / idle if idle else 0
        uncached = 100 * sum(number(turn, "cached") == 0 for turn in turns) / len(turns)
        text.append(f"{window:6} {len(turns):6} {cells} {slow:11.2f} {uncached:12.1f} "
                    f"{sum(number(turn, 'continued') > 0 for turn in turns):9}")
    text += ["", "plain calls by window", "from s  calls  total 50/95  asked full back ends again"]
    for window, calls in sorted(account.plain.items()):
        totals = [number(call, "total_ms") for call in calls]
        again = sum(number(call, "waits_for_room") > 0 for call in calls)
        text.append(f"{window:6} {len(calls):6} {quantile(totals, .5):6}/{quantile(totals, .95):5} {again:8}")
    text += ["", "not answered by window, and requests to follow in the logs"]
    for window, endings in sorted(account.unanswered.items()):
        for (outcome, reason), count in endings.most_common():
            text.append(f"{window:6} {count:6} {outcome}: {reason}")
    for ending, requests in account.samples.items():
        text.append(f"       {ending[0]}, {ending[1]}: {' '.join(requests[:SAMPLES])}")
    text += ["", "prices"] + [f"  -{price:.4f} {what}" for price, what in sorted(account.prices, reverse=True)]
    return "\n".join(text)
