#include "tallyfold/plane/dispatch/slot_rates.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;
using namespace std::chrono_literals;

class slot_rates_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_rates_test);
    CPPUNIT_TEST(unknown_until_enough_slots_freed);
    CPPUNIT_TEST(capacity_counts_after_a_quiet_time);
    CPPUNIT_TEST(higher_priorities_are_subtracted);
    CPPUNIT_TEST(old_events_are_forgotten);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{100s};

    void unknown_until_enough_slots_freed() {
        slot_rates rates;
        rates.record_freed(start);
        CPPUNIT_ASSERT(rates.available_to({}, start) == 0);
        for (int count = 0; count < 9; ++count) {
            rates.record_freed(start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, rates.available_to({}, start), 1e-9);
    }

    void capacity_counts_after_a_quiet_time() {
        // Guards against refusals at the start of a burst, by the low rate of the time before.
        slot_rates rates;
        rates.set_capacity(200);
        for (int count = 0; count < 10; ++count) {
            rates.record_freed(start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, rates.available_to({}, start), 1e-9);
    }

    void higher_priorities_are_subtracted() {
        slot_rates rates;
        rates.set_capacity(100);
        for (int count = 0; count < 30; ++count) {
            rates.record_granted({0, 0}, start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, rates.available_to({0, 0}, start), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40, rates.available_to({0, 2}, start), 1e-9);
        // The tenant's priority is compared first, and the rest stays above zero.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, rates.available_to({-1, 9}, start), 1e-9);
        for (int count = 0; count < 30; ++count) {
            rates.record_granted({0, 0}, start);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, rates.available_to({0, 2}, start), 1e-9);
    }

    void old_events_are_forgotten() {
        slot_rates rates;
        rates.set_capacity(10);
        for (int count = 0; count < 50; ++count) {
            rates.record_freed(start);
            rates.record_granted({0, 0}, start);
        }
        const instant later = start + slot_rates::span + 1ms;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, rates.available_to({0, 2}, later), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_rates_test);

}  // namespace tallyfold::tests
