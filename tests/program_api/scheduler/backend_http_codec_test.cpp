#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

#include "stand_ins/backend_protocol.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduler;
using namespace stand_ins;

class backend_http_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_http_codec_test);
    CPPUNIT_TEST(events_are_split_at_any_chunk_boundary);
    CPPUNIT_TEST(endless_event_overflows);
    CPPUNIT_TEST(errors_map_to_failure_kinds);
    CPPUNIT_TEST(arbitrary_bytes_do_not_crash_parsers);
    CPPUNIT_TEST_SUITE_END();

    static const attempt_key& key() {
        static const attempt_key made{"p1.2", 3, 4};
        return made;
    }

    void endless_event_overflows() {
        event_stream_splitter splitter;
        const std::string piece(1'000, 'x');
        for (std::size_t fed = 0; fed <= event_stream_splitter::max_event_bytes;
             fed += piece.size()) {
            CPPUNIT_ASSERT(!splitter.overflowed());
            CPPUNIT_ASSERT(splitter.add(piece).empty());
        }
        CPPUNIT_ASSERT(splitter.overflowed());
        CPPUNIT_ASSERT(splitter.add("\n\ndata: a\n\n").empty());
    }

    void events_are_split_at_any_chunk_boundary() {
        check_property("any split of the bytes gives the same events", [] {
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

    void errors_map_to_failure_kinds() {
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

    void arbitrary_bytes_do_not_crash_parsers() {
        check_property("no input crashes a parser", [] {
            const std::string bytes = *any_bytes();
            (void)parse_stream_event(key(), bytes);
            (void)parse_answer(poll_members{}, bytes);
            (void)parse_answer(poll_status{"e", 0}, bytes);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_http_codec_test);

}  // namespace tallyfold::tests
