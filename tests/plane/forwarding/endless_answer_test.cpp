/// @file
/// Guards against back ends that send bytes without end, in a head or a body: the request has to
/// end within its time, the connection has to be closed, and no memory may grow with the bytes.

#include <malloc.h>

#include "tests/plane/forwarding/endless_server.hpp"
#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

namespace {

constexpr const char* head_start =
    "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: ID\r\n";
constexpr const char* other_head =
    "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: other\r\n";
constexpr duration deadline = std::chrono::milliseconds(1'500);
/// For answers whose bytes reach the caller, which keeps them.
constexpr duration short_deadline = std::chrono::milliseconds(300);
/// A caller that waits until its deadline gets its answer within this time after it.
constexpr duration deadline_slack = std::chrono::milliseconds(300);

/// Bytes that this process has allocated.
std::size_t allocated_bytes() {
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

}  // namespace

class endless_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endless_answer_test);
    CPPUNIT_TEST(endless_head_fails_at_its_size_limit);
    CPPUNIT_TEST(endless_head_that_comes_slowly_fails_in_time);
    CPPUNIT_TEST(endless_interim_answers_fail);
    CPPUNIT_TEST(endless_answer_to_another_request_does_not_hold_the_request);
    CPPUNIT_TEST(endless_chunk_extension_fails_at_its_size_limit);
    CPPUNIT_TEST(endless_trailer_fails_at_its_size_limit);
    CPPUNIT_TEST(endless_body_ends_at_the_deadline);
    CPPUNIT_TEST(endless_body_at_line_speed_ends_at_the_deadline);
    CPPUNIT_TEST(endless_body_that_comes_slowly_ends_at_the_deadline);
    CPPUNIT_TEST(endless_rejection_does_not_hold_the_request);
    CPPUNIT_TEST(endless_event_of_a_resumable_stream_fails_at_its_size_limit);
    CPPUNIT_TEST(endless_event_of_a_stream_ends_at_the_deadline);
    CPPUNIT_TEST(endless_events_of_many_streams_stay_within_the_clients_memory);
    CPPUNIT_TEST_SUITE_END();

    struct outcome {
        std::string text;
        duration elapsed{};
        std::size_t sent_bytes = 0;
        /// Most memory allocated beyond that at the start, in bytes.
        std::size_t most_allocated = 0;
        int requests = 0;
    };

    /// Sends one request while the only back end answers without end.
    static outcome relay(const std::string& route, const std::string& beginning,
                         const std::string& repeated, duration pause = duration::zero(),
                         duration limit = deadline) {
        forwarder_world world;
        world.apply_configuration();
        endless_server server(world.process.loop(), beginning, repeated, pause);
        world.list_backend(server.address(), "v1");
        const auto caller = world.connect();
        const std::size_t allocated = allocated_bytes();
        const instant sent = http::steady_now();
        const std::string field = "X-Deadline-Ms: " + std::to_string(to_milliseconds(limit));
        caller->send(forwarder_world::request(route, "r1", field + "\r\n"));
        outcome seen;
        std::size_t received = 0;
        // Only the bytes that the caller has received are left out of the forwarder's memory.
        CPPUNIT_ASSERT(world.run_until([&] {
            received = caller->received().size();
            const std::size_t now_allocated = allocated_bytes();
            const std::size_t kept = allocated + 2 * received;
            seen.most_allocated =
                std::max(seen.most_allocated, now_allocated > kept ? now_allocated - kept : 0);
            return caller->ended() || (received > 0 && world.callers.active_request_count() == 0);
        }));
        seen.elapsed = http::steady_now() - sent;
        seen.text = caller->received();
        seen.requests = server.requests();
        // Bytes at line speed need no more than the time of a read to be refused.
        CPPUNIT_ASSERT_MESSAGE("the connection stays open",
                               world.run_until([&] { return server.open_connections() == 0; },
                                               std::chrono::seconds(3)));
        seen.sent_bytes = server.sent_bytes();
        return seen;
    }

    static constexpr std::size_t max_memory = 24U << 20U;

    static void check_bounds(const outcome& seen) {
        CPPUNIT_ASSERT(seen.requests > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(to_milliseconds(seen.elapsed)) + " ms",
                               seen.elapsed < deadline + deadline_slack);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(seen.most_allocated) + " bytes",
                               seen.most_allocated < max_memory);
    }

    /// The caller got an answer of the forwarder's own, well before its deadline.
    static void check_early_failure(const outcome& seen, const std::string& status) {
        check_bounds(seen);
        CPPUNIT_ASSERT_MESSAGE(seen.text.substr(0, 200),
                               seen.text.starts_with("HTTP/1.1 " + status));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(to_milliseconds(seen.elapsed)) + " ms",
                               seen.elapsed < deadline / 2);
    }

    void endless_head_fails_at_its_size_limit() {
        const outcome seen =
            relay("once", head_start, "X-Filler: " + std::string(1000, 'x') + "\r\n");
        check_early_failure(seen, "502");
        const outcome one_line =
            relay("once", std::string(head_start) + "X-Filler: ", std::string(1000, 'x'));
        check_early_failure(one_line, "502");
    }

    void endless_head_that_comes_slowly_fails_in_time() {
        const outcome seen = relay("once", std::string(head_start) + "X-Filler: ", "x",
                                   std::chrono::milliseconds(200));
        check_bounds(seen);
        CPPUNIT_ASSERT_MESSAGE(seen.text.substr(0, 200), seen.text.starts_with("HTTP/1.1 504"));
    }

    void endless_interim_answers_fail() {
        const outcome seen = relay("once", "", "HTTP/1.1 102 Processing\r\n\r\n");
        check_early_failure(seen, "502");
    }

    void endless_answer_to_another_request_does_not_hold_the_request() {
        const outcome closing =
            relay("once", std::string(other_head) + "\r\n", std::string(16'000, 'x'));
        check_early_failure(closing, "502");
        const outcome chunked =
            relay("once", std::string(other_head) + "Transfer-Encoding: chunked\r\n\r\n",
                  "3e8\r\n" + std::string(1000, 'x') + "\r\n");
        check_early_failure(chunked, "502");
    }

    void endless_chunk_extension_fails_at_its_size_limit() {
        const outcome seen =
            relay("once", std::string(head_start) + "Transfer-Encoding: chunked\r\n\r\n5;x=",
                  std::string(1000, 'x'));
        check_early_failure(seen, "502");
    }

    void endless_trailer_fails_at_its_size_limit() {
        const outcome seen = relay(
            "once", std::string(head_start) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
            "X-Filler: " + std::string(1000, 'x') + "\r\n");
        check_bounds(seen);
        CPPUNIT_ASSERT(!seen.text.ends_with("\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(seen.elapsed < deadline / 2);
    }

    void endless_body_ends_at_the_deadline() {
        const outcome seen = relay("once", std::string(head_start) + "\r\n", std::string(1000, 'x'),
                                   std::chrono::milliseconds(1));
        check_bounds(seen);
        // The caller must not take it for a whole answer.
        CPPUNIT_ASSERT(!seen.text.ends_with("\r\n0\r\n\r\n"));
    }

    // Guards against a deadline that never ends a read while bytes keep coming.
    void endless_body_at_line_speed_ends_at_the_deadline() {
        const outcome seen = relay("once", std::string(head_start) + "\r\n",
                                   std::string(16'000, 'x'), duration::zero(), short_deadline);
        check_bounds(seen);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(to_milliseconds(seen.elapsed)) + " ms",
                               seen.elapsed < short_deadline + deadline_slack);
        CPPUNIT_ASSERT(!seen.text.ends_with("\r\n0\r\n\r\n"));
    }

    void endless_body_that_comes_slowly_ends_at_the_deadline() {
        const outcome seen =
            relay("once", std::string(head_start) + "\r\n", "x", std::chrono::milliseconds(200));
        check_bounds(seen);
        CPPUNIT_ASSERT_MESSAGE(seen.text.substr(0, 200), seen.text.starts_with("HTTP/1.1 504"));
    }

    void endless_rejection_does_not_hold_the_request() {
        const outcome seen =
            relay("once", "HTTP/1.1 503 Full\r\nX-Not-Executed: full\r\nX-Request-Id: ID\r\n\r\n",
                  std::string(16'000, 'x'));
        check_bounds(seen);
        CPPUNIT_ASSERT_MESSAGE(seen.text.substr(0, 200), seen.text.starts_with("HTTP/1.1 503"));
    }

    void endless_event_of_a_resumable_stream_fails_at_its_size_limit() {
        const outcome seen =
            relay("resumable",
                  std::string(head_start) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
                  std::string(16'000, 'x'));
        check_bounds(seen);
        CPPUNIT_ASSERT(!seen.text.ends_with("\r\n0\r\n\r\n"));
        CPPUNIT_ASSERT(seen.text.find("xxxx") == std::string::npos);
    }

    void endless_event_of_a_stream_ends_at_the_deadline() {
        const outcome seen =
            relay("turn",
                  std::string(head_start) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
                  std::string(1000, 'x'), std::chrono::milliseconds(1));
        check_bounds(seen);
        CPPUNIT_ASSERT(!seen.text.ends_with("\r\n0\r\n\r\n"));
    }

    /// Most memory that many resumable streams take whose back end sends `repeated` without end,
    /// while another caller is served.
    static std::size_t most_memory_of_streams(const std::string& repeated) {
        constexpr int stream_count = 24;
        settings::node_settings settings = forwarder_settings();
        settings.memory_mb = small_machine_mb;
        forwarder_world world(settings);
        world.apply_configuration();
        endless_server server(
            world.process.loop(),
            std::string(head_start) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
            repeated);
        world.list_backend(server.address(), "v1");
        const std::size_t allocated = allocated_bytes();
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (int number = 0; number < stream_count; ++number) {
            callers.push_back(world.connect());
            callers.back()->send(forwarder_world::request("resumable", "r" + std::to_string(number),
                                                          "X-Deadline-Ms: 1500\r\n"));
        }
        std::size_t most = 0;
        CPPUNIT_ASSERT(world.run_until([&] {
            const std::size_t now_allocated = allocated_bytes();
            most = std::max(most, now_allocated > allocated ? now_allocated - allocated : 0);
            return std::all_of(callers.begin(), callers.end(),
                               [](const auto& each) { return !each->received().empty(); });
        }));
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 0; }));
        for (const auto& each : callers) {
            CPPUNIT_ASSERT_MESSAGE(each->received().substr(0, 200),
                                   each->received().starts_with("HTTP/1.1 50"));
        }
        callers.clear();
        CPPUNIT_ASSERT(world.run_until(
            [&] { return world.process.clients().budget().reserved_bytes() == 0; }));
        return most;
    }

    static constexpr int small_machine_mb = 24;

    void endless_events_of_many_streams_stay_within_the_clients_memory() {
        for (const std::string& repeated : {std::string(16'000, 'x'), std::string(": comment\n")}) {
            const std::size_t most = most_memory_of_streams(repeated);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " bytes",
                                   most < std::size_t{small_machine_mb} << 20U);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answer_test);

}  // namespace tallyfold::tests
