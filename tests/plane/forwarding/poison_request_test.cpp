/// @file
/// Guards against requests that end each back end which runs them and are sent to further ones.

#include "tests/plane/forwarding/crash_directory.hpp"
#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

namespace {

constexpr int back_end_count = 12;
constexpr int client_attempts = 6;
/// Back ends that may end under one request.
constexpr int max_ended = 3;
/// Header of a request that gives up soon.
constexpr const char* short_deadline = "X-Deadline-Ms: 300\r\n";

}  // namespace

class poison_request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(poison_request_test);
    CPPUNIT_TEST(repeatable_request_ends_three_back_ends_at_most);
    CPPUNIT_TEST(request_that_must_not_repeat_ends_three_back_ends_at_most);
    CPPUNIT_TEST(resumable_stream_ends_three_back_ends_at_most);
    CPPUNIT_TEST(stream_that_begins_anew_ends_three_back_ends_at_most);
    CPPUNIT_TEST(refusal_comes_at_once_and_is_no_failure);
    CPPUNIT_TEST(other_requests_are_served_on);
    CPPUNIT_TEST(resets_by_sick_back_ends_are_no_ends);
    CPPUNIT_TEST(answered_request_begins_anew);
    CPPUNIT_TEST(back_ends_that_end_together_count_once);
    CPPUNIT_TEST(popular_request_is_served_although_back_ends_end_under_it);
    CPPUNIT_TEST(popular_request_ends_three_back_ends_of_one_attempt_at_most);
    CPPUNIT_TEST(calls_that_break_at_once_wait_for_one_probe);
    CPPUNIT_TEST(end_that_shows_later_counts);
    CPPUNIT_TEST(forwarders_share_what_they_saw);
    CPPUNIT_TEST(forwarder_that_joins_later_is_told);
    CPPUNIT_TEST(forwarder_without_a_directory_goes_by_itself);
    CPPUNIT_TEST(silent_directory_delays_no_longer_than_its_limit);
    CPPUNIT_TEST(answer_at_one_forwarder_releases_at_the_other);
    CPPUNIT_TEST_SUITE_END();

    /// Sends one request in several client attempts, each with an identifier of its own, while all
    /// back ends end under it. @return the number of back ends that ended
    static int ended_under(const std::string& route, backend_behavior behavior) {
        forwarder_world world;
        world.apply_configuration();
        std::vector<const counting_backend*> backends;
        for (int number = 0; number < back_end_count; ++number) {
            backends.push_back(&world.add_backend(behavior));
        }
        for (int attempt = 0; attempt < client_attempts; ++attempt) {
            send(world, route, "attempt-" + std::to_string(attempt));
        }
        int ended = 0;
        for (const counting_backend* backend : backends) {
            ended += backend->requests().empty() ? 0 : 1;
        }
        return ended;
    }

    void repeatable_request_ends_three_back_ends_at_most() {
        const int ended = ended_under("repeatable", backend_behavior::ends);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ended), ended <= max_ended);
    }

    void request_that_must_not_repeat_ends_three_back_ends_at_most() {
        const int ended = ended_under("once", backend_behavior::ends);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ended), ended <= max_ended);
    }

    void resumable_stream_ends_three_back_ends_at_most() {
        const int ended = ended_under("resumable", backend_behavior::dies_in_stream);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ended), ended <= max_ended);
    }

    void stream_that_begins_anew_ends_three_back_ends_at_most() {
        const int ended = ended_under("turn", backend_behavior::dies_in_stream);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ended), ended <= max_ended);
    }

    /// Sends a request and waits for its end. @return what the caller received
    static std::string send(forwarder_world& world, const std::string& route,
                            const std::string& id = "r", const std::string& headers = {}) {
        const auto caller = world.connect();
        caller->send(forwarder_world::request(route, id, headers));
        CPPUNIT_ASSERT(world.run_until([&] {
            return !caller->received().empty() && world.callers.active_request_count() == 0;
        }));
        return caller->received();
    }

    static bool is_status(const std::string& answer, const std::string& status) {
        return answer.starts_with("HTTP/1.1 " + status);
    }

    static std::size_t requests_at(const std::vector<counting_backend*>& backends) {
        std::size_t count = 0;
        for (const counting_backend* backend : backends) {
            count += backend->requests().size();
        }
        return count;
    }

    static std::vector<counting_backend*> add_backends(forwarder_world& world, int count,
                                                       backend_behavior behavior) {
        std::vector<counting_backend*> added;
        for (int number = 0; number < count; ++number) {
            added.push_back(&world.add_backend(behavior));
        }
        return added;
    }

    void refusal_comes_at_once_and_is_no_failure() {
        forwarder_world world;
        world.apply_configuration();
        const auto backends = add_backends(world, 6, backend_behavior::ends);
        CPPUNIT_ASSERT(is_status(send(world, "repeatable", "r1"), "502"));
        const std::size_t before = requests_at(backends);
        const instant sent = http::steady_now();
        const std::string answer = send(world, "repeatable", "r2");
        CPPUNIT_ASSERT(is_status(answer, "503"));
        CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(http::steady_now() - sent < std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(before, requests_at(backends));
    }

    void other_requests_are_served_on() {
        forwarder_world world;
        world.apply_configuration();
        const auto backends = add_backends(world, 6, backend_behavior::ends);
        send(world, "repeatable");
        for (counting_backend* backend : backends) {
            backend->behave(backend_behavior::answers);
        }
        CPPUNIT_ASSERT(is_status(send(world, "once"), "200"));
        CPPUNIT_ASSERT(is_status(send(world, "repeatable"), "503"));
    }

    void resets_by_sick_back_ends_are_no_ends() {
        forwarder_world world;
        world.apply_configuration();
        const auto backends = add_backends(world, 4, backend_behavior::closes);
        for (int attempt = 0; attempt < client_attempts; ++attempt) {
            CPPUNIT_ASSERT(is_status(send(world, "repeatable"), "502"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3 * client_attempts}, requests_at(backends));
    }

    void answered_request_begins_anew() {
        forwarder_world world;
        world.apply_configuration();
        for (int number = 0; number + 1 < max_ended; ++number) {
            send_until_read(world, world.add_backend(backend_behavior::ends));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.crashes.crashes().size());
        send_until_read(world, world.add_backend(backend_behavior::answers));
        CPPUNIT_ASSERT(world.crashes.crashes().empty());
    }

    /// Sends the request until this back end gets it; the others accept no connections.
    static void send_until_read(forwarder_world& world, const counting_backend& backend) {
        while (backend.requests().empty()) {
            send(world, "once", "r", short_deadline);
        }
    }

    void back_ends_that_end_together_count_once() {
        forwarder_world world;
        world.apply_configuration();
        const auto backends = add_backends(world, 6, backend_behavior::silent);
        std::vector<std::unique_ptr<raw_caller>> callers;
        const auto all_have_one = [&] {
            return std::all_of(backends.begin(), backends.end(),
                               [](const auto* each) { return !each->requests().empty(); });
        };
        while (!all_have_one()) {
            callers.push_back(world.connect());
            callers.back()->send(forwarder_world::request("once", "popular"));
            const std::size_t before = requests_at(backends);
            CPPUNIT_ASSERT(world.run_until([&] { return requests_at(backends) > before; }));
        }
        for (counting_backend* backend : backends) {
            backend->end();
        }
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 0; }));
        world.add_backend(backend_behavior::answers);
        CPPUNIT_ASSERT(world.run_until([&] { return is_status(send(world, "once"), "200"); }));
    }

    void popular_request_is_served_although_back_ends_end_under_it() {
        forwarder_world world;
        world.apply_configuration();
        counting_backend& sound = world.add_backend(backend_behavior::answers);
        send_until_read(world, sound);
        for (int number = 0; number < 2 * max_ended; ++number) {
            send_until_read(world, world.add_backend(backend_behavior::ends));
        }
        CPPUNIT_ASSERT(world.crashes.crashes().empty());
        CPPUNIT_ASSERT(world.run_until([&] { return is_status(send(world, "once"), "200"); }));
    }

    void popular_request_ends_three_back_ends_of_one_attempt_at_most() {
        forwarder_world world;
        world.apply_configuration();
        const auto backends = add_backends(world, back_end_count, backend_behavior::answers);
        CPPUNIT_ASSERT(is_status(send(world, "resumable"), "200"));
        for (counting_backend* backend : backends) {
            backend->behave(backend_behavior::dies_in_stream);
        }
        const std::size_t before = requests_at(backends);
        send(world, "resumable");
        CPPUNIT_ASSERT(requests_at(backends) <= before + max_ended);
    }

    void calls_that_break_at_once_wait_for_one_probe() {
        forwarder_world world;
        world.apply_configuration();
        constexpr std::size_t calls = 40;
        counting_backend& backend = world.add_backend(backend_behavior::silent);
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (std::size_t number = 0; number < calls; ++number) {
            callers.push_back(world.connect());
            callers.back()->send(forwarder_world::request("once/" + std::to_string(number), "r"));
        }
        CPPUNIT_ASSERT(world.run_until([&] { return backend.requests().size() == calls; }));
        const double connections = connections_opened(world);
        backend.end();
        CPPUNIT_ASSERT(world.run_until([&] { return world.callers.active_request_count() == 0; }));
        CPPUNIT_ASSERT_EQUAL(calls, world.crashes.crashes().size());
        CPPUNIT_ASSERT(connections_opened(world) - connections < calls / 2.0);
    }

    /// Number of connections to back ends that the forwarder has begun to open.
    static double connections_opened(forwarder_world& world) {
        for (const prometheus::MetricFamily& family : world.process.metrics().Collect()) {
            if (family.name == "tallyfold_forwarder_backend_connections_total") {
                return family.metric.front().counter.value;
            }
        }
        return 0;
    }

    void end_that_shows_later_counts() {
        forwarder_world world;
        world.apply_configuration();
        for (int number = 0; number < max_ended; ++number) {
            // The process goes on accepting connections for a moment.
            counting_backend& backend = world.add_backend(backend_behavior::closes);
            CPPUNIT_ASSERT(is_status(send(world, "once"), "502"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, backend.requests().size());
            backend.end();
            // Another request finds the address closed.
            send(world, "repeatable", "other", short_deadline);
        }
        counting_backend& further = world.add_backend(backend_behavior::answers);
        CPPUNIT_ASSERT(is_status(send(world, "once"), "503"));
        CPPUNIT_ASSERT(further.requests().empty());
    }

    static std::size_t ended_count(const std::vector<counting_backend*>& backends) {
        std::size_t ended = 0;
        for (const counting_backend* backend : backends) {
            ended += backend->requests().empty() ? 0 : 1;
        }
        return ended;
    }

    static std::vector<counting_backend*> add_backends(forwarder_pair& pair) {
        std::vector<counting_backend*> added;
        for (int number = 0; number < back_end_count; ++number) {
            added.push_back(&pair.add_backend(backend_behavior::ends));
        }
        return added;
    }

    void forwarders_share_what_they_saw() {
        forwarder_pair pair;
        const auto backends = add_backends(pair);
        pair.start_directory();
        pair.join_both();
        for (int attempt = 0; attempt < client_attempts; ++attempt) {
            forwarder_world& world = attempt % 2 == 0 ? pair.first : pair.second;
            pair.send(world, "once", "attempt-" + std::to_string(attempt));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{max_ended}, ended_count(backends));
    }

    void forwarder_that_joins_later_is_told() {
        forwarder_pair pair;
        const auto backends = add_backends(pair);
        pair.start_directory();
        pair.join_first();
        pair.send(pair.first, "repeatable", "r1");
        pair.join_second();
        CPPUNIT_ASSERT(is_status(pair.send(pair.second, "repeatable", "r2"), "503"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{max_ended}, ended_count(backends));
    }

    void forwarder_without_a_directory_goes_by_itself() {
        forwarder_pair pair;
        const auto backends = add_backends(pair);
        for (int attempt = 0; attempt < client_attempts; ++attempt) {
            pair.send(pair.first, "once", "r");
            pair.send(pair.second, "once", "r");
        }
        // Each bounds its own sends; nothing joins them.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2 * max_ended}, ended_count(backends));
    }

    void silent_directory_delays_no_longer_than_its_limit() {
        forwarder_pair pair;
        add_backends(pair);
        pair.start_directory();
        pair.directory->answers = false;
        pair.join_first();
        const instant sent = http::steady_now();
        pair.send(pair.first, "once", "r");
        CPPUNIT_ASSERT_EQUAL(1, pair.directory->reports);
        const duration taken = http::steady_now() - sent;
        CPPUNIT_ASSERT(taken >= poison::crash_client::report_timeout);
        CPPUNIT_ASSERT(taken < std::chrono::seconds(1));
    }

    void answer_at_one_forwarder_releases_at_the_other() {
        forwarder_pair pair;
        const auto backends = add_backends(pair);
        pair.start_directory();
        pair.join_both();
        pair.send(pair.first, "once", "r1");
        pair.send(pair.first, "once", "r2");
        CPPUNIT_ASSERT(pair.run_until([&] { return !pair.second.crashes.crashes().empty(); }));
        for (counting_backend* backend : backends) {
            backend->behave(backend_behavior::answers);
        }
        while (!is_status(pair.send(pair.second, "once", "r3"), "200")) {
        }
        CPPUNIT_ASSERT(pair.run_until([&] { return pair.first.crashes.crashes().empty(); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_request_test);

}  // namespace tallyfold::tests
