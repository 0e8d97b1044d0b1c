#include "tallyfold/plane/decisions/call_ranking.hpp"

#include <fstream>
#include <iterator>

#include "tests/support/source_root.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class call_ranking_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_ranking_test);
    CPPUNIT_TEST(priority_sets_urgency_without_a_policy);
    CPPUNIT_TEST(a_policy_sets_urgency_by_time_left);
    CPPUNIT_TEST(priority_sets_urgency_without_an_urgency_function);
    CPPUNIT_TEST(an_invalid_policy_keeps_the_previous_one);
    CPPUNIT_TEST(a_failed_evaluation_is_counted_and_falls_back_to_priority);
    CPPUNIT_TEST(an_empty_text_removes_the_policy);
    CPPUNIT_TEST(the_shipped_policy_puts_the_least_time_left_first);
    CPPUNIT_TEST(the_shipped_policy_orders_late_programs_last);
    CPPUNIT_TEST(a_failed_order_evaluation_falls_back_to_time_left);
    CPPUNIT_TEST_SUITE_END();

    static std::string policy_with(const std::string& urgency) {
        return "function order(call) return 1 end\n"
               "function place(call, engine) return 1 end\n"
               "function retain(program) return 1 end\n" +
               urgency;
    }

    static scheduling::call_features call_with(double priority, double time_left_ms) {
        scheduling::call_features call;
        call.priority = priority;
        call.time_left_ms = time_left_ms;
        return call;
    }

    void priority_sets_urgency_without_a_policy() {
        call_ranking ranking;
        CPPUNIT_ASSERT_EQUAL(1, ranking.urgency_of(call_with(1, 50)));
        CPPUNIT_ASSERT_EQUAL(call_ranking::least_urgent, ranking.urgency_of(call_with(40, 50)));
        CPPUNIT_ASSERT(ranking.placement() == nullptr);
    }

    void a_policy_sets_urgency_by_time_left() {
        call_ranking ranking;
        const auto used = ranking.set_policy(policy_with(
            "function urgency(call) if call.time_left_ms < 500 then return 2 end return 70 end"));
        CPPUNIT_ASSERT(used.has_value() && *used == policy_change::activated);
        CPPUNIT_ASSERT_EQUAL(2, ranking.urgency_of(call_with(0, 499)));
        CPPUNIT_ASSERT_EQUAL(call_ranking::least_urgent, ranking.urgency_of(call_with(0, 500)));
        CPPUNIT_ASSERT(ranking.placement() != nullptr);
    }

    void priority_sets_urgency_without_an_urgency_function() {
        call_ranking ranking;
        CPPUNIT_ASSERT(ranking.set_policy(policy_with("")).has_value());
        CPPUNIT_ASSERT_EQUAL(3, ranking.urgency_of(call_with(3, 50)));
    }

    void an_invalid_policy_keeps_the_previous_one() {
        call_ranking ranking;
        CPPUNIT_ASSERT(ranking.set_policy(policy_with("function urgency(call) return 6 end")));
        CPPUNIT_ASSERT(!ranking.set_policy("function order(call"));
        CPPUNIT_ASSERT(
            !ranking.set_policy(policy_with("function urgency(call) return 'soon' end")));
        CPPUNIT_ASSERT_EQUAL(6, ranking.urgency_of(call_with(0, 50)));
    }

    void a_failed_evaluation_is_counted_and_falls_back_to_priority() {
        call_ranking ranking;
        CPPUNIT_ASSERT(ranking.set_policy(policy_with(
            "function urgency(call) if call.time_left_ms < 0 then return nil end return 5 end")));
        CPPUNIT_ASSERT_EQUAL(1, ranking.urgency_of(call_with(1, -1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ranking.failures());
    }

    void an_empty_text_removes_the_policy() {
        call_ranking ranking;
        CPPUNIT_ASSERT(ranking.set_policy(policy_with("")));
        CPPUNIT_ASSERT(*ranking.set_policy("") == policy_change::removed);
        CPPUNIT_ASSERT(ranking.placement() == nullptr);
    }

    static std::string shipped_policy() {
        std::ifstream file(source_root() + "/policies/platform.lua");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    void the_shipped_policy_puts_the_least_time_left_first() {
        call_ranking ranking;
        CPPUNIT_ASSERT(ranking.set_policy(shipped_policy()).has_value());
        std::int32_t previous_level = call_ranking::most_urgent;
        for (const double left : {100.0, 500.0, 1'500.0, 3'000.0, 9'000.0}) {
            const std::int32_t level = ranking.urgency_of(call_with(1, left));
            CPPUNIT_ASSERT(level > previous_level);
            CPPUNIT_ASSERT_EQUAL(level, ranking.urgency_of(call_with(0, left)));
            previous_level = level;
        }
        // A late program still precedes programs with time to spare.
        CPPUNIT_ASSERT(ranking.urgency_of(call_with(0, -50)) <
                       ranking.urgency_of(call_with(0, 1'500)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, ranking.failures());
    }

    void the_shipped_policy_orders_late_programs_last() {
        call_ranking ranking;
        CPPUNIT_ASSERT(ranking.set_policy(shipped_policy()).has_value());
        const auto rank = [&ranking](double time_left_ms) {
            scheduling::call_features call = call_with(0, time_left_ms);
            call.call_ms = 400;
            return ranking.order_of(call);
        };
        CPPUNIT_ASSERT(rank(500) < rank(3000));
        CPPUNIT_ASSERT(rank(3000) < rank(100));
        CPPUNIT_ASSERT(rank(100) < rank(-2000));
    }

    void a_failed_order_evaluation_falls_back_to_time_left() {
        call_ranking ranking;
        CPPUNIT_ASSERT(
            ranking
                .set_policy("function order(call) if call.time_left_ms == 70 then error('no') end "
                            "return 1 end\n"
                            "function place(call, engine) return 1 end\n"
                            "function retain(program) return 1 end\n")
                .has_value());
        CPPUNIT_ASSERT_EQUAL(1.0, ranking.order_of(call_with(0, 50)));
        CPPUNIT_ASSERT_EQUAL(70.0, ranking.order_of(call_with(0, 70)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, ranking.failures());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_ranking_test);

}  // namespace tallyfold::tests
