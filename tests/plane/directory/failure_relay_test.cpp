#include "tallyfold/plane/directory/failure_relay.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using std::chrono::milliseconds;

class failure_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_relay_test);
    CPPUNIT_TEST(failure_is_relayed_with_its_age_until_it_expires);
    CPPUNIT_TEST(reports_of_one_failure_count_once);
    CPPUNIT_TEST(number_of_relayed_failures_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant now{std::chrono::seconds(9)};

    void failure_is_relayed_with_its_age_until_it_expires() {
        failure_relay relay;
        CPPUNIT_ASSERT(relay.recent(now).empty());
        relay.add("b", now);
        const auto failures = relay.recent(now + milliseconds(120));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), failures.front().backend);
        CPPUNIT_ASSERT_EQUAL(120U, failures.front().age_ms);
        CPPUNIT_ASSERT(relay.recent(now + failure_relay::relay_duration + milliseconds(1)).empty());
    }

    void reports_of_one_failure_count_once() {
        failure_relay relay;
        relay.add("b", now);
        relay.add("b", now + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(200U, relay.recent(now + milliseconds(200)).front().age_ms);
        // Outside the window, the report belongs to another failure.
        relay.add("b", now + milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(0U, relay.recent(now + milliseconds(400)).front().age_ms);
    }

    void number_of_relayed_failures_is_bounded() {
        failure_relay relay;
        for (int number = 0; number < 1'000; ++number) {
            relay.add("b" + std::to_string(number), now);
        }
        CPPUNIT_ASSERT_EQUAL(failure_relay::max_relayed, relay.recent(now).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_relay_test);

}  // namespace tallyfold::tests
