/// @file
/// Guards against requests that end each back end which runs them and are sent to further ones.

#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

namespace {

constexpr int back_end_count = 12;
constexpr int client_attempts = 6;
/// Back ends that may end under one request.
constexpr int max_ended = 3;

}  // namespace

class poison_request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(poison_request_test);
    CPPUNIT_TEST(repeatable_request_ends_three_back_ends_at_most);
    CPPUNIT_TEST(request_that_must_not_repeat_ends_three_back_ends_at_most);
    CPPUNIT_TEST(resumable_stream_ends_three_back_ends_at_most);
    CPPUNIT_TEST(stream_that_begins_anew_ends_three_back_ends_at_most);
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
            const auto caller = world.connect();
            caller->send(forwarder_world::request(route, "attempt-" + std::to_string(attempt)));
            CPPUNIT_ASSERT(world.run_until([&] {
                return !caller->received().empty() && world.callers.active_request_count() == 0;
            }));
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_request_test);

}  // namespace tallyfold::tests
