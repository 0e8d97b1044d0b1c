#include "tallyfold/plane/turns/resend_backoff.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class resend_backoff_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resend_backoff_test);
    CPPUNIT_TEST(resend_intervals_double);
    CPPUNIT_TEST(a_reconnect_triggers_a_resend_at_once);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    void resend_intervals_double() {
        resend_backoff backoff;
        int sends = 0;
        for (int now = 1'000; now < 2'500; ++now) {
            sends += backoff.take_due(at(now)) ? 1 : 0;
        }
        // Sends at 0, 250 and 750 ms; a fixed interval would send six times.
        CPPUNIT_ASSERT_EQUAL(3, sends);
    }

    void a_reconnect_triggers_a_resend_at_once() {
        resend_backoff backoff;
        CPPUNIT_ASSERT(backoff.take_due(at(1'000)));
        CPPUNIT_ASSERT(!backoff.take_due(at(1'001)));
        backoff.resend_now();
        CPPUNIT_ASSERT(backoff.take_due(at(1'002)));
        CPPUNIT_ASSERT(!backoff.take_due(at(1'003)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resend_backoff_test);

}  // namespace tallyfold::tests
