"""Tests that each check reports a constructed violation and passes a correct history."""

import unittest

from . import checks
from .history import (Attempt, ConfigurationChange, ConfigurationRead, ProcessExit, History,
                      RouteProbe, Run, FaultInterval)


def attempt(request="a", kind="turn", **fields):
    values = {"method": "POST", "target": "/t/", "body": b"in", "sent": 1.0, "ended": 2.0,
              "status": 200, "signature": "s", "answered_id": request, "pieces": ["x", "y"],
              "complete": True, "retry_after": ""}
    values.update(fields)
    return Attempt(request, kind, **values)


def run(request="a", **fields):
    values = {"backend": "e", "service": "s", "method": "POST", "target": "/t/", "body": b"in",
              "pieces": ["x", "y"], "status": 200, "complete": True}
    values.update(fields)
    return Run(request, **values)


class ChecksTest(unittest.TestCase):
    def violations(self, check, **parts):
        return check(History(**parts))[1]

    def test_a_good_history_has_no_violations(self):
        good = History(runs=[run(tenant="open")], attempts=[attempt(tenant="open")],
                       reads=[ConfigurationRead(9, 3)], changes=[ConfigurationChange(3, 1)],
                       process_exits=[ProcessExit("p", 1, 0, True)],
                       continued=[("a", 200)], read_back=3)
        for name, _, violations in checks.check_all(good):
            self.assertEqual([], violations, name)

    def attempts_after_recovery(self, statuses, **fields):
        return [attempt(str(number), sent=30.0, status=status, tenant="open", **fields)
                for number, status in enumerate(statuses)]

    def test_service_that_does_not_return_is_found(self):
        refused = self.attempts_after_recovery([200] * 5 + [503] * 5)
        self.assertTrue(self.violations(checks.service_returns, attempts=refused, machines_up_at=10.0))
        before_the_bound = [attempt(sent=15.0, status=503, tenant="open")]
        self.assertFalse(self.violations(checks.service_returns, attempts=before_the_bound,
                                         machines_up_at=10.0))
        served = self.attempts_after_recovery([200] * 10)
        self.assertFalse(self.violations(checks.service_returns, attempts=served, machines_up_at=10.0))

    def test_only_possibly_lost_turns_may_stay_undecided(self):
        continuing = self.attempts_after_recovery([503] * 5, previous="p")
        self.assertTrue(self.violations(checks.service_returns, attempts=continuing, machines_up_at=10.0))
        self.assertFalse(self.violations(checks.service_returns, attempts=continuing, machines_up_at=10.0,
                                         disks_in_series=True))
        first_turns = self.attempts_after_recovery([503] * 5)
        self.assertTrue(self.violations(checks.service_returns, attempts=first_turns,
                                        machines_up_at=10.0, disks_in_series=True))
        forgotten = [("t", 404)]
        self.assertTrue(self.violations(checks.history_is_kept, continued=forgotten,
                                        disks_in_series=True))

    def test_an_added_route_that_gets_404_is_found(self):
        unknown = attempt(kind="repeatable", target="/added/7/x", status=404, tenant="open")
        self.assertTrue(self.violations(checks.added_routes_are_known, attempts=[unknown]))
        refused = attempt(kind="repeatable", target="/added/7/x", status=503, tenant="open")
        self.assertFalse(self.violations(checks.added_routes_are_known, attempts=[refused]))

    def test_a_second_run_is_found(self):
        self.assertTrue(self.violations(checks.at_most_once, runs=[run(), run()],
                                        attempts=[attempt()]))

    def test_a_second_run_of_what_may_repeat_is_allowed(self):
        self.assertFalse(self.violations(checks.at_most_once, runs=[run(), run()],
                                         attempts=[attempt(kind="repeatable")]))

    def test_a_refusal_that_ran_is_found(self):
        for status in checks.NOT_RUN_STATUSES:
            self.assertTrue(self.violations(checks.refused_never_ran, runs=[run()],
                                            attempts=[attempt(status=status)]))

    def test_a_refusal_without_a_time_is_found(self):
        self.assertTrue(self.violations(checks.refusals_say_when, attempts=[attempt(status=503)]))

    def test_an_answer_of_another_request_is_found(self):
        self.assertTrue(self.violations(checks.answers_are_their_own, runs=[run()],
                                        attempts=[attempt(answered_id="b")]))

    def test_an_unsigned_success_is_found(self):
        self.assertTrue(self.violations(checks.answers_are_their_own, runs=[run()],
                                        attempts=[attempt(signature="")]))

    def test_an_incomplete_or_altered_answer_is_found(self):
        self.assertTrue(self.violations(checks.answers_are_their_own, runs=[run(complete=False)],
                                        attempts=[attempt()]))
        self.assertTrue(self.violations(checks.answers_are_their_own, runs=[run()],
                                        attempts=[attempt(pieces=["x"])]))

    def test_a_stream_with_a_gap_or_a_double_is_found(self):
        for pieces in (["y"], ["x", "x"]):
            self.assertTrue(self.violations(checks.streams_keep_their_order, runs=[run()],
                                            attempts=[attempt(pieces=pieces, complete=False)]))

    def test_a_changed_body_and_an_unknown_request_are_found(self):
        self.assertTrue(self.violations(checks.bodies_arrive_unchanged, runs=[run(body=b"other")],
                                        attempts=[attempt()]))
        self.assertTrue(self.violations(checks.bodies_arrive_unchanged, runs=[run()], attempts=[]))
        self.assertTrue(self.violations(checks.bodies_arrive_unchanged, runs=[run()],
                                        attempts=[attempt(expected_body=b"line")]))

    def test_a_lost_turn_is_found(self):
        later = attempt("b", previous="a", sent=3.0, status=404, complete=False)
        self.assertTrue(self.violations(checks.history_is_kept, attempts=[attempt(), later]))
        self.assertTrue(self.violations(checks.history_is_kept, continued=[("a", 503)]))

    def test_a_turn_that_never_ended_may_be_unknown(self):
        later = attempt("b", previous="a", sent=3.0, status=404, complete=False)
        self.assertFalse(self.violations(checks.history_is_kept,
                                         attempts=[attempt(complete=False), later]))

    def test_an_overdrawn_budget_is_found(self):
        turns = [attempt(str(number), program="p", budget=10, max_tokens=5, tokens_per_event=3,
                         pieces=["x", "y"]) for number in range(3)]
        self.assertTrue(self.violations(checks.budgets_hold, attempts=turns))
        self.assertFalse(self.violations(checks.budgets_hold, attempts=turns[:2]))

    def test_an_older_configuration_is_found(self):
        changes = [ConfigurationChange(3, 1.0)]
        self.assertTrue(self.violations(checks.configurations_never_revert, changes=changes,
                                        reads=[ConfigurationRead(9.0, 2)], read_back=3))
        self.assertTrue(self.violations(checks.configurations_never_revert, changes=changes,
                                        read_back=2))
        self.assertTrue(self.violations(checks.configurations_never_revert, changes=changes))

    def test_a_key_or_another_tenant_at_a_back_end_is_found(self):
        mine = attempt(tenant="open")
        self.assertTrue(self.violations(checks.keys_stay_inside, attempts=[mine],
                                        runs=[run(tenant="open", key="k")]))
        self.assertTrue(self.violations(checks.keys_stay_inside, attempts=[mine],
                                        runs=[run(tenant="tight")]))
        self.assertFalse(self.violations(checks.keys_stay_inside, attempts=[mine],
                                         runs=[run(tenant="open")]))

    def test_an_invalid_key_that_ran_or_was_served_is_found(self):
        self.assertTrue(self.violations(checks.strangers_never_run, runs=[run()],
                                        attempts=[attempt(status=401)]))
        self.assertTrue(self.violations(checks.strangers_never_run, attempts=[attempt()]))
        self.assertFalse(self.violations(checks.strangers_never_run,
                                         attempts=[attempt(status=401)]))

    def test_an_invalid_key_may_get_404_on_a_dropped_route(self):
        for dropped, status, found in ((True, 404, False), (False, 404, True), (True, 200, True)):
            asked = attempt(status=status)
            probe = RouteProbe(asked, 2, dropped)
            self.assertEqual(found, bool(self.violations(
                checks.strangers_never_run, attempts=[asked], route_probes=[probe])))
        asked = attempt(status=404)
        self.assertTrue(self.violations(checks.strangers_never_run, runs=[run()],
                                        attempts=[asked],
                                        route_probes=[RouteProbe(asked, 2, True)]))

    def test_a_valid_key_that_gets_401_is_found(self):
        self.assertTrue(self.violations(checks.proper_keys_are_let_in,
                                        attempts=[attempt(tenant="open", status=401)]))

    def test_continuing_another_tenants_turn_is_found(self):
        self.assertTrue(self.violations(checks.others_turns_are_unknown, runs=[run()],
                                        attempts=[attempt(tenant="open", continues_other_tenant=True)]))

    def test_a_limit_that_is_exceeded_is_found(self):
        bound = int(checks.limit_of("tight"))
        for count, gap in ((bound, 0.01), (bound + 1, 0.01), (bound + 1, 0.1)):
            attempts = [attempt(str(number), tenant="tight", sent=number * gap)
                        for number in range(count)]
            runs = [run(str(number), at=number * gap + 0.001) for number in range(count)]
            found = self.violations(checks.limits_hold, attempts=attempts, runs=runs)
            self.assertEqual(count > bound and gap < 0.05, bool(found))

    def test_work_that_never_ends_is_found(self):
        self.assertTrue(self.violations(checks.work_ends, unfinished=1))

    def in_force(self, status, dropped, ran=False, fault_intervals=()):
        """Returns the violations of one probe of a route that a change dropped or added."""
        probe = RouteProbe(attempt(kind="repeatable", sent=10.0, ended=10.1, status=status,
                                   forwarder="f", target="/own/2/x" if dropped else "/added/3/x"),
                           3, dropped)
        return self.violations(checks.changes_are_in_force, route_probes=[probe],
                               attempts=[probe.attempt], runs=[run()] if ran else [],
                               forwarder_at={"f": "forwarder-0"}, directory=["directory-0"],
                               fault_intervals=list(fault_intervals))

    def test_a_change_that_is_not_in_force_is_found(self):
        self.assertTrue(self.in_force(200, dropped=True, ran=True))
        self.assertFalse(self.in_force(404, dropped=True))
        self.assertTrue(self.in_force(404, dropped=False))
        self.assertTrue(self.in_force(503, dropped=False))
        self.assertFalse(self.in_force(200, dropped=False, ran=True))
        for process in ("forwarder-0", "directory-0"):
            struck = [FaultInterval(process, 7.5, 8.0)]
            self.assertFalse(self.in_force(200, dropped=True, ran=True, fault_intervals=struck))
        for interval in (FaultInterval("forwarder-0", 2.0, 6.5),
                         FaultInterval("turn-store-0", 9.0, 11.0)):
            self.assertTrue(self.in_force(200, dropped=True, ran=True, fault_intervals=[interval]))

    def test_unserved_requests_during_a_rolling_replacement_are_found(self):
        def roll(statuses, fault_intervals=()):
            asked = [attempt(str(number), sent=5.0, ended=5.1, status=status, forwarder="f")
                     for number, status in enumerate(statuses)]
            return self.violations(checks.planned_rolls_serve, attempts=asked,
                                   rolling_replacements=[(4.0, 9.0)],
                                   fault_intervals=list(fault_intervals),
                                   forwarder_at={"f": "forwarder-0"})
        self.assertTrue(roll([200] * 5 + [503] * 5))
        self.assertFalse(roll([200] * 10))
        self.assertFalse(roll([200] * 5 + [0] * 5, [FaultInterval("forwarder-0", 4.5, 6.0)]))

    def test_the_earlier_build_may_answer_404_until_a_change_is_in_force(self):
        def called(sent, earlier, fault_intervals=()):
            call = attempt(kind="repeatable", target="/added/3/x", status=404, sent=sent,
                           ended=sent, by_earlier_build=earlier, forwarder="f")
            return self.violations(checks.added_routes_are_known, attempts=[call],
                                   changes=[ConfigurationChange(3, 10.0)],
                                   fault_intervals=list(fault_intervals),
                                   forwarder_at={"f": "forwarder-0"})
        self.assertTrue(called(10.2, earlier=False))
        self.assertFalse(called(10.2, earlier=True))
        self.assertTrue(called(12.1, earlier=True))
        self.assertFalse(called(12.1, True, [FaultInterval("forwarder-0", 11.0, 12.5)]))

    def test_a_process_that_ends_by_itself_is_found(self):
        self.assertTrue(self.violations(checks.processes_stay_up,
                                        process_exits=[ProcessExit("p", 1, 139, False)]))


if __name__ == "__main__":
    unittest.main()
