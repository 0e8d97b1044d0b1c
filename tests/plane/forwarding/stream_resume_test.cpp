/// @file
/// Guards against streams with events of two software versions: within one answer, and when a
/// caller resumes a stream.

#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/streams/origin_table.hpp"
#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

using namespace forwarding;

namespace {

/// A store that keeps origins of streams in memory.
class origin_store {
  public:
    static constexpr turns::store_id id = 7;

    origin_store(asio::io_context& loop, const std::string& address) : server_(loop, address) {
        const std::string problem = server_.start([this](const messaging::channel_pointer& channel,
                                                         const messaging::peer_message& message) {
            if (const auto* record = std::get_if<streams::origin_record>(&message)) {
                table.record(*record, http::steady_now());
            } else if (const auto* query = std::get_if<streams::origin_query>(&message)) {
                channel->send(streams::origin_answer{
                    query->query, id, table.find(query->stream, http::steady_now())});
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem);
    }

    streams::origin_table table;

  private:
    messaging::peer_server server_;
};

}  // namespace

class stream_resume_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_resume_test);
    CPPUNIT_TEST(resumed_stream_reaches_only_the_version_that_began_it);
    CPPUNIT_TEST(stream_with_an_identifier_on_the_heap_is_looked_up);
    CPPUNIT_TEST(stream_of_unknown_origin_is_refused);
    CPPUNIT_TEST(stream_is_refused_while_stores_are_silent);
    CPPUNIT_TEST(stream_whose_version_has_left_is_refused);
    CPPUNIT_TEST(unnamed_stream_does_not_go_on_at_the_version_that_replaced_its_own);
    CPPUNIT_TEST(unnamed_stream_does_not_go_on_at_the_only_version_of_an_older_list);
    CPPUNIT_TEST(unnamed_stream_goes_on_at_its_own_version_beside_others);
    CPPUNIT_TEST(unnamed_streams_of_equal_content_are_told_apart_by_their_programs);
    CPPUNIT_TEST(unnamed_streams_of_equal_content_and_several_versions_are_refused);
    CPPUNIT_TEST(unnamed_stream_of_unknown_origin_is_refused);
    CPPUNIT_TEST(forwarder_with_an_older_list_resumes_streams_once_it_has_the_new_one);
    CPPUNIT_TEST(forwarder_cut_off_from_stores_refuses_streams_of_a_version_it_does_not_list);
    CPPUNIT_TEST(broken_stream_does_not_go_on_at_another_version);
    CPPUNIT_TEST(broken_stream_goes_on_at_another_back_end_of_its_version);
    CPPUNIT_TEST_SUITE_END();

    static std::string store_address() {
        return forwarder_world::own_address().to_string() + ":17181";
    }

    /// Sends a request on the resumable route. @return its answer so far, once it has `expected`
    static std::string answer_of(forwarder_world& world, const std::string& id,
                                 const std::string& headers, const std::string& expected) {
        const auto caller = world.connect();
        caller->send(forwarder_world::request("resumable", id, headers));
        CPPUNIT_ASSERT_MESSAGE(id, world.run_until([&] {
            return caller->received_text(expected) || caller->ended();
        }));
        return caller->received();
    }

    static bool has_text(const std::string& answer, const std::string& text) {
        return answer.find(text) != std::string::npos;
    }

    void resumed_stream_reaches_only_the_version_that_began_it() {
        forwarder_world world;
        origin_store store(world.process.loop(), store_address());
        world.apply_configuration();
        world.add_store(origin_store::id, store_address());
        counting_backend& first = world.add_backend(backend_behavior::starts_answer, "v1");
        counting_backend& second = world.add_backend(backend_behavior::starts_answer, "v2");
        store.table.record({"begun", {"service", "v2"}, 60'000}, http::steady_now());
        for (int resumed = 0; resumed < 20; ++resumed) {
            const std::string answer =
                answer_of(world, "resumed-" + std::to_string(resumed),
                          "Resumes: begun\r\nLast-Event-Id: 3\r\n", "200 OK");
            CPPUNIT_ASSERT(has_text(answer, "200 OK"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, second.requests().size());
    }

    /// Guards against a temporary that a coroutine frees twice, which short identifiers don't show.
    void stream_with_an_identifier_on_the_heap_is_looked_up() {
        forwarder_world world;
        origin_store store(world.process.loop(), store_address());
        world.apply_configuration();
        world.add_store(origin_store::id, store_address());
        world.add_backend(backend_behavior::starts_answer, "v1");
        const std::string begun(64, 'b');
        store.table.record({begun, {"service", "v1"}, 60'000}, http::steady_now());
        const std::string answer =
            answer_of(world, "resumed", "Resumes: " + begun + "\r\nLast-Event-Id: 3\r\n", "200 OK");
        CPPUNIT_ASSERT(has_text(answer, "200 OK"));
    }

    void stream_of_unknown_origin_is_refused() {
        forwarder_world world;
        origin_store store(world.process.loop(), store_address());
        world.apply_configuration();
        world.add_store(origin_store::id, store_address());
        counting_backend& backend = world.add_backend(backend_behavior::answers, "v1");
        const instant began = http::steady_now();
        CPPUNIT_ASSERT(has_text(answer_of(world, "a", "Resumes: begun\r\n", "503"), " 503 "));
        // All stores have answered, so nothing is waited for.
        CPPUNIT_ASSERT(http::steady_now() - began < std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(backend.requests().empty());
    }

    void stream_is_refused_while_stores_are_silent() {
        forwarder_world world;
        world.apply_configuration();
        world.add_unreachable_stores();
        counting_backend& backend = world.add_backend(backend_behavior::answers, "v1");
        const std::string answer = answer_of(world, "a", "Resumes: begun\r\n", "503");
        CPPUNIT_ASSERT(has_text(answer, " 503 ") && has_text(answer, "Retry-After"));
        CPPUNIT_ASSERT(backend.requests().empty());
    }

    void stream_whose_version_has_left_is_refused() {
        forwarder_world world;
        origin_store store(world.process.loop(), store_address());
        world.apply_configuration();
        world.add_store(origin_store::id, store_address());
        counting_backend& backend = world.add_backend(backend_behavior::answers, "v2");
        store.table.record({"begun", {"service", "v1"}, 60'000}, http::steady_now());
        CPPUNIT_ASSERT(has_text(answer_of(world, "a", "Resumes: begun\r\n", "503"), " 503 "));
        CPPUNIT_ASSERT(backend.requests().empty());
    }

    /// A forwarder, and a store that knows the origins of streams.
    struct resume_world {
        forwarder_world forwarder;
        origin_store store;

        resume_world() : store(forwarder.process.loop(), store_address()) {
            forwarder.apply_configuration();
            forwarder.add_store(origin_store::id, store_address());
        }
        counting_backend& add_backend(const std::string& version) {
            return forwarder.add_backend(backend_behavior::starts_answer, version);
        }
        /// Begins a stream, which the store then knows.
        void begin(const std::string& id, const std::string& headers = {}) {
            CPPUNIT_ASSERT(has_text(answer_of(forwarder, id, headers, "data: ok"), "data: ok"));
        }
        /// Resumes a stream without naming it. @return true when it goes on
        bool resume(const std::string& id, const std::string& headers = {}) {
            const std::string answer =
                answer_of(forwarder, id, headers + "Last-Event-Id: 1\r\n", "HTTP/1.1 ");
            return has_text(answer, "200 OK");
        }
    };

    void unnamed_stream_does_not_go_on_at_the_version_that_replaced_its_own() {
        resume_world world;
        world.add_backend("v1");
        world.begin("begun");
        world.forwarder.remove_backends();
        counting_backend& successor = world.add_backend("v2");
        CPPUNIT_ASSERT(!world.resume("resumed"));
        CPPUNIT_ASSERT(successor.requests().empty());
    }

    void unnamed_stream_does_not_go_on_at_the_only_version_of_an_older_list() {
        resume_world world;
        world.add_backend("v2");
        world.begin("begun");
        // The list that another forwarder polled before v2 came.
        world.forwarder.remove_backends();
        counting_backend& predecessor = world.add_backend("v1");
        CPPUNIT_ASSERT(!world.resume("resumed"));
        CPPUNIT_ASSERT(predecessor.requests().empty());
    }

    void unnamed_stream_goes_on_at_its_own_version_beside_others() {
        resume_world world;
        counting_backend& own = world.add_backend("v1");
        world.begin("begun");
        counting_backend& other = world.add_backend("v2");
        for (const char* id : {"a", "b", "c", "d"}) {
            CPPUNIT_ASSERT(world.resume(id));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, own.requests().size());
        CPPUNIT_ASSERT(other.requests().empty());
    }

    void unnamed_streams_of_equal_content_are_told_apart_by_their_programs() {
        resume_world world;
        counting_backend& first = world.add_backend("v1");
        world.begin("begun-1", "X-Program-Id: p1\r\n");
        world.forwarder.remove_backends();
        counting_backend& second = world.add_backend("v2");
        world.begin("begun-2", "X-Program-Id: p2\r\n");
        CPPUNIT_ASSERT(!world.resume("resumed-1", "X-Program-Id: p1\r\n"));
        CPPUNIT_ASSERT(world.resume("resumed-2", "X-Program-Id: p2\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.requests().size());
    }

    void unnamed_streams_of_equal_content_and_several_versions_are_refused() {
        resume_world world;
        world.add_backend("v1");
        world.begin("begun-1");
        world.forwarder.remove_backends();
        counting_backend& second = world.add_backend("v2");
        world.begin("begun-2");
        CPPUNIT_ASSERT(!world.resume("resumed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests().size());
    }

    void unnamed_stream_of_unknown_origin_is_refused() {
        resume_world world;
        counting_backend& backend = world.add_backend("v1");
        const instant began = http::steady_now();
        CPPUNIT_ASSERT(!world.resume("resumed"));
        // All stores have answered, so nothing is waited for.
        CPPUNIT_ASSERT(http::steady_now() - began < std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(backend.requests().empty());
    }

    /// Guards against a forwarder that was cut off or stopped while back ends of another version
    /// joined, and that gets the streams which began there through other forwarders.
    void forwarder_with_an_older_list_resumes_streams_once_it_has_the_new_one() {
        resume_world world;
        counting_backend& older = world.add_backend("v1");
        world.store.table.record({"begun", {"service", "v2"}, 60'000}, http::steady_now());
        const std::string named = "Resumes: begun\r\n";
        for (int attempt = 0; attempt < 5; ++attempt) {
            const std::string id = std::to_string(attempt);
            CPPUNIT_ASSERT(!world.resume("named-" + id, named));
            CPPUNIT_ASSERT(!world.resume("unnamed-" + id));
        }
        CPPUNIT_ASSERT(older.requests().empty());
        counting_backend& newer = world.add_backend("v2");
        for (int attempt = 0; attempt < 5; ++attempt) {
            CPPUNIT_ASSERT(world.resume("later-" + std::to_string(attempt), named));
        }
        CPPUNIT_ASSERT(older.requests().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, newer.requests().size());
    }

    void forwarder_cut_off_from_stores_refuses_streams_of_a_version_it_does_not_list() {
        forwarder_world world;
        world.apply_configuration();
        world.add_unreachable_stores();
        counting_backend& older = world.add_backend(backend_behavior::answers, "v1");
        for (const char* fields :
             {"Resumes: begun\r\nLast-Event-Id: 1\r\n", "Last-Event-Id: 1\r\n"}) {
            const std::string answer = answer_of(world, "resumed", fields, "HTTP/1.1 ");
            CPPUNIT_ASSERT_MESSAGE(answer, has_text(answer, " 503 "));
        }
        CPPUNIT_ASSERT(older.requests().empty());
    }

    /// Streams from a back end that dies, then from one of `version`. @return requests that the
    /// second one got
    static std::size_t requests_after_death(const std::string& version, std::string& answer) {
        forwarder_world world;
        origin_store store(world.process.loop(), store_address());
        world.apply_configuration();
        world.add_store(origin_store::id, store_address());
        counting_backend& dying = world.add_backend(backend_behavior::dies_in_stream, "v1");
        const auto caller = world.connect();
        caller->send(forwarder_world::request("resumable", "begun"));
        CPPUNIT_ASSERT(world.run_until([&] { return !dying.requests().empty(); }));
        counting_backend& other = world.add_backend(backend_behavior::starts_answer, version);
        world.run_until([&] { return caller->ended() || !other.requests().empty(); });
        answer = caller->received();
        const std::vector<streams::stream_origin> expected{{"service", "v1"}};
        CPPUNIT_ASSERT(store.table.find("begun", http::steady_now()) == expected);
        return other.requests().size();
    }

    void broken_stream_does_not_go_on_at_another_version() {
        std::string answer;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_after_death("v2", answer));
        CPPUNIT_ASSERT(has_text(answer, "data: x"));
        // Without the last chunk, the answer does not look complete.
        CPPUNIT_ASSERT(!has_text(answer, "\r\n0\r\n"));
    }

    void broken_stream_goes_on_at_another_back_end_of_its_version() {
        std::string answer;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_after_death("v1", answer));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_resume_test);

}  // namespace tallyfold::tests
