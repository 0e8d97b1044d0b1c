/// @file
/// The texts of outcomes and attempt failures are part of log lines, metric labels and answers, and
/// must not change.

#include "tallyfold/plane/decisions/attempt_failure.hpp"
#include "tallyfold/plane/decisions/request_outcome.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class request_texts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_texts_test);
    CPPUNIT_TEST(outcome_texts_are_stable);
    CPPUNIT_TEST(failure_texts_are_stable);
    CPPUNIT_TEST(connection_failures_combine_step_and_error);
    CPPUNIT_TEST_SUITE_END();

    void outcome_texts_are_stable() {
        const std::vector<std::pair<request_outcome, std::string>> words{
            {request_outcome::unknown, "unknown"},
            {request_outcome::answered, "answered"},
            {request_outcome::broken_off, "broken_off"},
            {request_outcome::client_disconnected, "caller_left"},
            {request_outcome::failed, "failed"},
            {request_outcome::refused, "refused"},
            {request_outcome::no_route, "no_route"},
            {request_outcome::over_budget, "over_budget"},
            {request_outcome::unknown_turn, "unknown_turn"}};
        for (const auto& [outcome, word] : words) {
            CPPUNIT_ASSERT_EQUAL(word, std::string(text_of(outcome)));
        }
    }

    void failure_texts_are_stable() {
        const std::vector<std::pair<failure_kind, std::string>> texts{
            {failure_kind::none, ""},
            {failure_kind::no_backend, "no back end is available"},
            {failure_kind::no_time_left, "no_time_left"},
            {failure_kind::resume_refused, "continuation_refused"},
            {failure_kind::unsigned_answer, "unsigned_answer"},
            {failure_kind::unmatched_answer_incomplete, "surplus_answer"},
            {failure_kind::too_many_unmatched_answers, "surplus_answers"},
            {failure_kind::body_truncated, "body_truncated"},
            {failure_kind::event_missing, "event_missing"},
            {failure_kind::turn_end_unconfirmed, "unsettled"},
            {failure_kind::client_disconnected, "caller_left"},
            {failure_kind::other_incarnation, "other_incarnation"},
            {failure_kind::not_executed, "not_executed"},
            {failure_kind::shutdown, "shutdown"}};
        for (const auto& [kind, text] : texts) {
            CPPUNIT_ASSERT_EQUAL(text, text_of(attempt_failure{kind}));
        }
    }

    void connection_failures_combine_step_and_error() {
        CPPUNIT_ASSERT_EQUAL(std::string("connect_refused"),
                             text_of(attempt_failure{failure_kind::connect, "refused"}));
        CPPUNIT_ASSERT_EQUAL(std::string("write_broken"),
                             text_of(attempt_failure{failure_kind::write, "broken"}));
        CPPUNIT_ASSERT_EQUAL(std::string("answer_timed_out"),
                             text_of(attempt_failure{failure_kind::answer_head, "timed_out"}));
        CPPUNIT_ASSERT_EQUAL(std::string("body_closed"),
                             text_of(attempt_failure{failure_kind::body, "closed"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_texts_test);

}  // namespace tallyfold::tests
