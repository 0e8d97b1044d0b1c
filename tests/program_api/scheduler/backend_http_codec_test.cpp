#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduler;

class backend_http_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_http_codec_test);
    CPPUNIT_TEST(orders_are_read_back);
    CPPUNIT_TEST(keys_are_read_back);
    CPPUNIT_TEST(events_are_split_wherever_bytes_are_cut);
    CPPUNIT_TEST(refusals_say_what_is_proved);
    CPPUNIT_TEST(any_bytes_are_parsed_or_refused);
    CPPUNIT_TEST_SUITE_END();

    static const attempt_key& key() {
        static const attempt_key made{"p1.2", 3, 4};
        return made;
    }

    static backend_order again(const backend_order& order) {
        const backend_http_request request = render_order(order);
        const auto parsed = parse_order(request.method, request.path, {}, request.body);
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : parsed.error().reason, parsed.has_value());
        return *parsed;
    }

    void orders_are_read_back() {
        start_stream start;
        start.key = key();
        start.fence = {5, 6};
        start.model = "m";
        start.prompt = std::make_shared<const std::vector<journal::message>>(
            std::vector<journal::message>{{"user", "caf\xc3\xa9 \"x\"", 7}});
        start.prefix = {"a", "b"};
        start.max_tokens = 8;
        start.priority = -2;
        start.not_after = 123456789;
        const auto read = std::get<start_stream>(again(start));
        CPPUNIT_ASSERT(read.key == start.key);
        CPPUNIT_ASSERT(*read.prompt == *start.prompt);
        CPPUNIT_ASSERT(read.prefix == start.prefix);
        CPPUNIT_ASSERT_EQUAL(start.not_after, read.not_after);
        CPPUNIT_ASSERT_EQUAL(start.fence.epoch, read.fence.epoch);
        run_request run;
        run.key = key();
        run.operation = "quote";
        run.argument = "{\"clip\":1}";
        run.repeatable = false;
        run.not_after = 9;
        const auto request = std::get<run_request>(again(run));
        CPPUNIT_ASSERT_EQUAL(run.argument, request.argument);
        CPPUNIT_ASSERT(!request.repeatable);
        CPPUNIT_ASSERT_EQUAL(run.not_after, request.not_after);
        CPPUNIT_ASSERT(render_order(run).fresh_connection);
    }

    void keys_are_read_back() {
        check_property("program/sequence/attempt",
                       [](std::uint32_t sequence, std::uint32_t attempt) {
                           const attempt_key made{"p.a.b", sequence, attempt};
                           RC_ASSERT(parse_attempt_key(made.text()) == made);
                       });
        for (const std::string text : {"", "/", "//", "a/1", "a/b/1", "a/1/-1", "/1/1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parse_attempt_key(text).has_value());
        }
    }

    void events_are_split_wherever_bytes_are_cut() {
        check_property("any cut gives the same events", [] {
            const std::string whole = render_stream_event(stream_pieces{key(), 0, {"a\n\nb"}}) +
                                      render_stream_event(stream_pieces{key(), 1, {"c"}}) +
                                      render_stream_event(stream_finished{key(), 1, 2, 0});
            const auto cut =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(whole.size())));
            event_stream_splitter splitter;
            auto events = splitter.add(std::string_view(whole).substr(0, cut));
            for (std::string& event : splitter.add(std::string_view(whole).substr(cut))) {
                events.push_back(std::move(event));
            }
            RC_ASSERT(events.size() == 3U);
            RC_ASSERT(parse_stream_event(key(), events[0]).has_value());
            RC_ASSERT(std::holds_alternative<stream_finished>(
                parse_stream_event(key(), events[2]).value()));
        });
    }

    static failure_kind kind_of(const std::optional<backend_report>& report) {
        return std::get<attempt_failed>(report.value()).kind;
    }

    void refusals_say_what_is_proved() {
        start_stream start;
        start.key = key();
        CPPUNIT_ASSERT(kind_of(report_refusal(start, 409)) == failure_kind::refused);
        CPPUNIT_ASSERT(kind_of(report_refusal(start, 503)) == failure_kind::leaving);
        CPPUNIT_ASSERT(kind_of(report_refusal(start, 500)) == failure_kind::failed);
        CPPUNIT_ASSERT(kind_of(report_no_answer(start, false)) == failure_kind::unreachable);
        CPPUNIT_ASSERT(kind_of(report_no_answer(start, true)) == failure_kind::broken);
        const resume_stream resume{"e", key(), 2};
        CPPUNIT_ASSERT(kind_of(report_refusal(resume, 404)) == failure_kind::unknown_stream);
    }

    void any_bytes_are_parsed_or_refused() {
        check_property("no input crashes a reader", [] {
            const std::string noise = *any_bytes();
            for (const std::string path : {"/v1/streams", "/v1/streams/resume", "/v1/requests",
                                           "/v1/cache/release", "/v1/nothing"}) {
                RC_ASSERT(!parse_order("POST", path, noise, noise).has_value());
            }
            (void)parse_stream_event(key(), noise);
            (void)parse_members(noise);
            (void)parse_answer(poll_status{"e", 0}, noise);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_http_codec_test);

}  // namespace tallyfold::tests
