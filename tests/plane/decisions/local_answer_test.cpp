#include "tallyfold/plane/decisions/local_answer.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class local_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(local_answer_test);
    CPPUNIT_TEST(unconfirmed_routes_and_keys_are_answered_503);
    CPPUNIT_TEST(temporary_refusals_have_retry_after);
    CPPUNIT_TEST(a_call_without_permit_gets_the_retry_after_of_the_decision);
    CPPUNIT_TEST(keys_are_stale_after_four_fifths_of_the_revocation_time);
    CPPUNIT_TEST(only_an_admitted_turn_is_not_refused);
    CPPUNIT_TEST(an_answered_request_gets_no_own_answer);
    CPPUNIT_TEST(a_request_that_may_have_run_is_never_refused);
    CPPUNIT_TEST(a_started_answer_gets_no_own_answer);
    CPPUNIT_TEST(status_503_and_retry_after_mean_not_run);
    CPPUNIT_TEST_SUITE_END();

    static void assert_answer(unsigned status, request_outcome outcome, bool retries,
                              const local_answer& answer) {
        CPPUNIT_ASSERT_EQUAL(status, answer.status);
        CPPUNIT_ASSERT(answer.outcome == outcome);
        CPPUNIT_ASSERT_EQUAL(retries, answer.retry.after.has_value());
    }

    void unconfirmed_routes_and_keys_are_answered_503() {
        assert_answer(404, request_outcome::no_route, false,
                      answer_to(refusal_of_unknown_route(true)));
        assert_answer(503, request_outcome::refused, true,
                      answer_to(refusal_of_unknown_route(false)));
        assert_answer(401, request_outcome::refused, false,
                      answer_to(refusal_of_unknown_key(true)));
        assert_answer(503, request_outcome::refused, true,
                      answer_to(refusal_of_unknown_key(false)));
    }

    void temporary_refusals_have_retry_after() {
        for (const refusal why :
             {refusal::no_configuration, refusal::unconfirmed_route, refusal::stale_keys,
              refusal::unconfirmed_key, refusal::no_store, refusal::store_timeout}) {
            const local_answer answer = answer_to(why);
            assert_answer(503, request_outcome::refused, true, answer);
            CPPUNIT_ASSERT(answer.retry.after == retry_after::after_recovery().after);
        }
        assert_answer(402, request_outcome::over_budget, false, answer_to(refusal::over_budget));
        assert_answer(404, request_outcome::unknown_turn, false, answer_to(refusal::unknown_turn));
    }

    void a_call_without_permit_gets_the_retry_after_of_the_decision() {
        tenants::permit_decision decision;
        decision.retry_after = std::chrono::milliseconds(130);
        decision.state = tenants::permit_state::over_limit;
        const local_answer over = answer_without_permit(decision);
        assert_answer(429, request_outcome::refused, true, over);
        CPPUNIT_ASSERT_EQUAL(std::string("over_limit"), over.reason);
        CPPUNIT_ASSERT(over.retry.after == decision.retry_after);
        decision.state = tenants::permit_state::unknown;
        const local_answer unknown = answer_without_permit(decision);
        assert_answer(503, request_outcome::refused, true, unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("limit_unknown"), unknown.reason);
        CPPUNIT_ASSERT(unknown.retry.after == decision.retry_after);
    }

    void keys_are_stale_after_four_fifths_of_the_revocation_time() {
        const duration revocation = std::chrono::seconds(5);
        CPPUNIT_ASSERT(!keys_are_stale(std::chrono::seconds(4), revocation));
        CPPUNIT_ASSERT(
            keys_are_stale(std::chrono::seconds(4) + std::chrono::microseconds(1), revocation));
    }

    void only_an_admitted_turn_is_not_refused() {
        using turns::begin_result;
        CPPUNIT_ASSERT(!refusal_of(begin_result::admitted));
        CPPUNIT_ASSERT(refusal_of(begin_result::over_budget) == refusal::over_budget);
        CPPUNIT_ASSERT(refusal_of(begin_result::unknown_previous) == refusal::unknown_turn);
        CPPUNIT_ASSERT(refusal_of(begin_result::unavailable) == refusal::store_timeout);
    }

    void an_answered_request_gets_no_own_answer() {
        final_request_state last;
        last.answered = true;
        last.client_disconnected = true;
        last.may_have_run = true;
        const request_result end = result_after(last);
        CPPUNIT_ASSERT(end.outcome == request_outcome::answered);
        CPPUNIT_ASSERT(!end.answer);
        CPPUNIT_ASSERT(end.reason.empty());
    }

    void a_request_that_may_have_run_is_never_refused() {
        final_request_state last;
        last.failure = {failure_kind::answer_head, "broken"};
        last.may_have_run = true;
        const request_result failed = result_after(last);
        assert_answer(502, request_outcome::failed, false, *failed.answer);
        CPPUNIT_ASSERT_EQUAL(std::string("answer_broken"), failed.answer->reason);
        last.timed_out = true;
        assert_answer(504, request_outcome::failed, false, *result_after(last).answer);
        last.may_have_run = false;
        const request_result refused = result_after(last);
        assert_answer(503, request_outcome::refused, true, *refused.answer);
        CPPUNIT_ASSERT(refused.answer->retry.after == retry_after::soon().after);
    }

    void a_started_answer_gets_no_own_answer() {
        final_request_state last;
        last.answer_started = true;
        last.may_have_run = true;
        last.failure = {failure_kind::event_missing};
        const request_result end = result_after(last);
        CPPUNIT_ASSERT(end.outcome == request_outcome::broken_off);
        CPPUNIT_ASSERT(!end.answer);
        CPPUNIT_ASSERT_EQUAL(std::string("event_missing"), end.reason);
        last.client_disconnected = true;
        CPPUNIT_ASSERT(result_after(last).outcome == request_outcome::client_disconnected);
        CPPUNIT_ASSERT(result_after(last).reason.empty());
    }

    void status_503_and_retry_after_mean_not_run() {
        check_property("503 and Retry-After are sent exactly for requests that have not run", [] {
            final_request_state last;
            last.answered = *rc::gen::arbitrary<bool>();
            last.client_disconnected = *rc::gen::arbitrary<bool>();
            last.answer_started = *rc::gen::arbitrary<bool>();
            last.may_have_run = *rc::gen::arbitrary<bool>();
            last.timed_out = *rc::gen::arbitrary<bool>();
            last.failure.kind = failure_kind::no_backend;
            const request_result end = result_after(last);
            RC_ASSERT(end.outcome != request_outcome::unknown);
            const bool no_answer_expected =
                last.answered || last.client_disconnected || last.answer_started;
            RC_ASSERT(end.answer.has_value() == !no_answer_expected);
            if (end.answer) {
                RC_ASSERT(end.answer->outcome == end.outcome);
                RC_ASSERT((end.answer->status == 503) == !last.may_have_run);
                RC_ASSERT(end.answer->retry.after.has_value() == !last.may_have_run);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(local_answer_test);

}  // namespace tallyfold::tests
