/// @file
/// Guards against a record that forgets a possible run: of an earlier attempt, or by a statement
/// that concerns another one.

#include "tallyfold/plane/decisions/execution_record.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using forwarding::execution_record;

class execution_record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(execution_record_test);
    CPPUNIT_TEST(request_that_was_not_sent_has_not_run);
    CPPUNIT_TEST(statement_withdraws_the_latest_send_only);
    CPPUNIT_TEST(possible_runs_are_never_forgotten);
    CPPUNIT_TEST_SUITE_END();

    void request_that_was_not_sent_has_not_run() {
        execution_record record;
        CPPUNIT_ASSERT(!record.may_have_run());
        record.withdraw_send();
        CPPUNIT_ASSERT(!record.may_have_run());
    }

    void statement_withdraws_the_latest_send_only() {
        execution_record record;
        record.begin_send();
        record.withdraw_send();
        CPPUNIT_ASSERT(!record.may_have_run());
        record.begin_send();
        record.begin_send();
        record.withdraw_send();
        record.withdraw_send();
        CPPUNIT_ASSERT(record.may_have_run());
    }

    void possible_runs_are_never_forgotten() {
        check_property("a send without a statement leaves the request possibly run", [] {
            execution_record record;
            bool may_have_run = false;
            for (const bool stated : *rc::gen::arbitrary<std::vector<bool>>()) {
                record.begin_send();
                RC_ASSERT(record.may_have_run());
                if (stated) {
                    record.withdraw_send();
                } else {
                    may_have_run = true;
                }
                RC_ASSERT(record.may_have_run() == may_have_run);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(execution_record_test);

}  // namespace tallyfold::tests
