#include "tallyfold/plane/discovery/poller_election.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using discovery::poller_election;

class poller_election_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(poller_election_test);
    CPPUNIT_TEST(the_leader_polls);
    CPPUNIT_TEST(nodes_without_list_poll_in_rank_order);
    CPPUNIT_TEST(successors_take_over_in_rank_order);
    CPPUNIT_TEST(long_list_may_be_older_at_successors);
    CPPUNIT_TEST(started_forwarder_waits_before_polling);
    CPPUNIT_TEST(forwarders_together_keep_to_their_rate);
    CPPUNIT_TEST_SUITE_END();

    static duration after(int milliseconds) { return std::chrono::milliseconds(milliseconds); }

    static instant at(int milliseconds) { return instant(after(milliseconds)); }

    void started_forwarder_waits_before_polling() {
        discovery::forwarder_polling polling;
        polling.started = at(100'000);
        CPPUNIT_ASSERT(!polling.should_poll(at(100'050)));
        CPPUNIT_ASSERT(polling.should_poll(at(102'450)));
        // After an update, the forwarder polls only when the list has become too old.
        polling.seen = at(101'000);
        CPPUNIT_ASSERT(!polling.should_poll(at(103'300)));
        CPPUNIT_ASSERT(polling.should_poll(at(103'500)));
    }

    /// Counts the requests of all forwarders of a fleet without any directory node.
    static std::size_t requests_of_fleet(std::size_t nodes, std::size_t pages, int seconds) {
        std::size_t requests = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            discovery::forwarder_polling polling;
            polling.nodes = nodes;
            polling.pages = pages;
            polling.phase = static_cast<double>(node) / static_cast<double>(nodes);
            for (int now = 0; now < seconds * 1'000; now += 300) {
                if (polling.should_poll(at(now))) {
                    polling.last_poll = at(now);
                    requests += pages;
                }
            }
        }
        return requests;
    }

    void forwarders_together_keep_to_their_rate() {
        constexpr int seconds = 60;
        const auto allowed =
            static_cast<std::size_t>(discovery::forwarder_requests_per_second * seconds);
        for (const std::size_t nodes : {1U, 74U, 864U, 2'000U}) {
            for (const std::size_t pages : {1U, 50U, 100U}) {
                CPPUNIT_ASSERT(requests_of_fleet(nodes, pages, seconds) <= allowed + pages);
            }
        }
        CPPUNIT_ASSERT(requests_of_fleet(74, 1, seconds) > allowed / 2);
    }

    void the_leader_polls() {
        CPPUNIT_ASSERT((poller_election{true, true, after(0), 0}.should_poll()));
    }

    void nodes_without_list_poll_in_rank_order() {
        CPPUNIT_ASSERT((poller_election{false, false, after(0), 0}.should_poll()));
        CPPUNIT_ASSERT(!(poller_election{false, false, after(1'100), 4}.should_poll()));
        CPPUNIT_ASSERT((poller_election{false, false, after(1'200), 4}.should_poll()));
    }

    void long_list_may_be_older_at_successors() {
        CPPUNIT_ASSERT(!(poller_election{false, true, after(1'900), 0, 50}.should_poll()));
        CPPUNIT_ASSERT((poller_election{false, true, after(2'100), 0, 50}.should_poll()));
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
