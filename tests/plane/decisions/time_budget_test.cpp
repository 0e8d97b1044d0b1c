#include "tallyfold/plane/decisions/time_budget.hpp"

#include <algorithm>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using std::chrono::milliseconds;
using std::chrono::seconds;

class time_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(time_budget_test);
    CPPUNIT_TEST(the_shorter_of_caller_and_route_timeout_sets_the_deadline);
    CPPUNIT_TEST(shares_are_of_the_time_left);
    CPPUNIT_TEST(any_wait_or_attempt_ends_by_the_deadline);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant received{seconds(1'000)};

    void the_shorter_of_caller_and_route_timeout_sets_the_deadline() {
        CPPUNIT_ASSERT(time_budget(received, seconds(2), seconds(9)).deadline() ==
                       received + seconds(2));
        CPPUNIT_ASSERT(time_budget(received, seconds(12), seconds(9)).deadline() ==
                       received + seconds(9));
        CPPUNIT_ASSERT(time_budget(received, std::nullopt, seconds(60)).deadline() ==
                       received + time_budget::default_caller_timeout);
    }

    void shares_are_of_the_time_left() {
        const time_budget budget(received, seconds(11), seconds(60));
        const instant now = received + seconds(1);
        CPPUNIT_ASSERT(budget.left(now) == seconds(10));
        CPPUNIT_ASSERT(budget.admission_wait(now) == seconds(3));
        CPPUNIT_ASSERT(budget.attempt_deadline(now, true) == now + seconds(4));
        CPPUNIT_ASSERT(budget.attempt_deadline(now, false) == budget.deadline());
        CPPUNIT_ASSERT(budget.connect_deadline(now) == now + time_budget::connect_limit);
        const instant late = budget.deadline() - milliseconds(10);
        CPPUNIT_ASSERT(budget.connect_deadline(late) == budget.deadline());
    }

    void any_wait_or_attempt_ends_by_the_deadline() {
        check_property("waits and attempts end by the deadline", [] {
            const duration caller_timeout = milliseconds(*rc::gen::inRange(1, 60'000));
            const duration route_timeout = milliseconds(*rc::gen::inRange(1, 60'000));
            const time_budget budget(received, caller_timeout, route_timeout);
            const duration whole = std::min(caller_timeout, route_timeout);
            const instant now = received + milliseconds(*rc::gen::inRange<std::int64_t>(
                                               0, to_milliseconds(whole) + 1));
            RC_ASSERT(budget.deadline() == received + whole);
            RC_ASSERT(budget.left(now) >= duration::zero());
            RC_ASSERT(now + budget.admission_wait(now) <= budget.deadline());
            RC_ASSERT(budget.connect_deadline(now) <= budget.deadline());
            const bool another_may_follow = *rc::gen::arbitrary<bool>();
            RC_ASSERT(budget.attempt_deadline(now, another_may_follow) <= budget.deadline());
            RC_ASSERT(budget.attempt_deadline(now, another_may_follow) >= now);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(time_budget_test);

}  // namespace tallyfold::tests
