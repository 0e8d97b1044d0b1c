/// @file
/// Acceptance of connections and requests around a shutdown, on loopback sockets.

#include <sys/resource.h>

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class caller_listener_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_listener_test);
    CPPUNIT_TEST(connection_accepted_during_the_stop_ends_the_accept_loop);
    CPPUNIT_TEST(accept_pauses_when_descriptors_run_out);
    CPPUNIT_TEST_SUITE_END();

    /// Far more handlers than either test needs.
    static constexpr int max_handlers = 2'000;

    /// @return number of handlers that were ready, at most max_handlers
    static int run_ready_handlers(forwarder_world& world) {
        int executed = 0;
        world.process.loop().restart();
        while (executed < max_handlers && world.process.loop().poll_one() > 0) {
            ++executed;
        }
        return executed;
    }

    void connection_accepted_during_the_stop_ends_the_accept_loop() {
        forwarder_world world;
        const auto first = world.connect();
        const auto second = world.connect();
        // Accepts the first connection. The second one is accepted at once, and its handler queued.
        world.process.loop().run_one();
        world.callers.stop_accepting();
        CPPUNIT_ASSERT(run_ready_handlers(world) < max_handlers);
    }

    void accept_pauses_when_descriptors_run_out() {
        forwarder_world world;
        world.apply_configuration();
        const auto caller = world.connect();
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        rlimit exhausted = limit;
        exhausted.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &exhausted);
        const int executed = run_ready_handlers(world);
        setrlimit(RLIMIT_NOFILE, &limit);
        CPPUNIT_ASSERT(executed < max_handlers);
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("HTTP/1.1 503"); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_listener_test);

}  // namespace tallyfold::tests
