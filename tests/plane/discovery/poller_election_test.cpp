#include "tallyfold/plane/discovery/poller_election.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using discovery::poller_election;

class poller_election_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(poller_election_test);
    CPPUNIT_TEST(the_leader_polls);
    CPPUNIT_TEST(node_without_list_polls);
    CPPUNIT_TEST(successors_take_over_in_rank_order);
    CPPUNIT_TEST(started_forwarder_waits_before_polling);
    CPPUNIT_TEST_SUITE_END();

    static duration after(int milliseconds) { return std::chrono::milliseconds(milliseconds); }

    static instant at(int milliseconds) { return instant(after(milliseconds)); }

    void started_forwarder_waits_before_polling() {
        const instant started = at(100'000);
        CPPUNIT_ASSERT(!discovery::should_forwarder_poll(instant{}, started, at(100'050)));
        CPPUNIT_ASSERT(discovery::should_forwarder_poll(instant{}, started, at(102'450)));
        // After an update, the forwarder polls only when the list has become too old.
        CPPUNIT_ASSERT(!discovery::should_forwarder_poll(at(101'000), started, at(103'300)));
        CPPUNIT_ASSERT(discovery::should_forwarder_poll(at(101'000), started, at(103'500)));
    }

    void the_leader_polls() {
        CPPUNIT_ASSERT((poller_election{true, true, after(0), 0}.should_poll()));
    }

    void node_without_list_polls() {
        CPPUNIT_ASSERT((poller_election{false, false, after(0), 4}.should_poll()));
    }

    void successors_take_over_in_rank_order() {
        CPPUNIT_ASSERT(!(poller_election{false, true, after(1'300), 0}.should_poll()));
        CPPUNIT_ASSERT((poller_election{false, true, after(1'600), 0}.should_poll()));
        CPPUNIT_ASSERT(!(poller_election{false, true, after(1'600), 1}.should_poll()));
        CPPUNIT_ASSERT((poller_election{false, true, after(1'700), 1}.should_poll()));
        CPPUNIT_ASSERT(!(poller_election{false, true, after(2'200), 5}.should_poll()));
        CPPUNIT_ASSERT((poller_election{false, true, after(2'300), 5}.should_poll()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poller_election_test);

}  // namespace tallyfold::tests
