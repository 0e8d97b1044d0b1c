#include "tallyfold/plane/directory/version_tracker.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

class version_tracker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(version_tracker_test);
    CPPUNIT_TEST(propagation_is_reported_once_all_nodes_have_it);
    CPPUNIT_TEST(silent_node_does_not_delay_propagation);
    CPPUNIT_TEST_SUITE_END();

    instant now_{std::chrono::seconds(1)};

    void propagation_is_reported_once_all_nodes_have_it() {
        version_tracker tracker;
        tracker.on_applied(3, now_);
        tracker.on_report("a", 3, now_);
        tracker.on_report("b", 2, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tracker.nodes_behind());
        CPPUNIT_ASSERT(!tracker.take_propagated(now_).has_value());
        now_ += std::chrono::milliseconds(700);
        tracker.on_report("b", 3, now_);
        const auto propagated = tracker.take_propagated(now_);
        CPPUNIT_ASSERT(propagated.has_value());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{3}, propagated->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, propagated->nodes);
        CPPUNIT_ASSERT(propagated->duration_since_applied == std::chrono::milliseconds(700));
        CPPUNIT_ASSERT(!tracker.take_propagated(now_).has_value());
    }

    void silent_node_does_not_delay_propagation() {
        version_tracker tracker;
        tracker.on_report("gone", 2, now_);
        tracker.on_applied(3, now_);
        now_ += std::chrono::seconds(4);
        tracker.on_report("a", 3, now_);
        const auto propagated = tracker.take_propagated(now_);
        CPPUNIT_ASSERT(propagated.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, propagated->nodes);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tracker.nodes_behind());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_tracker_test);

}  // namespace tallyfold::tests
