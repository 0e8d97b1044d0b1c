#include "tallyfold/plane/decisions/stream_continuation.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using streams::lookup_state;
using streams::stream_origin;

class stream_continuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_continuation_test);
    CPPUNIT_TEST(only_resumable_streams_are_resumed);
    CPPUNIT_TEST(a_stream_goes_on_at_its_recorded_origin);
    CPPUNIT_TEST(a_stream_of_unknown_origin_is_refused);
    CPPUNIT_TEST(a_stream_of_a_replaced_service_is_refused);
    CPPUNIT_TEST(refusals_promise_that_nothing_ran);
    CPPUNIT_TEST_SUITE_END();

    static inline const stream_origin recorded{"engines", "v1"};

    static routing::route resumable_route() {
        routing::route route;
        route.streaming = true;
        route.resumable = true;
        route.services = {{"engines"}};
        return route;
    }

    void only_resumable_streams_are_resumed() {
        routing::route route = resumable_route();
        CPPUNIT_ASSERT(!resumes_stream(route, {}));
        CPPUNIT_ASSERT(resumes_stream(route, {"request", "3"}));
        CPPUNIT_ASSERT(resumes_stream(route, {"", "3"}));
        CPPUNIT_ASSERT(resumes_stream(route, {"request", ""}));
        route.resumable = false;
        CPPUNIT_ASSERT(!resumes_stream(route, {"request", "3"}));
    }

    void a_stream_goes_on_at_its_recorded_origin() {
        const auto origin = origin_of_resumed(resumable_route(), lookup_state::found, recorded);
        CPPUNIT_ASSERT(origin.value() == recorded);
    }

    void a_stream_of_unknown_origin_is_refused() {
        for (const auto& [state, why] :
             {std::pair(lookup_state::unknown, refusal::unknown_stream),
              std::pair(lookup_state::undecided, refusal::stream_lookup_timeout),
              std::pair(lookup_state::ambiguous, refusal::ambiguous_stream)}) {
            const auto origin = origin_of_resumed(resumable_route(), state, recorded);
            CPPUNIT_ASSERT(origin.error() == why);
        }
    }

    void a_stream_of_a_replaced_service_is_refused() {
        routing::route route = resumable_route();
        route.services = {{"others"}, {"engines"}};
        CPPUNIT_ASSERT(origin_of_resumed(route, lookup_state::found, recorded).has_value());
        route.services = {{"others"}, {"engines", 0}};
        CPPUNIT_ASSERT(!origin_of_resumed(route, lookup_state::found, recorded));
        route.services = {{"others"}};
        CPPUNIT_ASSERT(origin_of_resumed(route, lookup_state::found, recorded).error() ==
                       refusal::stream_service_replaced);
    }

    void refusals_promise_that_nothing_ran() {
        for (const refusal why :
             {refusal::unknown_stream, refusal::stream_lookup_timeout, refusal::ambiguous_stream,
              refusal::stream_service_replaced, refusal::stream_version_gone}) {
            const local_answer answer = answer_to(why);
            CPPUNIT_ASSERT_EQUAL(503U, answer.status);
            CPPUNIT_ASSERT(answer.outcome == request_outcome::refused);
            CPPUNIT_ASSERT(!answer.reason.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_continuation_test);

}  // namespace tallyfold::tests
