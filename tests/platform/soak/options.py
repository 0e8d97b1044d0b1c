"""Options of the soak."""

import argparse
import random

from .backends import SLOTS
from .cluster import Sizes
from .upgrade import parse_plan


def parse_options(description):
    parser = argparse.ArgumentParser(description=description,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 32))
    parser.add_argument("--build", default="build")
    parser.add_argument("--callers", type=int, default=9)
    parser.add_argument("--fault-gap", type=float, default=1.5,
                        help="maximum seconds between two faults; faults may last longer and overlap")
    parser.add_argument("--disks-in-series", action="store_true",
                        help="disks may be lost before a copy is complete: turns may be lost, but "
                             "service must recover")
    parser.add_argument("--store-losses", action="store_true",
                        help="stores are restarted, cut off, replaced and wiped, one as soon as the "
                             "last one has caught up; --kinds has to spare machines with a disk")
    parser.add_argument("--kinds", default="", help="comma-separated kinds of faults; all when empty")
    parser.add_argument("--planned", action="store_true",
                        help="planned work only: stops, reloads and configuration changes")
    parser.add_argument("--steady-callers", type=int, default=4,
                        help="callers that use a connection until the forwarder closes it")
    parser.add_argument("--long-share", type=float, default=0.25,
                        help="share of their requests for which a back end works up to seconds")
    parser.add_argument("--slots", type=int, default=SLOTS,
                        help="number of requests that a back end works on at a time")
    parser.add_argument("--back-ends", type=int, default=4,
                        help="number of engines, and of back ends of the other service")
    parser.add_argument("--forwarder-share", type=float, default=1.0,
                        help="share of the time for which each forwarder runs, as on a slow machine")
    parser.add_argument("--final-disk-loss", action="store_true",
                        help="at the end, lose as many disks as may be lost, and all power")
    parser.add_argument("--dispatch", action="store_true",
                        help="calls to engines ask a dispatcher for a place; faults also hit the "
                             "directory node that dispatches")
    parser.add_argument("--versions", type=int, default=1,
                        help="number of software versions that engines run side by side")
    parser.add_argument("--stream-callers", type=int, default=0,
                        help="callers of resumable streams, which resume interrupted ones")
    parser.add_argument("--unframed", type=float, default=0.0, metavar="SHARE",
                        help="share of the answers with neither a length nor chunks")
    parser.add_argument("--late-copies", type=float, default=0.0, metavar="SHARE",
                        help="share of the whole answers, rejections among them, of which a copy comes "
                             "in place of the next answer on the connection")
    parser.add_argument("--retirements", action="store_true",
                        help="orders to retire several stores at once, also with too few left, and "
                             "stores that are replaced by others")
    parser.add_argument("--fatal-callers", type=int, default=0,
                        help="callers whose requests end each back end that runs them")
    parser.add_argument("--crowds", action="store_true",
                        help="crowds of clients that send half messages, beside the other faults")
    parser.add_argument("--network", type=int, default=0,
                        help="second octet of the loopback addresses; differs for concurrent runs")
    parser.add_argument("--keep", default="", help="folder to which the logs are always copied")
    add_upgrade_options(parser)
    add_size_options(parser)
    options = parser.parse_args()
    parse_plan(options.upgrade_plan)
    options.sizes = Sizes(options.directory_nodes, options.stores, options.forwarders,
                          options.losses_borne)
    return options


def add_size_options(parser):
    parser.add_argument("--directory-nodes", type=int, default=3)
    parser.add_argument("--stores", type=int, default=3)
    parser.add_argument("--forwarders", type=int, default=3)
    parser.add_argument("--losses-borne", type=int, default=1,
                        help="number of machines with a disk that may be lost at a time")


def add_upgrade_options(parser):
    parser.add_argument("--upgrade-from", default="", metavar="FOLDER",
                        help="start the cluster with the programs in this folder and replace them "
                             "by those of --build according to --upgrade-plan, without faults "
                             "unless --upgrade-faults; without --upgrade-tenants the "
                             "configuration has no tenants")
    parser.add_argument("--upgrade-plan", default="up,down",
                        help="comma-separated steps: up or down for all programs; with :directory, "
                             ":turn-store or :forwarder for one; with :any for all in random order")
    parser.add_argument("--upgrade-tenants", action="store_true",
                        help="use a configuration with tenants, which both builds must support")
    parser.add_argument("--upgrade-faults", action="store_true",
                        help="inject faults during the replacements")
