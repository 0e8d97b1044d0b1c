/// @file
/// What callers and back ends see when a shutdown reaches its cut-off with requests pending.

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class shutdown_cut_off_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shutdown_cut_off_test);
    CPPUNIT_TEST(cut_off_request_is_not_sent_to_another_backend);
    CPPUNIT_TEST_SUITE_END();

    /// Time in which a cut-off request would be sent on.
    static constexpr duration settling_time = std::chrono::milliseconds(300);

    void cut_off_request_is_not_sent_to_another_backend() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& first = world.add_backend(backend_behavior::silent);
        counting_backend& second = world.add_backend(backend_behavior::silent);
        const auto sends = [&] { return first.requests().size() + second.requests().size(); };
        const auto caller = world.connect();
        caller->send(forwarder_world::request("repeatable", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return sends() == 1; }));
        world.context.stopping = true;
        world.callers.stop_accepting();
        world.callers.abort_requests();
        world.run_for(settling_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.callers.active_request_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_cut_off_test);

}  // namespace tallyfold::tests
