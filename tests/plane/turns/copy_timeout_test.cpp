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

    /// Milliseconds until a source that needs `page_time` has given a page; 0 when none ever comes.
    static int time_to_page(copy_timeout& timeout, int page_time) {
        int asked = 0;
        timeout.page_requested(at(0));
        for (int now = 0; now < 60'000; now += check_interval) {
            if (now - asked >= page_time) {
                timeout.page_received(at(now));
                return now;
            }
            if (timeout.expired(at(now))) {
                // The next source is as loaded as this one.
                timeout.page_requested(at(now));
                asked = now;
            }
        }
        return 0;
    }

    void the_timeout_adapts_to_slow_sources() {
        copy_timeout timeout;
        // 500 ms a page: with a timeout of 300 ms no page would ever come.
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
        check_property("no load that a source can bear keeps a copy from its pages", [] {
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
