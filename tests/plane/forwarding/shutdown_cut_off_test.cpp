/// @file
/// What callers and back ends see when a shutdown reaches its cut-off with requests pending.

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class shutdown_cut_off_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shutdown_cut_off_test);
    CPPUNIT_TEST(cut_off_request_is_not_sent_to_another_backend);
    CPPUNIT_TEST(request_in_back_off_is_rejected);
    CPPUNIT_TEST(request_that_waits_for_stores_is_rejected);
    CPPUNIT_TEST(request_that_waits_for_readiness_is_rejected);
    CPPUNIT_TEST(request_read_after_cut_off_is_rejected);
    CPPUNIT_TEST(request_that_may_have_run_is_promised_nothing);
    CPPUNIT_TEST(started_answer_is_reset);
    CPPUNIT_TEST(request_read_late_is_sent_only_if_it_ends_before_the_cut_off);
    CPPUNIT_TEST(request_read_while_requests_are_accepted_is_sent);
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
        world.cut_off();
        world.run_for(settling_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.callers.active_request_count());
    }

    /// Checks that the caller gets a whole 503 that it may retry, and no back end the request.
    static void assert_rejected(forwarder_world& world, raw_caller& caller,
                                const std::function<std::size_t()>& sends) {
        const std::size_t sends_before = sends();
        world.cut_off();
        world.run_for(settling_time);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), caller.received().substr(0, 12));
        CPPUNIT_ASSERT(caller.received_text("Retry-After: "));
        CPPUNIT_ASSERT(caller.received_text("Connection: close"));
        CPPUNIT_ASSERT(caller.ended());
        CPPUNIT_ASSERT(!caller.was_reset());
        CPPUNIT_ASSERT_EQUAL(sends_before, sends());
    }

    void request_in_back_off_is_rejected() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::rejects);
        const auto sends = [&] { return backend.requests().size(); };
        const auto caller = world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return sends() == 1; }));
        // From here on the request finds no back end, and pauses again and again.
        world.remove_backends();
        world.run_for(std::chrono::milliseconds(50));
        assert_rejected(world, *caller, sends);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.callers.active_request_count());
    }

    void request_that_waits_for_stores_is_rejected() {
        forwarder_world world;
        world.apply_configuration();
        world.add_unreachable_stores();
        counting_backend& backend = world.add_backend(backend_behavior::answers);
        const auto caller = world.connect();
        caller->send(forwarder_world::request("turn", "r1", "X-Program-Id: p\r\n"));
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 1; }));
        world.run_for(std::chrono::milliseconds(20));
        assert_rejected(world, *caller, [&] { return backend.requests().size(); });
    }

    void request_that_waits_for_readiness_is_rejected() {
        settings::node_settings settings = forwarder_settings();
        settings.disabled = {};
        forwarder_world world(settings);
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::answers);
        const auto caller = world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        // Without a store table the request waits for a moment before it is sent.
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 1; }));
        assert_rejected(world, *caller, [&] { return backend.requests().size(); });
    }

    void request_read_after_cut_off_is_rejected() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::answers);
        const auto caller = world.connect();
        const std::string request = forwarder_world::request("once", "r1");
        caller->send(request.substr(0, request.size() / 2));
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 1; }));
        world.cut_off();
        caller->send(request.substr(request.size() / 2));
        assert_rejected(world, *caller, [&] { return backend.requests().size(); });
    }

    void request_that_may_have_run_is_promised_nothing() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::silent);
        const auto caller = world.connect();
        caller->send(forwarder_world::request("once", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return backend.requests().size() == 1; }));
        world.cut_off();
        world.run_for(settling_time);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"), caller->received().substr(0, 12));
        CPPUNIT_ASSERT(!caller->received_text("Retry-After"));
        CPPUNIT_ASSERT(caller->ended());
        CPPUNIT_ASSERT(!caller->was_reset());
    }

    void started_answer_is_reset() {
        forwarder_world world;
        world.apply_configuration();
        world.add_backend(backend_behavior::starts_answer);
        const auto caller = world.connect();
        caller->send(forwarder_world::request("repeatable", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("ok\r\n"); }));
        world.cut_off();
        world.run_for(settling_time);
        CPPUNIT_ASSERT(caller->was_reset());
        CPPUNIT_ASSERT(!caller->received_text("\r\n0\r\n"));
    }

    static constexpr duration grace = std::chrono::seconds(8);
    static constexpr duration longest_request = std::chrono::seconds(4);

    /// Sends a request with this deadline on a kept connection. @return the status of its answer
    static std::string status_of(forwarder_world& world, const std::string& route,
                                 const std::string& deadline_ms) {
        const auto caller = world.connect();
        caller->send(
            forwarder_world::request(route, "r1", "X-Deadline-Ms: " + deadline_ms + "\r\n"));
        CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("\r\n\r\n"); }));
        if (caller->received_text(" 503 ")) {
            CPPUNIT_ASSERT(caller->received_text("Retry-After: "));
        }
        CPPUNIT_ASSERT(caller->received_text("Connection: close"));
        return caller->received().substr(0, 12);
    }

    void request_read_late_is_sent_only_if_it_ends_before_the_cut_off() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& backend = world.add_backend(backend_behavior::answers);
        const shutdown_sequence stop(http::steady_now() - std::chrono::seconds(5), grace,
                                     longest_request);
        world.context.stopping = true;
        world.context.shutdown = &stop;
        for (const char* route : {"once", "repeatable", "resumable"}) {
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), status_of(world, route, "4000"));
        }
        CPPUNIT_ASSERT(backend.requests().empty());
        for (const char* route : {"once", "repeatable", "resumable"}) {
            CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), status_of(world, route, "500"));
        }
    }

    void request_read_while_requests_are_accepted_is_sent() {
        forwarder_world world;
        world.apply_configuration();
        world.add_backend(backend_behavior::answers);
        const shutdown_sequence stop(http::steady_now(), grace, longest_request);
        world.context.stopping = true;
        world.context.shutdown = &stop;
        // Its deadline is behind the cut-off, but most requests end well before their deadlines.
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), status_of(world, "once", "9000"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_cut_off_test);

}  // namespace tallyfold::tests
