#include "tallyfold/plane/decisions/silence_detector.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class silence_detector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(silence_detector_test);
    CPPUNIT_TEST(short_first_byte_times_use_the_minimum_limit);
    CPPUNIT_TEST(the_limit_follows_the_mean_first_byte_time);
    CPPUNIT_TEST(the_oldest_call_without_a_byte_decides);
    CPPUNIT_TEST(ended_calls_are_not_counted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant at(int milliseconds) {
        return instant(std::chrono::milliseconds(milliseconds));
    }

    /// A detector with enough answers of the given time to the first byte for the average to
    /// converge.
    static silence_detector with_mean_first_byte_time(int milliseconds) {
        silence_detector calls;
        for (int count = 0; count < 200; ++count) {
            calls.call_started("usual", at(0));
            calls.first_byte_received("usual", at(0), at(milliseconds));
        }
        return calls;
    }

    void short_first_byte_times_use_the_minimum_limit() {
        CPPUNIT_ASSERT(with_mean_first_byte_time(50).limit() == std::chrono::milliseconds(700));
    }

    void the_limit_follows_the_mean_first_byte_time() {
        silence_detector calls = with_mean_first_byte_time(400);
        CPPUNIT_ASSERT(calls.limit() > std::chrono::milliseconds(1'900));
        CPPUNIT_ASSERT(calls.limit() <= std::chrono::milliseconds(2'000));
        calls.call_started("b", at(0));
        CPPUNIT_ASSERT(calls.overdue_backends(at(1'900)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.overdue_backends(at(2'001)).size());
    }

    void the_oldest_call_without_a_byte_decides() {
        silence_detector calls;
        calls.call_started("b", at(0));
        calls.call_started("b", at(600));
        CPPUNIT_ASSERT(calls.overdue_backends(at(700)).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), calls.overdue_backends(at(701)).at(0));
        // The oldest call has received a byte, the other still waits.
        calls.first_byte_received("b", at(0), at(701));
        CPPUNIT_ASSERT(calls.overdue_backends(at(701)).empty());
    }

    void ended_calls_are_not_counted() {
        silence_detector calls;
        calls.call_started("b", at(0));
        calls.call_started("b", at(0));
        calls.call_ended("b", at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.overdue_backends(at(5'000)).size());
        calls.call_ended("b", at(0));
        CPPUNIT_ASSERT(calls.overdue_backends(at(5'000)).empty());
        // Ending a call twice has no effect.
        calls.call_ended("b", at(0));
        CPPUNIT_ASSERT(calls.overdue_backends(at(5'000)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silence_detector_test);

}  // namespace tallyfold::tests
