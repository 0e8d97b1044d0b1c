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
    CPPUNIT_TEST(kept_connection_serves_requests_during_the_stop);
    CPPUNIT_TEST(kept_connection_serves_the_request_that_has_arrived);
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

    /// Begins an answer that announces an open connection, and then the stop.
    static void begin_kept_answer(forwarder_world& world, raw_caller& caller) {
        caller.send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return caller.received_text("ok\r\n"); }));
        CPPUNIT_ASSERT(!caller.received_text("Connection: close"));
        world.context.stopping = true;
    }

    void kept_connection_serves_requests_during_the_stop() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::starts_answer);
        const auto caller = world.connect();
        begin_kept_answer(world, *caller);
        backend.answer_all();
        CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("\r\n0\r\n\r\n"); }));
        caller->send(forwarder_world::request("once", "r2"));
        CPPUNIT_ASSERT(world.run_until([&] { return caller->ended(); }));
        CPPUNIT_ASSERT(caller->received_text("X-Request-Id: r2\r\n"));
        CPPUNIT_ASSERT(caller->received_text("Connection: close"));
    }

    void kept_connection_serves_the_request_that_has_arrived() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::starts_answer);
        const auto caller = world.connect();
        begin_kept_answer(world, *caller);
        caller->send(forwarder_world::request("once", "r2"));
        world.callers.stop_accepting();
        backend.answer_all();
        CPPUNIT_ASSERT(world.run_until([&] { return caller->ended(); }));
        CPPUNIT_ASSERT(caller->received_text("X-Request-Id: r2\r\n"));
        CPPUNIT_ASSERT(caller->received_text("Connection: close"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_listener_test);

}  // namespace tallyfold::tests
