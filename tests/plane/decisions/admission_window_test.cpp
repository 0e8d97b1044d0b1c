#include "tallyfold/plane/decisions/admission_window.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class admission_window_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_window_test);
    CPPUNIT_TEST(calls_are_not_limited_while_engines_keep_pace);
    CPPUNIT_TEST(slow_engines_limit_running_calls);
    CPPUNIT_TEST(the_window_grows_back_while_calls_wait);
    CPPUNIT_TEST(the_bound_is_removed_when_no_call_waits);
    CPPUNIT_TEST(rejections_between_adjustments_shrink_the_window_once);
    CPPUNIT_TEST(an_idle_window_always_has_capacity);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double max_slowdown = 2;

    static admission_window window_with(std::size_t running) {
        admission_window window(max_slowdown);
        for (std::size_t call = 0; call < running; ++call) {
            window.started();
        }
        return window;
    }

    void calls_are_not_limited_while_engines_keep_pace() {
        admission_window window = window_with(500);
        window.adjust(max_slowdown, 0);
        CPPUNIT_ASSERT(window.has_capacity());
    }

    void slow_engines_limit_running_calls() {
        admission_window window = window_with(20);
        window.adjust(2 * max_slowdown, 0);
        CPPUNIT_ASSERT(!window.has_capacity());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(16, window.size(), 0.01);
        for (int ended = 0; ended < 5; ++ended) {
            window.finished();
        }
        CPPUNIT_ASSERT(window.has_capacity());
    }

    void the_window_grows_back_while_calls_wait() {
        admission_window window = window_with(20);
        window.adjust(2 * max_slowdown, 0);
        const double before = window.size();
        window.adjust(1, 7);
        CPPUNIT_ASSERT(window.size() > before);
    }

    void the_bound_is_removed_when_no_call_waits() {
        admission_window window = window_with(20);
        window.adjust(2 * max_slowdown, 0);
        window.adjust(1, 0);
        CPPUNIT_ASSERT(window.has_capacity());
    }

    void rejections_between_adjustments_shrink_the_window_once() {
        admission_window window = window_with(20);
        for (int call = 0; call < 10; ++call) {
            window.rejected();
        }
        CPPUNIT_ASSERT(!window.has_capacity());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(14, window.size(), 0.01);
        window.adjust(1, 5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(14, window.size(), 0.01);
        window.adjust(1, 5);
        CPPUNIT_ASSERT(window.size() > 14);
    }

    void an_idle_window_always_has_capacity() {
        check_property("an idle window always has capacity for a call", [] {
            admission_window window(max_slowdown);
            const int steps = *rc::gen::inRange(1, 300);
            for (int step = 0; step < steps; ++step) {
                if (*rc::gen::arbitrary<bool>()) {
                    window.started();
                } else if (*rc::gen::arbitrary<bool>()) {
                    window.rejected();
                }
                window.adjust(*rc::gen::inRange(1, 1'000'000) / 10.0,
                              static_cast<std::size_t>(*rc::gen::inRange(0, 50)));
            }
            while (window.running() > 0) {
                window.finished();
            }
            RC_ASSERT(window.has_capacity());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_window_test);

}  // namespace tallyfold::tests
