#include "tallyfold/plane/decisions/request_cut_off.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class request_cut_off_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_cut_off_test);
    CPPUNIT_TEST(unsent_request_may_be_retried);
    CPPUNIT_TEST(sent_request_is_promised_nothing);
    CPPUNIT_TEST(started_answer_is_reset);
    CPPUNIT_TEST(complete_answer_is_awaited);
    CPPUNIT_TEST(not_run_is_stated_only_if_true);
    CPPUNIT_TEST_SUITE_END();

    void unsent_request_may_be_retried() {
        const cut_off_decision decision = decide_cut_off({});
        CPPUNIT_ASSERT(decision.action == cut_off_action::answer);
        CPPUNIT_ASSERT_EQUAL(503U, decision.result.answer->status);
        CPPUNIT_ASSERT(decision.result.answer->retry.after.has_value());
        CPPUNIT_ASSERT(decision.result.outcome == request_outcome::refused);
        CPPUNIT_ASSERT_EQUAL(std::string("503"), text_of(decision));
    }

    void sent_request_is_promised_nothing() {
        pending_request_state pending;
        pending.may_have_run = true;
        const cut_off_decision decision = decide_cut_off(pending);
        CPPUNIT_ASSERT(decision.action == cut_off_action::answer);
        CPPUNIT_ASSERT_EQUAL(502U, decision.result.answer->status);
        CPPUNIT_ASSERT(!decision.result.answer->retry.after.has_value());
        CPPUNIT_ASSERT(decision.result.outcome == request_outcome::failed);
        CPPUNIT_ASSERT_EQUAL(std::string("502"), text_of(decision));
    }

    void started_answer_is_reset() {
        pending_request_state pending;
        pending.may_have_run = true;
        pending.answer_started = true;
        const cut_off_decision decision = decide_cut_off(pending);
        CPPUNIT_ASSERT(decision.action == cut_off_action::reset);
        CPPUNIT_ASSERT(decision.result.outcome == request_outcome::broken_off);
        CPPUNIT_ASSERT_EQUAL(std::string("reset"), text_of(decision));
    }

    void complete_answer_is_awaited() {
        pending_request_state pending;
        pending.may_have_run = true;
        pending.answer_started = true;
        pending.answer_complete = true;
        CPPUNIT_ASSERT(decide_cut_off(pending).action == cut_off_action::await_end);
        CPPUNIT_ASSERT_EQUAL(std::string("awaited"), text_of(decide_cut_off(pending)));
    }

    void not_run_is_stated_only_if_true() {
        check_property("503 and Retry-After only for a request that was never sent", [] {
            pending_request_state pending;
            pending.may_have_run = *rc::gen::arbitrary<bool>();
            pending.client_disconnected = *rc::gen::arbitrary<bool>();
            pending.answer_started = *rc::gen::arbitrary<bool>();
            pending.answer_complete = *rc::gen::arbitrary<bool>();
            const cut_off_decision decision = decide_cut_off(pending);
            const bool answers = decision.action == cut_off_action::answer;
            RC_ASSERT(answers == decision.result.answer.has_value());
            if (answers) {
                RC_ASSERT(!pending.answer_started);
                const local_answer& answer = *decision.result.answer;
                RC_ASSERT((answer.status == 503) == !pending.may_have_run);
                RC_ASSERT(answer.retry.after.has_value() == !pending.may_have_run);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_cut_off_test);

}  // namespace tallyfold::tests
