#include "sim/checkers.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace sim;

/// Each checker must flag a hand-made run that violates its property and accept a valid run.
class checkers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(checkers_test);
    CPPUNIT_TEST(a_valid_run_passes);
    CPPUNIT_TEST(each_violation_is_flagged);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int seconds) { return instant(std::chrono::seconds(seconds)); }

    static stand_ins::ledger_entry entry(sequence_number sequence, std::uint32_t attempt,
                                         int started) {
        stand_ins::ledger_entry made;
        made.key = {"p", sequence, attempt};
        made.backend = "b";
        made.started = at(started);
        made.finished = at(started + 1);
        made.completed = true;
        made.tokens = 10;
        return made;
    }

    static observations good() {
        observations seen;
        stand_ins::caller_report caller;
        caller.program = "p";
        caller.budget = 100;
        caller.completed = true;
        caller.members["p"] = at(9);
        seen.callers.push_back(caller);
        seen.histories["p"] = {};
        seen.ledger = {entry(1, 1, 1), entry(2, 1, 3)};
        seen.finished = true;
        return seen;
    }

    static std::set<std::string> flagged(const observations& seen) {
        std::set<std::string> names;
        for (const property& each : properties()) {
            if (!each.check(seen).empty()) {
                names.insert(each.name);
            }
        }
        return names;
    }

    static operator_record accepted(const std::string& identity, double weight,
                                    std::uint64_t item_version) {
        operator_record record;
        record.command.command_identity = identity;
        record.command.key = {configuration::item_kind::tenant, "t"};
        record.command.body = configuration::tenant_settings{weight, 1};
        record.result = configuration::change_result{
            configuration::change_status::accepted, item_version, item_version, {}};
        record.accepted_at = at(1);
        return record;
    }

    void a_valid_run_passes() { CPPUNIT_ASSERT(flagged(good()).empty()); }

    void each_violation_is_flagged() {
        std::map<std::string, observations> bad;
        bad["order"] = good();
        bad["order"].ledger.push_back(entry(1, 2, 5));
        bad["history"] = good();
        bad["history"].histories.clear();
        bad["budget"] = good();
        bad["budget"].ledger[0].tokens = 95;
        bad["memory"] = good();
        bad["memory"].held_after_end["p"] = 1;
        bad["whole_answers"] = good();
        bad["whole_answers"].callers[0].lost = 1;
        bad["not_run"] = good();
        bad["not_run"].callers[0].claims.push_back({"p", 2, at(2), at(4)});
        bad["at_most_once"] = good();
        for (const std::uint32_t attempt : {1U, 2U}) {
            auto once = entry(3, attempt, 4 + static_cast<int>(attempt));
            once.kind = journal::call_kind::app;
            once.repeatable = false;
            bad["at_most_once"].ledger.push_back(once);
        }
        bad["leaving"] = good();
        bad["leaving"].leaving["b"] = at(-5);
        bad["planned_stop"] = good();
        bad["planned_stop"].only_planned_stops = true;
        bad["planned_stop"].ledger[1].completed = false;
        bad["configuration"] = good();
        bad["configuration"].operators = {accepted("a", 2, 1), accepted("b", 3, 1)};
        for (const property& each : properties()) {
            CPPUNIT_ASSERT_MESSAGE(each.name, bad.contains(each.name));
            CPPUNIT_ASSERT_MESSAGE(each.name, flagged(bad.at(each.name)).contains(each.name));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(checkers_test);

}  // namespace tallyfold::tests
