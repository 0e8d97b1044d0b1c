#include "tallyfold/plane/turns/copy_timeout.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class copy_timeout_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(copy_timeout_test);
    CPPUNIT_TEST(the_timeout_adapts_to_slow_sources);
    CPPUNIT_TEST(an_unresponsive_source_times_out_after_the_minimum);
    CPPUNIT_TEST(any_page_time_below_the_maximum_succeeds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int check_interval = 100;
    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    /// Milliseconds until a page arrives from sources that need `page_time` for it; 0 when none
    /// arrives.
    static int time_to_page(copy_timeout& timeout, int page_time) {
        int asked = 0;
        timeout.page_requested(at(0));
        for (int now = 0; now < 60'000; now += check_interval) {
            if (now - asked >= page_time) {
                timeout.page_received(at(now));
                return now;
            }
            if (timeout.expired(at(now))) {
                // The next source is as slow as this one.
                timeout.page_requested(at(now));
                asked = now;
            }
        }
        return 0;
    }

    void the_timeout_adapts_to_slow_sources() {
        copy_timeout timeout;
        // With a fixed timeout of 300 ms, no page that takes 500 ms would arrive.
        CPPUNIT_ASSERT_EQUAL(800, time_to_page(timeout, 500));
        CPPUNIT_ASSERT_EQUAL(500, time_to_page(timeout, 500));
    }

    void an_unresponsive_source_times_out_after_the_minimum() {
        copy_timeout timeout;
        timeout.page_requested(at(1'000));
        CPPUNIT_ASSERT(!timeout.expired(at(1'299)));
        CPPUNIT_ASSERT(timeout.expired(at(1'300)));
    }

    void any_page_time_below_the_maximum_succeeds() {
        check_property("pages that take less than 2.3 s always arrive", [] {
            copy_timeout timeout;
            for (int page = 0; page < 5; ++page) {
                const int page_time = *rc::gen::inRange(1, 2'300);
                RC_ASSERT(time_to_page(timeout, page_time) > 0);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(copy_timeout_test);

}  // namespace tallyfold::tests
