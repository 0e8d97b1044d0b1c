#include "tallyfold/plane/decisions/retry_policy.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class retry_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_policy_test);
    CPPUNIT_TEST(what_must_not_repeat_ends_with_its_first_run);
    CPPUNIT_TEST(a_proof_that_it_did_not_run_allows_another_try);
    CPPUNIT_TEST(a_refusal_is_said_only_when_nothing_may_have_run);
    CPPUNIT_TEST(a_repeatable_request_runs_as_often_as_its_route_allows);
    CPPUNIT_TEST(no_time_left_ends_it);
    CPPUNIT_TEST(a_resumable_stream_that_broke_off_is_repeated_there);
    CPPUNIT_TEST(a_stream_that_broke_off_is_never_told_as_not_run);
    CPPUNIT_TEST(full_back_ends_are_asked_again_while_time_is_left);
    CPPUNIT_TEST(what_may_have_run_waits_for_no_room);
    CPPUNIT_TEST(any_pauses_end_before_the_time_does);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration second = std::chrono::seconds(1);

    void what_must_not_repeat_ends_with_its_first_run() {
        retry_policy policy(false, 3);
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::fail);
    }

    void a_proof_that_it_did_not_run_allows_another_try() {
        retry_policy policy(false, 1);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_run, second) == next_step::retry);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_sent, second) == next_step::retry);
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::fail);
    }

    void a_refusal_is_said_only_when_nothing_may_have_run() {
        retry_policy clean(true, 2);
        for (std::uint32_t send = 1; send < retry_policy::max_sends; ++send) {
            CPPUNIT_ASSERT(clean.after(attempt_end::not_run, second) == next_step::retry);
        }
        CPPUNIT_ASSERT(clean.after(attempt_end::not_run, second) == next_step::refuse);
        retry_policy touched(true, 2);
        CPPUNIT_ASSERT(touched.after(attempt_end::may_have_run, second) == next_step::retry);
        CPPUNIT_ASSERT(touched.after(attempt_end::not_run, duration::zero()) == next_step::fail);
    }

    void a_repeatable_request_runs_as_often_as_its_route_allows() {
        retry_policy policy(true, 2);
        CPPUNIT_ASSERT(policy.may_retry_run());
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::retry);
        CPPUNIT_ASSERT(!policy.may_retry_run());
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::fail);
    }

    void no_time_left_ends_it() {
        retry_policy policy(true, 3);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_sent, duration::zero()) == next_step::refuse);
    }

    void a_resumable_stream_that_broke_off_is_repeated_there() {
        retry_policy policy(true, 1, true);
        for (std::uint32_t repeat = 0; repeat < retry_policy::max_repeats_there; ++repeat) {
            CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second, true) ==
                           next_step::repeat_there);
        }
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second, true) == next_step::fail);
        retry_policy silent(true, 1, true);
        CPPUNIT_ASSERT(silent.after(attempt_end::may_have_run, second, false) == next_step::fail);
        retry_policy late(true, 1, true);
        CPPUNIT_ASSERT(late.after(attempt_end::may_have_run, duration::zero(), true) ==
                       next_step::fail);
        retry_policy other(false, 1, false);
        CPPUNIT_ASSERT(other.after(attempt_end::may_have_run, second, true) == next_step::fail);
    }

    void a_stream_that_broke_off_is_never_told_as_not_run() {
        retry_policy policy(true, 1, true);
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second, true) ==
                       next_step::repeat_there);
        CPPUNIT_ASSERT(policy.runs() > 0);
        CPPUNIT_ASSERT(!policy.pause_for_room(second, 0.5));
        CPPUNIT_ASSERT(policy.after(attempt_end::not_run, duration::zero()) == next_step::fail);
    }

    void full_back_ends_are_asked_again_while_time_is_left() {
        retry_policy policy(false, 1);
        for (std::uint32_t send = 1; send < retry_policy::max_sends; ++send) {
            CPPUNIT_ASSERT(policy.after(attempt_end::not_run, second) == next_step::retry);
        }
        CPPUNIT_ASSERT(policy.pause_for_room(second, 1) == retry_policy::first_pause);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_run, second) == next_step::retry);
        CPPUNIT_ASSERT(policy.pause_for_room(second, 1) == 2 * retry_policy::first_pause);
        CPPUNIT_ASSERT(!policy.pause_for_room(retry_policy::min_time_after_pause, 0));
    }

    void what_may_have_run_waits_for_no_room() {
        retry_policy policy(true, 2);
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::retry);
        CPPUNIT_ASSERT(!policy.pause_for_room(second, 0.5));
    }

    void any_pauses_end_before_the_time_does() {
        check_property("pauses are bounded, and leave the time that a try needs", [] {
            retry_policy policy(*rc::gen::arbitrary<bool>(), 1);
            RC_ASSERT(!policy.pause_for_room(second, 0.5));
            policy.after(attempt_end::not_run, second);
            duration left = std::chrono::milliseconds(*rc::gen::inRange(0, 40'000));
            int pauses = 0;
            while (const auto pause =
                       policy.pause_for_room(left, *rc::gen::inRange(0, 101) / 100.0)) {
                RC_ASSERT(*pause > duration::zero());
                RC_ASSERT(*pause <= retry_policy::longest_pause);
                left -= *pause;
                RC_ASSERT(left >= retry_policy::min_time_after_pause);
                ++pauses;
            }
            RC_ASSERT(pauses < 1000);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_policy_test);

}  // namespace tallyfold::tests
