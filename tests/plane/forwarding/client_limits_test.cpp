/// @file
/// Guards the memory of a forwarder against callers whose requests don't arrive whole, and ordinary
/// callers against those.

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class client_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(client_limits_test);
    CPPUNIT_TEST(body_without_room_is_refused_at_once);
    CPPUNIT_TEST(stalled_body_gives_way_to_a_later_request);
    CPPUNIT_TEST(largest_body_alone_is_served);
    CPPUNIT_TEST(small_request_is_served_beside_half_bodies);
    CPPUNIT_TEST(refusal_of_a_large_body_reaches_the_caller);
    CPPUNIT_TEST(nothing_stays_reserved);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t large_body_bytes = 300'000;
    /// More than all callers have together.
    static constexpr std::size_t largest_body_bytes = 1U << 20U;

    /// Half of one MB is for callers.
    static settings::node_settings small_machine() {
        settings::node_settings settings = forwarder_settings();
        settings.memory_mb = 1;
        return settings;
    }
    static std::string head_of_body(const std::string& id, std::size_t bytes) {
        return forwarder_world::request("repeatable", id,
                                        "Content-Length: " + std::to_string(bytes) + "\r\n");
    }
    /// A body that lacks its last byte.
    static std::unique_ptr<raw_caller> send_half_body(forwarder_world& world,
                                                      const std::string& id) {
        auto caller = world.connect();
        caller->send(head_of_body(id, large_body_bytes) + std::string(1'000, 'b'));
        const auto reserved = world.process.clients().budget().reserved_bytes();
        CPPUNIT_ASSERT(world.run_until([&] {
            return caller->ended() || caller->received_text("HTTP/1.1") ||
                   world.process.clients().budget().reserved_bytes() > reserved;
        }));
        return caller;
    }

    void body_without_room_is_refused_at_once() {
        forwarder_world world(small_machine());
        world.apply_configuration();
        const auto first = send_half_body(world, "r1");
        const auto second = send_half_body(world, "r2");
        CPPUNIT_ASSERT(world.run_until([&] { return second->received_text("\r\n\r\n"); }));
        CPPUNIT_ASSERT(second->received_text("HTTP/1.1 503"));
        CPPUNIT_ASSERT(second->received_text("Retry-After: 0."));
        CPPUNIT_ASSERT(!first->received_text("HTTP/1.1"));
    }

    void stalled_body_gives_way_to_a_later_request() {
        forwarder_world world(small_machine());
        world.apply_configuration();
        world.add_backend(backend_behavior::answers);
        const auto stalled = send_half_body(world, "r1");
        const instant until = http::steady_now() + resources::client_budget::stall_time;
        CPPUNIT_ASSERT(world.run_until([&] { return http::steady_now() > until; }));
        const auto later = world.connect();
        later->send(head_of_body("r2", large_body_bytes) + std::string(large_body_bytes, 'b'));
        CPPUNIT_ASSERT(world.run_until([&] { return later->received_text("HTTP/1.1 200"); }));
        CPPUNIT_ASSERT(world.run_until([&] { return stalled->received_text("HTTP/1.1 503"); }));
    }

    void largest_body_alone_is_served() {
        forwarder_world world(small_machine());
        world.apply_configuration();
        world.add_backend(backend_behavior::answers);
        const auto caller = world.connect();
        caller->send(head_of_body("r1", largest_body_bytes));
        const std::string piece(1U << 14U, 'b');
        for (std::size_t sent = 0; sent < largest_body_bytes; sent += piece.size()) {
            caller->send(piece);
            world.run_for(std::chrono::milliseconds(2));
        }
        CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("HTTP/1.1 200"); }));
    }

    void small_request_is_served_beside_half_bodies() {
        forwarder_world world(small_machine());
        world.apply_configuration();
        world.add_backend(backend_behavior::answers);
        std::vector<std::unique_ptr<raw_caller>> crowd;
        for (int count = 0; count < 20; ++count) {
            crowd.push_back(send_half_body(world, "c" + std::to_string(count)));
        }
        const auto caller = world.connect();
        caller->send(forwarder_world::request("repeatable", "r1"));
        CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("HTTP/1.1 200"); }));
    }

    void refusal_of_a_large_body_reaches_the_caller() {
        forwarder_world world;
        world.apply_configuration();
        const auto caller = world.connect();
        // The caller goes on sending before it reads the answer.
        caller->send(head_of_body("r1", 100 * largest_body_bytes) + std::string(100'000, 'b'));
        CPPUNIT_ASSERT(world.run_until([&] { return caller->ended(); }));
        CPPUNIT_ASSERT(caller->received_text("HTTP/1.1 413"));
        CPPUNIT_ASSERT(!caller->was_reset());
    }

    void nothing_stays_reserved() {
        forwarder_world world(small_machine());
        world.apply_configuration();
        {
            std::vector<std::unique_ptr<raw_caller>> crowd;
            for (int count = 0; count < 20; ++count) {
                crowd.push_back(send_half_body(world, "c" + std::to_string(count)));
            }
        }
        const resources::client_budget& budget = world.process.clients().budget();
        CPPUNIT_ASSERT(world.run_until([&] {
            return budget.reserved_bytes() == 0 &&
                   budget.connections(resources::client_group::callers) == 0;
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_limits_test);

}  // namespace tallyfold::tests
