#include "tallyfold/plane/http/body_completeness.hpp"

#include "tallyfold/plane/http/message_parser.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace http;

class body_completeness_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(body_completeness_test);
    CPPUNIT_TEST(position_is_the_same_however_the_stream_is_split);
    CPPUNIT_TEST(stream_cut_inside_an_event_is_never_whole);
    CPPUNIT_TEST(only_an_announced_end_is_certain);
    CPPUNIT_TEST(stream_is_told_by_its_content_type);
    CPPUNIT_TEST_SUITE_END();

    void position_is_the_same_however_the_stream_is_split() {
        using enum event_position;
        const std::pair<std::string, event_position> streams[] = {
            {"", before_first_event},
            {"\xef\xbb\xbf", before_first_event},
            {": comment\n\n", before_first_event},
            {": comm", inside_event},
            {"\xef\xbb\xbfid: 1\ndata: a\n\n", after_event},
            {"id: 1\ndata: a\n\n", after_event},
            {"id: 1\r\ndata: a\r\n\r\n", after_event},
            {"id: 1\r\ndata: a\r\n\r", inside_event},
            {"id: 1\ndata: a\n", inside_event},
            {"id: 1\ndata: a", inside_event},
            {"data: a\n\nid: 2\n", inside_event},
            {"data: a\n\nretry: 5", inside_event},
            {"data: a\n\n: comment\n", after_event},
            {"data: a\n\n\n", after_event},
            {"data: a\n: comment\n", inside_event},
        };
        for (const auto& [text, expected] : streams) {
            for (std::size_t cut = 0; cut <= text.size(); ++cut) {
                event_position_tracker tracker;
                tracker.feed(std::string_view(text).substr(0, cut));
                tracker.feed(std::string_view(text).substr(cut));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, name_of(expected), name_of(tracker.position()));
            }
        }
    }

    /// An answer with the given framing that ends after some bytes of its body.
    /// @return nothing when the framing itself shows that it was cut
    static std::optional<body_completeness> completeness_after(body_framing framing,
                                                               const std::string& body,
                                                               std::size_t sent,
                                                               std::size_t read_size) {
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        if (framing == body_framing::length) {
            bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        } else if (framing == body_framing::chunked) {
            bytes += "Transfer-Encoding: chunked\r\n\r\n";
        } else {
            bytes += "\r\n";
        }
        if (framing == body_framing::chunked) {
            for (std::size_t at = 0; at < sent; ++at) {
                bytes += std::string("1\r\n") + body[at] + "\r\n";
            }
            bytes += sent == body.size() ? "0\r\n\r\n" : "";
        } else {
            bytes += body.substr(0, sent);
        }
        message_parser parser(message_kind::response, 1'000);
        event_position_tracker tracker;
        std::string received;
        for (std::size_t at = 0; at < bytes.size(); at += read_size) {
            RC_ASSERT(parser.feed(std::string_view(bytes).substr(at, read_size)).has_value());
            const std::string piece = parser.take_body();
            tracker.feed(piece);
            received += piece;
        }
        RC_ASSERT(received == body.substr(0, sent));
        if (!parser.finish()) {
            return std::nullopt;
        }
        return completeness_of(parser.head().framing, tracker.position());
    }

    void stream_cut_inside_an_event_is_never_whole() {
        check_property("a stream cut at any byte is whole only behind an event", [] {
            const std::string line_end = *rc::gen::element<std::string>("\n", "\r\n");
            std::string body;
            std::vector<std::size_t> ends;
            const int events = *rc::gen::inRange(1, 6);
            for (int number = 0; number < events; ++number) {
                body += "id: " + std::to_string(number) + line_end;
                body += *rc::gen::element<std::string>("", ": comment" + line_end);
                body +=
                    "data: " + *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z')) +
                    line_end + line_end;
                ends.push_back(body.size());
            }
            const auto framing = *rc::gen::element(body_framing::length, body_framing::chunked,
                                                   body_framing::until_close);
            const auto sent =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(body.size()) + 1));
            const auto read_size = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
            const auto found = completeness_after(framing, body, sent, read_size);
            const bool behind_event = std::find(ends.begin(), ends.end(), sent) != ends.end();
            if (framing != body_framing::until_close) {
                RC_ASSERT(found.has_value() == (sent == body.size()));
                RC_ASSERT(!found || *found == body_completeness::whole);
            } else {
                RC_ASSERT(found.has_value());
                RC_ASSERT(*found == (behind_event ? body_completeness::presumed_whole
                                                  : body_completeness::truncated));
            }
        });
    }

    void only_an_announced_end_is_certain() {
        using enum body_completeness;
        const std::optional<event_position> no_stream;
        CPPUNIT_ASSERT(completeness_of(body_framing::length, no_stream) == whole);
        CPPUNIT_ASSERT(completeness_of(body_framing::chunked, no_stream) == whole);
        CPPUNIT_ASSERT(completeness_of(body_framing::none, no_stream) == whole);
        CPPUNIT_ASSERT(completeness_of(body_framing::until_close, no_stream) == presumed_whole);
        const auto empty = event_position::before_first_event;
        CPPUNIT_ASSERT(completeness_of(body_framing::chunked, empty) == whole);
        CPPUNIT_ASSERT(completeness_of(body_framing::until_close, empty) == truncated);
        for (const auto framing :
             {body_framing::length, body_framing::chunked, body_framing::until_close}) {
            CPPUNIT_ASSERT(completeness_of(framing, event_position::inside_event) == truncated);
        }
    }

    void stream_is_told_by_its_content_type() {
        message_head head;
        head.status = 200;
        CPPUNIT_ASSERT(is_event_stream(head, true));
        CPPUNIT_ASSERT(!is_event_stream(head, false));
        head.headers.add("content-type", "Text/Event-Stream ; charset=utf-8");
        CPPUNIT_ASSERT(is_event_stream(head, false));
        message_head failed = head;
        failed.status = 500;
        CPPUNIT_ASSERT(!is_event_stream(failed, true));
        message_head json;
        json.status = 200;
        json.headers.add("Content-Type", "application/json");
        CPPUNIT_ASSERT(!is_event_stream(json, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(body_completeness_test);

}  // namespace tallyfold::tests
