"""Runs the programs of the users' platform under seeded random faults, and checks the guarantees.

    scripts/soak [--seconds N] [--seed N] [--keep FOLDER]

Prints the seed, the faults by kind, each check with the number of cases, and the violations.
Exits with 1 when there is one; the logs of all processes are then kept.
"""

import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

from . import checks
from .backends import Backend, BackendList
from .callers import Caller
from .cluster import CALLERS_PORT, LIST_PORT, OPERATORS_PORT, Addresses, Cluster
from .crowd_faults import CrowdFaults
from .cut_off_faults import CutOffFaults
from .dispatch_faults import DispatchFaults
from .dispatch_watch import (GAUGE_SECONDS, READ_SECONDS, DispatchWatch, describe_dispatch,
                             read_placements)
from .fatal_callers import FatalCaller
from .fatal_checks import describe_fatal, read_refusals
from .faults import Faults
from .history import History
from .loss_checks import describe_cut_requests, describe_endings
from .operator_calls import Operator
from .options import parse_options
from .planned_faults import PlannedFaults
from .slow_machines import slow_forwarders
from .stall_monitor import record_stalls
from .steady_callers import SteadyCaller
from .store_losses import StoreLosses
from .stream_callers import StreamCaller
from .stream_checks import describe_streams
from .tenants import TENANTS, KeyRing, NoKeys
from .upgrade import Upgrade
from .version_faults import VersionFaults

#: Number of conversations that are continued at the end.
CONTINUED_CONVERSATIONS = 60
SETTLE_SECONDS = 6.0
#: Time limit for callers and the operator to finish after they are told to stop, in seconds.
SHUTDOWN_SECONDS = 30.0
#: Every caller of this many opens a new connection for each request; the others keep them.
KEEPING_CALLERS = 3
#: Number of callers that call each route as soon as it is added.
PROBERS = 2
#: Weight of the faults of dispatchers among all kinds with --dispatch, so that about half are theirs.
DISPATCH_WEIGHT = 3
#: Weight of the orders to retire stores among all kinds with --retirements.
RETIREMENT_WEIGHT = 3
#: Number of calls of the forwarder that is killed at the end with --dispatch, what they ask for, and
#: the time limit of their callers in seconds: their work must last beyond the kill.
ABANDONED_CALLS, ABANDONED_TARGET, ABANDONED_SECONDS = 12, "/turns/work/2500", 3.0


async def soak(options, work):
    started = time.monotonic()

    def clock():
        return time.monotonic() - started

    generator = random.Random(options.seed)
    history = History()
    addresses = Addresses(options.network)
    cluster = Cluster(history, clock, options.build, work, addresses, options.sizes,
                      options.dispatch, options.store_losses)
    backends = [Backend(history, clock, f"engine-{number}", "engines",
                        (addresses.own(41 + number), 7700), True, generator.random(),
                        options.slots, options.versions, options.unframed, options.late_copies)
                for number in range(options.back_ends)]
    backends += [Backend(history, clock, f"app-{number}", "apps",
                         (addresses.own(51 + number), 7700), False, generator.random(),
                         options.slots, unframed_share=options.unframed,
                         late_copy_share=options.late_copies)
                 for number in range(options.back_ends)]
    for backend in backends:
        await backend.start()
    await BackendList(backends, (addresses.own(99), LIST_PORT)).start()
    if options.upgrade_from:
        history.has_keys = options.upgrade_tenants
        for node in cluster.nodes:
            node.build = pathlib.Path(options.upgrade_from)
        history.earlier_forwarders = {node.own for node in cluster.nodes_of("forwarder")}
    await cluster.start()
    watchers = [*slow_forwarders(cluster, options.forwarder_share),
                asyncio.ensure_future(record_stalls(history, clock))]
    watch = DispatchWatch(cluster)
    if options.dispatch:
        # An upgrade may end with the earlier build, which dispatches nothing.
        history.dispatch = not options.upgrade_from
        watchers.append(asyncio.ensure_future(watch.run()))
    try:
        faults = await play(options, history, clock, generator, cluster, backends, watch)
    finally:
        for task in watchers:
            task.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        await cluster.stop()
    if options.dispatch:
        read_placements(history, cluster)
    read_refusals(history, cluster)
    return history, faults


async def play(options, history, clock, generator, cluster, backends, watch):
    """Applies load and faults, then waits for recovery and reads turns and configuration back."""
    without_keys = options.upgrade_from and not options.upgrade_tenants
    keys = NoKeys() if without_keys else KeyRing(clock, generator.random())
    operators = [(node.own, OPERATORS_PORT) for node in cluster.nodes_of("directory")]
    operator = Operator(history, clock, operators, generator.random(), keys,
                        cluster.addresses)
    operator.slots = options.slots
    operator.has_streams = options.stream_callers > 0 or options.fatal_callers > 0
    forwarders = [(node.own, CALLERS_PORT) for node in cluster.nodes_of("forwarder")]
    history.forwarder_at = {node.own: node.name for node in cluster.nodes_of("forwarder")}
    history.directory = [node.name for node in cluster.nodes_of("directory")]
    history.stores = [node.name for node in cluster.nodes_of("turn-store")]
    if options.upgrade_from:
        operator.in_force_prober = Caller(history, clock, forwarders, "in-force", "open", keys,
                                          operator.added)
    await operator.change()
    await asyncio.sleep(1.0)
    names = list(TENANTS) if keys.in_use else ["open"]
    callers = [Caller(history, clock, forwarders, generator.random(), names[number % len(names)], keys,
                      operator.added, keeps_connections=number % KEEPING_CALLERS != 0)
               for number in range(options.callers)]
    operator.probers = [Caller(history, clock, forwarders, f"prober-{number}", "open", keys,
                               operator.added) for number in range(PROBERS)]
    for caller in callers:
        caller.other_tenant_callers = [other for other in callers if other.tenant != caller.tenant]
    steady_callers = [SteadyCaller(history, clock, forwarders, generator.random(), "open", keys,
                                   operator.added, back_to_back=number % 2 == 0,
                                   long_share=options.long_share)
                      for number in range(options.steady_callers)]
    callers += steady_callers
    callers += [StreamCaller(history, clock, forwarders, f"streams-{options.seed}-{number}", "open",
                             keys, operator.added, names_streams=number % 2 == 0)
                for number in range(options.stream_callers)]
    fatal_callers = [FatalCaller(history, clock, forwarders, f"fatal-{options.seed}-{number}", "open",
                                 keys, operator.added) for number in range(options.fatal_callers)]
    callers += fatal_callers
    faults = create_faults(options, cluster, backends, clock, generator.random(), operator, watch)
    inject_faults = options.upgrade_faults or not options.upgrade_from
    work_tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    work_tasks.append(asyncio.ensure_future(operator.run()))
    fault_task = asyncio.ensure_future(faults.run()) if inject_faults else None
    store_losses = StoreLosses(faults)
    losses_task = asyncio.ensure_future(store_losses.run()) if options.store_losses else None
    if options.upgrade_from:
        upgrade = Upgrade(cluster, options.upgrade_from, faults, f"upgrade-{options.seed}")
        await upgrade.play(options.upgrade_plan, options.upgrade_faults)
    else:
        await asyncio.sleep(options.seconds)
    if losses_task is not None:
        # The last fault of the run follows the last loss as the others do.
        store_losses.stopping = True
        await losses_task
    if fault_task is not None:
        await faults.close(options.final_disk_loss)
        await fault_task
    history.machines_up_at = clock()
    for caller in steady_callers + fatal_callers:
        # They may ask for more than the back ends bear, which would hide whether service returns.
        caller.stopping = True
    await asyncio.sleep(checks.RECOVERY_SECONDS + SETTLE_SECONDS)
    for worker in (*callers, operator):
        worker.stopping = True
    _, unfinished = await asyncio.wait(work_tasks, timeout=SHUTDOWN_SECONDS)
    history.unfinished = len(unfinished)
    for task in unfinished:
        task.cancel()
    lines = [(caller, line) for caller in callers for line in caller.conversations]
    sample = generator.sample(lines, min(CONTINUED_CONVERSATIONS, len(lines)))

    async def continue_sample(caller):
        for other, line in sample:
            if other is caller:
                history.continued.append((line[0], await caller.continue_conversation(line)))

    await asyncio.gather(*(continue_sample(caller) for caller in callers))
    history.disks_in_series = options.disks_in_series
    for _ in range(10):
        history.read_back = await operator.read()
        if history.read_back is not None:
            break
        await asyncio.sleep(0.3)
    if history.dispatch:
        await abandon_calls(history, cluster, faults, callers[0], watch)
    if options.dispatch:
        await watch.read_places_left()
    return faults


async def abandon_calls(history, cluster, faults, caller, watch):
    """Kills a forwarder while calls of it run and wait, so that only leases return their places."""
    forwarder = cluster.nodes_of("forwarder")[0]
    attempts = []
    for _ in range(ABANDONED_CALLS):
        attempts.append(caller.turn(caller.draw_id(), None, 0))
        # Not a turn to the checks of service, which must not count calls that are cut on purpose.
        attempts[-1].kind, attempts[-1].target = "abandoned", ABANDONED_TARGET
    calls = [asyncio.ensure_future(caller.send_turn(attempt, ABANDONED_SECONDS,
                                                    (forwarder.own, CALLERS_PORT)))
             for attempt in attempts]
    await asyncio.sleep(GAUGE_SECONDS + READ_SECONDS)
    history.places_abandoned = await watch.read_running()
    with faults.recording_fault(forwarder):
        await forwarder.kill()
        await asyncio.gather(*calls)


def create_faults(options, cluster, backends, clock, seed, operator, watch):
    faults = Faults(cluster, backends, clock, seed)
    faults.pauses = (options.fault_gap / 8, options.fault_gap)
    faults.disks_in_series = options.disks_in_series
    planned = PlannedFaults(faults, operator)
    every_kind = faults.kinds + planned.kinds
    faults.kinds = planned.kinds if options.planned else every_kind
    if options.retirements:
        faults.kinds = faults.kinds + RETIREMENT_WEIGHT * planned.retirement_kinds
    every_kind = every_kind + planned.retirement_kinds
    crowds = CrowdFaults(faults)
    if options.crowds:
        faults.kinds = faults.kinds + crowds.kinds
    every_kind = every_kind + crowds.kinds
    every_kind = every_kind + VersionFaults(faults).kinds + CutOffFaults(faults, operator).kinds
    if options.dispatch:
        dispatch = DispatchFaults(faults, watch)
        every_kind = every_kind + dispatch.kinds
        if not options.planned:
            faults.kinds = faults.kinds + DISPATCH_WEIGHT * dispatch.kinds
    if options.kinds:
        by_name = {kind.__name__: kind for kind in every_kind}
        faults.kinds = [by_name[name] for name in options.kinds.split(",")]
    return faults


def known_red(seed):
    """Returns the reasons of the known failures by check, from the soak lines of KNOWN-RED.txt.

    A line "soak CHECK --seed N" holds for that seed only.
    """
    path = pathlib.Path("KNOWN-RED.txt")
    lines = path.read_text().splitlines() if path.exists() else []
    parts = [line.split(" | ", 1) for line in lines if line.startswith("soak ")]
    known = {}
    for name, reason in parts:
        check, _, only_seed = name.removeprefix("soak ").partition(" --seed ")
        if only_seed in ("", str(seed)):
            known[check] = reason
    return known


def report(options, history, faults):
    served = sum(attempt.status == 200 and attempt.complete for attempt in history.attempts)
    print(f"seed {options.seed}, {options.seconds} s, {len(history.attempts)} requests, {served} "
          f"served, {len(history.runs)} runs at back ends, {len(history.changes)} configurations")
    stalled = sum(stall.ended - stall.began for stall in history.stalls)
    print(f"stalls of the soak itself: {len(history.stalls)}, {stalled:.1f} s in all")
    print("endings: " + describe_endings(history))
    print("faults: " + ", ".join(f"{kind} {count}"
                                 for kind, count in sorted(faults.injected.items())))
    if options.stream_callers:
        print("streams: " + describe_streams(history))
    if options.fatal_callers:
        print("fatal: " + describe_fatal(history))
    if options.dispatch:
        print("dispatch: " + describe_dispatch(history))
    violations = 0
    listed = known_red(options.seed)
    for name, count, found in checks.check_all(history):
        print(f"{name}: {count} checked, {len(found)} violations")
        if found and name in listed:
            print(f"known red: {name}: {listed[name]}")
        else:
            violations += len(found)
        for violation in found[:5]:
            print(f"    {violation}")
    # The checks mean little when few requests were served.
    if served * 4 < len(history.attempts):
        print("less than a quarter of the requests was served")
        violations += 1
    return violations


def main():
    options = parse_options(__doc__)
    work = pathlib.Path(tempfile.mkdtemp(prefix="tallyfold-soak-"))

    async def stoppable():
        # Cancelling on SIGTERM lets `soak` stop the cluster's processes.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await soak(options, work)

    history, faults = asyncio.run(stoppable())
    violations = report(options, history, faults)
    (work / "faults.log").write_text("\n".join(faults.log) + "\n")
    (work / "cut_requests.log").write_text("\n".join(describe_cut_requests(history)) + "\n")
    if options.keep:
        shutil.copytree(work, options.keep, dirs_exist_ok=True)
    if violations:
        print(f"logs: {options.keep or work}")
    else:
        shutil.rmtree(work)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
