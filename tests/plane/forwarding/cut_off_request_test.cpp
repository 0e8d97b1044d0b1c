#include "tallyfold/plane/forwarding/cut_off_request.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

/// Operators' tools parse these lines, so the fields, their order and format must not change.
class cut_off_request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cut_off_request_test);
    CPPUNIT_TEST(waiting_request_has_no_attempt);
    CPPUNIT_TEST(sent_request_tells_its_attempt_and_answer);
    CPPUNIT_TEST_SUITE_END();

    void waiting_request_has_no_attempt() {
        cut_off_request pending;
        pending.request = "r1";
        pending.age = std::chrono::microseconds(40'999);
        pending.decision = decide_cut_off({});
        CPPUNIT_ASSERT_EQUAL(
            std::string("request=r1 age_ms=40 sends=0 attempt=none answer=none end=503"),
            render_cut_off_request(pending));
    }

    void sent_request_tells_its_attempt_and_answer() {
        cut_off_request pending;
        pending.request = "r2";
        pending.age = std::chrono::seconds(3);
        pending.sends = 2;
        pending.attempt_open = true;
        pending.answer_started = true;
        pending_request_state state;
        state.may_have_run = true;
        state.answer_started = true;
        pending.decision = decide_cut_off(state);
        CPPUNIT_ASSERT_EQUAL(
            std::string("request=r2 age_ms=3000 sends=2 attempt=open answer=started end=reset"),
            render_cut_off_request(pending));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cut_off_request_test);

}  // namespace tallyfold::tests
