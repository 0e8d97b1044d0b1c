#include "tallyfold/plane/decisions/retry_policy.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class retry_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_policy_test);
    CPPUNIT_TEST(a_non_repeatable_request_fails_after_its_first_run);
    CPPUNIT_TEST(proof_of_no_execution_allows_a_retry);
    CPPUNIT_TEST(a_request_is_refused_only_if_no_attempt_may_have_run);
    CPPUNIT_TEST(a_repeatable_request_stops_at_max_runs);
    CPPUNIT_TEST(no_retry_follows_without_time_left);
    CPPUNIT_TEST(a_broken_resumable_stream_is_resumed_up_to_the_limit);
    CPPUNIT_TEST(a_resumed_stream_counts_as_possibly_run);
    CPPUNIT_TEST(a_started_answer_is_continued_only_if_resumable);
    CPPUNIT_TEST(full_back_ends_are_retried_with_exponential_back_off);
    CPPUNIT_TEST(no_back_off_after_an_attempt_that_may_have_run);
    CPPUNIT_TEST(back_offs_leave_time_for_an_attempt);
    CPPUNIT_TEST(runs_never_exceed_max_runs);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration second = std::chrono::seconds(1);

    static next_step after(retry_policy& policy, attempt_end end, duration time_left = second,
                           bool connection_closed = false,
                           answer_progress answer = answer_progress::none) {
        return policy.after({end, connection_closed, answer, time_left});
    }

    static void assert_refuses(const retry_policy& policy, next_step step) {
        CPPUNIT_ASSERT(step == next_step::give_up);
        CPPUNIT_ASSERT(policy.counted_runs() == 0);
    }

    static void assert_fails(const retry_policy& policy, next_step step) {
        CPPUNIT_ASSERT(step == next_step::give_up);
        CPPUNIT_ASSERT(policy.counted_runs() > 0);
    }

    void a_non_repeatable_request_fails_after_its_first_run() {
        retry_policy policy(false, 3);
        assert_fails(policy, after(policy, attempt_end::may_have_run));
    }

    void proof_of_no_execution_allows_a_retry() {
        retry_policy policy(false, 1);
        CPPUNIT_ASSERT(after(policy, attempt_end::not_run) == next_step::retry);
        CPPUNIT_ASSERT(after(policy, attempt_end::not_sent) == next_step::retry);
        assert_fails(policy, after(policy, attempt_end::may_have_run));
    }

    void a_request_is_refused_only_if_no_attempt_may_have_run() {
        retry_policy never_run(true, 2);
        for (std::uint32_t send = 1; send < retry_policy::max_sends_per_round; ++send) {
            CPPUNIT_ASSERT(after(never_run, attempt_end::not_run) == next_step::retry);
        }
        assert_refuses(never_run, after(never_run, attempt_end::not_run));
        retry_policy possibly_run(true, 2);
        CPPUNIT_ASSERT(after(possibly_run, attempt_end::may_have_run) == next_step::retry);
        assert_fails(possibly_run, after(possibly_run, attempt_end::not_run, duration::zero()));
    }

    void a_repeatable_request_stops_at_max_runs() {
        retry_policy policy(true, 2);
        CPPUNIT_ASSERT(policy.may_retry_run());
        CPPUNIT_ASSERT(after(policy, attempt_end::may_have_run) == next_step::retry);
        CPPUNIT_ASSERT(!policy.may_retry_run());
        assert_fails(policy, after(policy, attempt_end::may_have_run));
    }

    void no_retry_follows_without_time_left() {
        retry_policy policy(true, 3);
        assert_refuses(policy, after(policy, attempt_end::not_sent, duration::zero()));
    }

    void a_broken_resumable_stream_is_resumed_up_to_the_limit() {
        retry_policy policy(true, 1, true);
        for (std::uint32_t resume = 0; resume < retry_policy::max_resumes; ++resume) {
            CPPUNIT_ASSERT(after(policy, attempt_end::may_have_run, second, true) ==
                           next_step::resume);
        }
        assert_fails(policy, after(policy, attempt_end::may_have_run, second, true));
        retry_policy still_connected(true, 1, true);
        assert_fails(still_connected,
                     after(still_connected, attempt_end::may_have_run, second, false));
        retry_policy out_of_time(true, 1, true);
        assert_fails(out_of_time,
                     after(out_of_time, attempt_end::may_have_run, duration::zero(), true));
        retry_policy not_resumable(false, 1, false);
        assert_fails(not_resumable, after(not_resumable, attempt_end::may_have_run, second, true));
    }

    void a_resumed_stream_counts_as_possibly_run() {
        retry_policy policy(true, 1, true);
        CPPUNIT_ASSERT(after(policy, attempt_end::may_have_run, second, true) == next_step::resume);
        CPPUNIT_ASSERT(policy.counted_runs() > 0);
        CPPUNIT_ASSERT(!policy.back_off(second, 0.5));
        assert_fails(policy, after(policy, attempt_end::not_run, duration::zero()));
    }

    void a_started_answer_is_continued_only_if_resumable() {
        const auto step = [](attempt_end end, answer_progress answer, bool connection_closed) {
            retry_policy policy(true, 3, true);
            return after(policy, end, second, connection_closed, answer);
        };
        for (const attempt_end end :
             {attempt_end::not_sent, attempt_end::not_run, attempt_end::may_have_run}) {
            CPPUNIT_ASSERT(step(end, answer_progress::none, false) == next_step::retry);
            CPPUNIT_ASSERT(step(end, answer_progress::started, false) == next_step::give_up);
        }
        using enum answer_progress;
        CPPUNIT_ASSERT(step(attempt_end::not_sent, started_resumable, false) == next_step::retry);
        CPPUNIT_ASSERT(step(attempt_end::not_run, started_resumable, false) == next_step::give_up);
        CPPUNIT_ASSERT(step(attempt_end::may_have_run, started_resumable, false) ==
                       next_step::give_up);
        CPPUNIT_ASSERT(step(attempt_end::may_have_run, started_resumable, true) ==
                       next_step::resume);
    }

    void full_back_ends_are_retried_with_exponential_back_off() {
        retry_policy policy(false, 1);
        for (std::uint32_t send = 1; send < retry_policy::max_sends_per_round; ++send) {
            CPPUNIT_ASSERT(after(policy, attempt_end::not_run) == next_step::retry);
        }
        CPPUNIT_ASSERT(policy.back_off(second, 1) == retry_policy::first_back_off);
        CPPUNIT_ASSERT(after(policy, attempt_end::not_run) == next_step::retry);
        CPPUNIT_ASSERT(policy.back_off(second, 1) == 2 * retry_policy::first_back_off);
        CPPUNIT_ASSERT(!policy.back_off(retry_policy::min_time_after_back_off, 0));
    }

    void no_back_off_after_an_attempt_that_may_have_run() {
        retry_policy policy(true, 2);
        CPPUNIT_ASSERT(after(policy, attempt_end::may_have_run) == next_step::retry);
        CPPUNIT_ASSERT(!policy.back_off(second, 0.5));
    }

    void back_offs_leave_time_for_an_attempt() {
        check_property("back-offs are bounded and leave the time that an attempt needs", [] {
            retry_policy policy(*rc::gen::arbitrary<bool>(), 1);
            RC_ASSERT(!policy.back_off(second, 0.5));
            after(policy, attempt_end::not_run);
            duration left = std::chrono::milliseconds(*rc::gen::inRange(0, 40'000));
            int pauses = 0;
            while (const auto pause = policy.back_off(left, *rc::gen::inRange(0, 101) / 100.0)) {
                RC_ASSERT(*pause > duration::zero());
                RC_ASSERT(*pause <= retry_policy::max_back_off);
                left -= *pause;
                RC_ASSERT(left >= retry_policy::min_time_after_back_off);
                ++pauses;
            }
            RC_ASSERT(pauses < 1000);
        });
    }

    void runs_never_exceed_max_runs() {
        check_property("repeatable requests run at most max_runs times, others at most once", [] {
            const bool repeatable = *rc::gen::arbitrary<bool>();
            const auto max_runs = *rc::gen::inRange<std::uint32_t>(1, 5);
            retry_policy policy(repeatable, max_runs);
            std::uint32_t runs = 0;
            std::uint32_t sends = 0;
            next_step step = next_step::retry;
            while (step == next_step::retry) {
                const auto end = static_cast<attempt_end>(*rc::gen::inRange(0, 3));
                runs += end == attempt_end::may_have_run ? 1 : 0;
                ++sends;
                step = after(policy, end, second, *rc::gen::arbitrary<bool>());
                RC_ASSERT(policy.counted_runs() == runs);
            }
            RC_ASSERT(step == next_step::give_up);
            RC_ASSERT(sends <= retry_policy::max_sends_per_round);
            RC_ASSERT(runs <= (repeatable ? max_runs : 1));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_policy_test);

}  // namespace tallyfold::tests
