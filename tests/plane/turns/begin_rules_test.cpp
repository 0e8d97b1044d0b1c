#include "tallyfold/plane/turns/begin_rules.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class begin_rules_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(begin_rules_test);
    CPPUNIT_TEST(nothing_is_decided_before_the_reservation_is_durable);
    CPPUNIT_TEST(an_unknown_previous_turn_is_refused_before_the_budget_is_checked);
    CPPUNIT_TEST(a_turn_may_use_up_the_budget_but_not_exceed_it);
    CPPUNIT_TEST(an_admission_waits_for_the_history_and_a_refusal_does_not);
    CPPUNIT_TEST(a_turn_is_absent_only_when_no_group_can_hold_it);
    CPPUNIT_TEST_SUITE_END();

    static begin_inputs reserved_turn() {
        begin_inputs inputs;
        inputs.reserved = true;
        inputs.history_complete = true;
        inputs.max_tokens = 100;
        return inputs;
    }

    void nothing_is_decided_before_the_reservation_is_durable() {
        begin_inputs inputs = reserved_turn();
        inputs.reserved = false;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::pending);
        inputs.previous = previous_turn::not_held;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::pending);
        inputs.budget = 1;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::pending);
    }

    void an_unknown_previous_turn_is_refused_before_the_budget_is_checked() {
        begin_inputs inputs = reserved_turn();
        inputs.previous = previous_turn::not_held;
        inputs.budget = 1;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::unknown_previous);
        inputs.previous = previous_turn::held;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::over_budget);
    }

    void a_turn_may_use_up_the_budget_but_not_exceed_it() {
        begin_inputs inputs = reserved_turn();
        inputs.used_tokens = 150;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::admitted);
        inputs.budget = 250;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::admitted);
        inputs.budget = 249;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::over_budget);
    }

    void an_admission_waits_for_the_history_and_a_refusal_does_not() {
        begin_inputs inputs = reserved_turn();
        inputs.previous = previous_turn::held;
        inputs.history_complete = false;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::pending);
        inputs.budget = 99;
        CPPUNIT_ASSERT(decide_begin(inputs) == begin_outcome::over_budget);
    }

    void a_turn_is_absent_only_when_no_group_can_hold_it() {
        CPPUNIT_ASSERT(!is_known_absent({false, false, false}));
        CPPUNIT_ASSERT(is_known_absent({false, true, false}));
        CPPUNIT_ASSERT(is_known_absent({false, false, true}));
        // After a loss of disks the turn may have existed, whatever the other groups reply.
        CPPUNIT_ASSERT(!is_known_absent({true, true, false}));
        CPPUNIT_ASSERT(!is_known_absent({true, false, true}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(begin_rules_test);

}  // namespace tallyfold::tests
