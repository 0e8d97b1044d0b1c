/// @file
/// Guards against answers that were broken off and reach their callers framed as complete.

#include "tallyfold/plane/forwarding/answer_rendering.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tests/plane/forwarding/forwarder_world.hpp"
#include "tests/plane/forwarding/scripted_backend.hpp"

namespace tallyfold::tests {

using namespace forwarding;

namespace {

constexpr const char* last_chunk_text = "\r\n0\r\n\r\n";
constexpr const char* stream_fields = "Content-Type: text/event-stream\r\n";

std::string event(int number) {
    return "id: " + std::to_string(number) + "\ndata: x" + std::to_string(number) + "\n\n";
}

std::string chunked(const std::string& body) {
    return render_chunk(body) + last_chunk;
}

scripted_answer unframed(std::string body, connection_end end) {
    return {stream_fields, std::move(body), end};
}

scripted_answer chunked_stream(const std::string& body) {
    return {std::string(stream_fields) + "Transfer-Encoding: chunked\r\n", chunked(body),
            connection_end::kept_open};
}

/// A store that confirms every turn and keeps the settlements.
class settling_store {
  public:
    static constexpr turns::store_id id = 7;

    settling_store(asio::io_context& loop, const std::string& address) : server_(loop, address) {
        const std::string problem = server_.start([this](const messaging::channel_pointer& channel,
                                                         const messaging::peer_message& message) {
            if (const auto* begun = std::get_if<turns::begin_request>(&message)) {
                turns::begin_reply reply;
                reply.operation = begun->operation;
                reply.store = id;
                reply.durable = true;
                channel->send(reply);
            } else if (const auto* settled = std::get_if<turns::settle_request>(&message)) {
                settlements.push_back(settled->settlement);
                channel->send(turns::settle_reply{settled->operation, id, true, {}});
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem);
    }

    std::vector<turns::turn_settlement> settlements;

  private:
    messaging::peer_server server_;
};

}  // namespace

class truncated_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(truncated_answer_test);
    CPPUNIT_TEST(stream_that_ends_inside_an_event_is_not_whole);
    CPPUNIT_TEST(chunked_stream_that_ends_inside_an_event_is_not_whole);
    CPPUNIT_TEST(counted_stream_that_ends_inside_an_event_is_not_whole);
    CPPUNIT_TEST(stream_without_an_event_is_not_whole);
    CPPUNIT_TEST(reset_stream_is_not_whole);
    CPPUNIT_TEST(stream_that_ends_behind_an_event_is_whole);
    CPPUNIT_TEST(answer_of_another_type_is_no_stream);
    CPPUNIT_TEST(resumable_stream_goes_on_without_the_incomplete_event);
    CPPUNIT_TEST(resumable_stream_breaks_off_when_its_continuations_do);
    CPPUNIT_TEST(history_has_no_turn_that_broke_off);
    CPPUNIT_TEST(events_that_were_not_relayed_are_not_recorded);
    CPPUNIT_TEST(back_end_whose_answer_broke_off_counts_as_failed);
    CPPUNIT_TEST(plain_answer_that_ends_with_its_connection_is_whole);
    CPPUNIT_TEST(reset_plain_answer_runs_again);
    CPPUNIT_TEST(reset_plain_answer_that_must_not_repeat_fails);
    CPPUNIT_TEST(large_plain_answer_without_length_is_relayed);
    CPPUNIT_TEST_SUITE_END();

    /// What a caller received.
    struct outcome {
        std::string text;
        bool reset = false;
        bool whole = false;
        /// Last event named by each request at the back end.
        std::vector<std::string> resumed_after;
    };

    static outcome relay(const std::string& route, std::vector<scripted_answer> answers,
                         std::size_t back_ends = 1) {
        forwarder_world world;
        world.apply_configuration();
        scripted_backend backend(world.process.loop(), std::move(answers));
        for (std::size_t number = 0; number < back_ends; ++number) {
            world.list_backend(backend.address(), "v1");
        }
        return relay_through(world, backend, route);
    }

    static outcome relay_through(forwarder_world& world, const scripted_backend& backend,
                                 const std::string& route, const std::string& headers = {}) {
        const auto caller = world.connect();
        caller->send(forwarder_world::request(route, "r1", headers));
        CPPUNIT_ASSERT(world.run_until([&] {
            return caller->ended() ||
                   (caller->received().size() > 0 && world.callers.active_request_count() == 0);
        }));
        world.run_for(std::chrono::milliseconds(10));
        outcome seen;
        seen.text = caller->received();
        seen.reset = caller->was_reset();
        seen.whole = seen.text.ends_with(last_chunk_text) ||
                     seen.text.find("Content-Length") != std::string::npos;
        seen.resumed_after = backend.resumed_after();
        return seen;
    }

    static void assert_broken_off(const outcome& seen) {
        CPPUNIT_ASSERT_MESSAGE(seen.text, !seen.text.ends_with(last_chunk_text));
        CPPUNIT_ASSERT_MESSAGE(seen.text, seen.reset);
    }

    static std::size_t count(const std::string& text, const std::string& part) {
        std::size_t found = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + part.size())) {
            ++found;
        }
        return found;
    }

    void stream_that_ends_inside_an_event_is_not_whole() {
        const std::string second = event(2);
        for (std::size_t cut = 1; cut < second.size(); ++cut) {
            const std::string body = event(1) + second.substr(0, cut);
            assert_broken_off(relay("turn", {unframed(body, connection_end::closed)}));
        }
    }

    void chunked_stream_that_ends_inside_an_event_is_not_whole() {
        assert_broken_off(relay("turn", {chunked_stream(event(1) + "id: 2\ndata: x")}));
    }

    static scripted_answer counted_stream(const std::string& body) {
        const std::string fields =
            std::string(stream_fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return {fields, body, connection_end::kept_open};
    }

    void counted_stream_that_ends_inside_an_event_is_not_whole() {
        // Read at once, so that nothing was written before the end was seen.
        const outcome short_stream = relay("turn", {counted_stream(event(1) + "id: 2\nda")});
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"), short_stream.text.substr(0, 12));
        CPPUNIT_ASSERT(short_stream.text.find("data: x1") == std::string::npos);
        const std::string body = "data: " + std::string(100'000, 'x') + "\n\nid: 2\nda";
        const outcome long_stream = relay("turn", {counted_stream(body)});
        CPPUNIT_ASSERT(long_stream.reset);
        CPPUNIT_ASSERT(!long_stream.text.ends_with("id: 2\nda"));
    }

    void stream_without_an_event_is_not_whole() {
        const outcome seen = relay("turn", {unframed({}, connection_end::closed)});
        // Nothing was written, so the answer can still tell that the request failed.
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"), seen.text.substr(0, 12));
    }

    void reset_stream_is_not_whole() {
        assert_broken_off(relay("turn", {unframed(event(1), connection_end::reset)}));
    }

    void stream_that_ends_behind_an_event_is_whole() {
        for (const std::string& rest : {std::string{}, std::string("\n"), std::string(": end\n")}) {
            const std::string body = event(1) + event(2) + rest;
            const outcome seen = relay("turn", {unframed(body, connection_end::closed)});
            CPPUNIT_ASSERT_MESSAGE(seen.text, seen.whole);
            CPPUNIT_ASSERT(seen.text.find(event(2)) != std::string::npos);
        }
    }

    void answer_of_another_type_is_no_stream() {
        const scripted_answer answer{"Content-Type: application/json\r\n", "{\"a\":1}",
                                     connection_end::closed};
        CPPUNIT_ASSERT(relay("turn", {answer}).whole);
        CPPUNIT_ASSERT(relay("resumable", {answer}).whole);
    }

    void resumable_stream_goes_on_without_the_incomplete_event() {
        const std::string second = event(2);
        for (std::size_t cut = 0; cut < second.size(); ++cut) {
            const std::string body = event(1) + second.substr(0, cut);
            // Behind an event only a reset tells that the stream broke off.
            const connection_end end = cut == 0 ? connection_end::reset : connection_end::closed;
            const outcome seen =
                relay("resumable",
                      {unframed(body, end), unframed(event(2) + "id: 3", connection_end::closed),
                       unframed(event(3), connection_end::closed)});
            CPPUNIT_ASSERT_MESSAGE(seen.text, seen.whole);
            CPPUNIT_ASSERT(seen.resumed_after == std::vector<std::string>({"", "1", "2"}));
            for (int number = 1; number <= 3; ++number) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(seen.text, event(number)));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count(seen.text, "id: "));
        }
    }

    void resumable_stream_breaks_off_when_its_continuations_do() {
        const outcome seen =
            relay("resumable", {unframed(event(1) + "id: 2", connection_end::closed),
                                unframed("id: 2\nda", connection_end::closed)});
        assert_broken_off(seen);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(seen.text, "id: "));
    }

    static std::string store_address() {
        return forwarder_world::own_address().to_string() + ":17181";
    }

    /// Runs one turn of a program with a budget at a service with two back ends.
    /// @return its settlement
    static turns::turn_settlement settlement_after(const std::string& route,
                                                   std::vector<scripted_answer> answers) {
        forwarder_world world;
        settling_store store(world.process.loop(), store_address());
        world.apply_configuration();
        world.add_store(settling_store::id, store_address());
        scripted_backend backend(world.process.loop(), std::move(answers));
        world.list_backend(backend.address());
        world.list_backend(backend.address());
        relay_through(world, backend, route, "X-Program-Id: p\r\nX-Token-Budget: 100\r\n");
        CPPUNIT_ASSERT(world.run_until([&] { return !store.settlements.empty(); }));
        return store.settlements.front();
    }

    void history_has_no_turn_that_broke_off() {
        const turns::turn_settlement broken =
            settlement_after("turn", {unframed(event(1) + "id: 2\nda", connection_end::closed)});
        CPPUNIT_ASSERT(!broken.record.has_value());
        CPPUNIT_ASSERT_EQUAL(token_count{1}, broken.tokens);
        const turns::turn_settlement whole =
            settlement_after("turn", {unframed(event(1) + event(2), connection_end::closed)});
        CPPUNIT_ASSERT(whole.record.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("x1\nx2\n"), whole.record->output);
        CPPUNIT_ASSERT_EQUAL(token_count{2}, whole.tokens);
    }

    /// Guards against a program that is charged twice for events, of which it got none at first.
    void events_that_were_not_relayed_are_not_recorded() {
        const turns::turn_settlement settled = settlement_after(
            "resumable", {counted_stream(event(1) + "id: 2"), counted_stream(event(1) + event(2))});
        CPPUNIT_ASSERT_EQUAL(token_count{2}, settled.tokens);
    }

    void back_end_whose_answer_broke_off_counts_as_failed() {
        forwarder_world world;
        world.apply_configuration();
        scripted_backend breaking(world.process.loop(),
                                  {unframed(event(1) + "id: 2", connection_end::closed)});
        scripted_backend sound(world.process.loop(), {unframed(event(1), connection_end::closed)});
        world.list_backend(breaking.address());
        world.list_backend(sound.address());
        for (int sent = 0; sent < 40; ++sent) {
            relay_through(world, sound, "turn");
        }
        CPPUNIT_ASSERT(breaking.resumed_after().size() <= 10);
        CPPUNIT_ASSERT(sound.resumed_after().size() >= 30);
    }

    void plain_answer_that_ends_with_its_connection_is_whole() {
        const outcome seen = relay("once", {{"", "plain", connection_end::closed}});
        CPPUNIT_ASSERT(seen.whole);
        CPPUNIT_ASSERT(seen.text.find("plain") != std::string::npos);
    }

    void reset_plain_answer_runs_again() {
        const outcome seen =
            relay("repeatable",
                  {{"", "pla", connection_end::reset}, {"", "plain", connection_end::closed}}, 2);
        CPPUNIT_ASSERT_MESSAGE(seen.text, seen.whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(seen.text, "pla"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.resumed_after.size());
    }

    void reset_plain_answer_that_must_not_repeat_fails() {
        const outcome seen = relay("once", {{"", "pla", connection_end::reset}}, 2);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 502"), seen.text.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen.resumed_after.size());
    }

    void large_plain_answer_without_length_is_relayed() {
        const std::string large(200'000, 'x');
        const outcome whole = relay("once", {{"", large, connection_end::closed}});
        CPPUNIT_ASSERT(whole.text.ends_with(last_chunk_text));
        CPPUNIT_ASSERT_EQUAL(large.size(),
                             count(whole.text.substr(whole.text.find("\r\n\r\n")), "x"));
        assert_broken_off(relay("repeatable", {{"", large, connection_end::reset}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(truncated_answer_test);

}  // namespace tallyfold::tests
