#include "tallyfold/plane/http/event_boundary_filter.hpp"

#include <ctime>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace http;

class event_boundary_filter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_boundary_filter_test);
    CPPUNIT_TEST(withholds_incomplete_event);
    CPPUNIT_TEST(drops_repeated_events_after_resume);
    CPPUNIT_TEST(detects_missing_event_after_resume);
    CPPUNIT_TEST(forwards_events_without_identifiers);
    CPPUNIT_TEST(resumed_stream_equals_original);
    CPPUNIT_TEST(work_is_in_proportion_to_new_bytes);
    CPPUNIT_TEST(memory_of_a_long_event_is_returned);
    CPPUNIT_TEST_SUITE_END();

    static std::string event(int number) {
        return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
    }
    static std::string events(int first, int last) {
        std::string text;
        for (int number = first; number <= last; ++number) {
            text += event(number);
        }
        return text;
    }

    /// Guards against an event that is searched from its beginning whenever bytes arrive.
    void work_is_in_proportion_to_new_bytes() {
        constexpr std::size_t pieces = 40'000;
        constexpr std::clock_t most_processor_time = 2 * CLOCKS_PER_SEC;
        for (const std::string& piece :
             {std::string(100, 'x'), ": " + std::string(97, 'c') + "\n"}) {
            event_boundary_filter stream;
            const std::clock_t start = std::clock();
            for (std::size_t count = 0; count < pieces; ++count) {
                CPPUNIT_ASSERT(stream.feed(piece).empty());
            }
            const std::clock_t used = std::clock() - start;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used < most_processor_time);
            CPPUNIT_ASSERT(stream.in_order());
        }
    }

    void memory_of_a_long_event_is_returned() {
        event_boundary_filter stream;
        stream.feed("data: " + std::string(1U << 20U, 'x'));
        CPPUNIT_ASSERT(stream.held_bytes() > 1U << 20U);
        stream.feed("\n\ndata: next");
        CPPUNIT_ASSERT(stream.held_bytes() < 1'000);
        CPPUNIT_ASSERT_EQUAL(std::string("data: next\n\n"), stream.feed("\n\n"));
    }

    void withholds_incomplete_event() {
        event_boundary_filter stream;
        CPPUNIT_ASSERT_EQUAL(event(1), stream.feed(event(1) + "id: 2\ndata: te"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), stream.last_id());
        stream.begin_response();
        CPPUNIT_ASSERT_EQUAL(event(2), stream.feed(event(2)));
    }

    void drops_repeated_events_after_resume() {
        event_boundary_filter stream;
        stream.feed(events(1, 4));
        stream.begin_response();
        CPPUNIT_ASSERT_EQUAL(events(5, 6), stream.feed(events(3, 6)));
        CPPUNIT_ASSERT(stream.in_order());
    }

    void detects_missing_event_after_resume() {
        event_boundary_filter stream;
        stream.feed(events(1, 4));
        stream.begin_response();
        CPPUNIT_ASSERT_EQUAL(std::string{}, stream.feed(events(6, 7)));
        CPPUNIT_ASSERT(!stream.in_order());
    }

    void forwards_events_without_identifiers() {
        event_boundary_filter stream;
        const std::string text = "data: a\r\n\r\ndata: b\n\n";
        CPPUNIT_ASSERT_EQUAL(text, stream.feed(text));
    }

    void resumed_stream_equals_original() {
        check_property("a stream cut anywhere and continued has each event once, in order", [] {
            const int count = *rc::gen::inRange(3, 30);
            const std::string whole = events(1, count);
            event_boundary_filter stream;
            std::string forwarded;
            const auto cut =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(whole.size())));
            for (std::size_t at = 0; at < cut;) {
                const auto piece = static_cast<std::size_t>(*rc::gen::inRange(1, 40));
                forwarded +=
                    stream.feed(std::string_view(whole).substr(at, std::min(piece, cut - at)));
                at += piece;
            }
            stream.begin_response();
            const int last = stream.last_id().empty() ? 0 : std::stoi(stream.last_id());
            const int first = std::max(1, last + 1 - *rc::gen::inRange(0, 3));
            forwarded += stream.feed(events(first, count));
            RC_ASSERT(forwarded == whole);
            RC_ASSERT(stream.in_order());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_boundary_filter_test);

}  // namespace tallyfold::tests
