#include "tallyfold/forwarding/attempt_policy.hpp"

#include "tallyfold/forwarding/backend_registry.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class attempt_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(attempt_policy_test);
    CPPUNIT_TEST(what_must_not_repeat_ends_with_its_first_run);
    CPPUNIT_TEST(a_proof_that_it_did_not_run_allows_another_try);
    CPPUNIT_TEST(a_refusal_is_said_only_when_nothing_may_have_run);
    CPPUNIT_TEST(a_repeatable_request_runs_as_often_as_its_route_allows);
    CPPUNIT_TEST(no_time_left_ends_it);
    CPPUNIT_TEST(a_leaving_back_end_is_not_chosen);
    CPPUNIT_TEST(calls_of_a_program_go_to_one_engine);
    CPPUNIT_TEST(an_unreachable_back_end_is_left_out_at_once);
    CPPUNIT_TEST(a_back_end_that_keeps_calls_without_a_byte_is_suspected);
    CPPUNIT_TEST(slowness_of_all_back_ends_suspects_none);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration second = std::chrono::seconds(1);

    void what_must_not_repeat_ends_with_its_first_run() {
        attempt_policy policy(false, 3);
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::fail);
    }

    void a_proof_that_it_did_not_run_allows_another_try() {
        attempt_policy policy(false, 1);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_run, second) == next_step::retry);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_sent, second) == next_step::retry);
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::fail);
    }

    void a_refusal_is_said_only_when_nothing_may_have_run() {
        attempt_policy clean(true, 2);
        for (std::uint32_t send = 1; send < attempt_policy::most_sends; ++send) {
            CPPUNIT_ASSERT(clean.after(attempt_end::not_run, second) == next_step::retry);
        }
        CPPUNIT_ASSERT(clean.after(attempt_end::not_run, second) == next_step::refuse);
        attempt_policy touched(true, 2);
        CPPUNIT_ASSERT(touched.after(attempt_end::may_have_run, second) == next_step::retry);
        CPPUNIT_ASSERT(touched.after(attempt_end::not_run, duration::zero()) == next_step::fail);
    }

    void a_repeatable_request_runs_as_often_as_its_route_allows() {
        attempt_policy policy(true, 2);
        CPPUNIT_ASSERT(policy.may_retry_run());
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::retry);
        CPPUNIT_ASSERT(!policy.may_retry_run());
        CPPUNIT_ASSERT(policy.after(attempt_end::may_have_run, second) == next_step::fail);
    }

    void no_time_left_ends_it() {
        attempt_policy policy(true, 3);
        CPPUNIT_ASSERT(policy.after(attempt_end::not_sent, duration::zero()) == next_step::refuse);
    }

    static std::vector<listing::listed_backend> engines(std::size_t count) {
        std::vector<listing::listed_backend> listed(count);
        for (std::size_t index = 0; index < count; ++index) {
            listed[index].service = "s";
            listed[index].member.name = "b" + std::to_string(index);
            listed[index].member.address = "10.0.0.1:" + std::to_string(8000 + index);
            listed[index].member.slots = 8;
            listed[index].member.listed_only = true;
        }
        return listed;
    }

    void a_leaving_back_end_is_not_chosen() {
        backend_registry registry("zone", 1);
        std::vector<listing::listed_backend> listed = engines(2);
        listed[0].member.leaving = true;
        registry.update(listed, instant{});
        backend_question question;
        question.service = "s";
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT_EQUAL(std::string("b1"), registry.choose(question, instant{})->name);
        }
        listed[1].member.leaving = true;
        registry.update(listed, instant{});
        CPPUNIT_ASSERT(!registry.choose(question, instant{}).has_value());
    }

    void calls_of_a_program_go_to_one_engine() {
        // Two nodes that know nothing of each other choose the same.
        backend_registry one("zone-a", 1);
        backend_registry other("zone-b", 2);
        one.update(engines(8), instant{});
        other.update(engines(8), instant{});
        std::set<std::string> used;
        for (int number = 0; number < 40; ++number) {
            const std::vector<scheduling::prefix_point> prompt{{1, 512},
                                                               {100 + std::uint64_t(number), 900}};
            backend_question question;
            question.service = "s";
            question.is_engine = true;
            question.program = "program-" + std::to_string(number);
            question.prompt = &prompt;
            question.prompt_tokens = 900;
            const auto first = one.choose(question, instant{});
            const auto second_choice = other.choose(question, instant{});
            CPPUNIT_ASSERT(first.has_value() && second_choice.has_value());
            CPPUNIT_ASSERT_EQUAL(first->name, second_choice->name);
            used.insert(first->name);
        }
        CPPUNIT_ASSERT(used.size() >= 6);
    }

    void an_unreachable_back_end_is_left_out_at_once() {
        backend_registry registry("zone", 1);
        registry.update(engines(3), instant{});
        registry.unreachable("s", "b0", instant{});
        backend_question question;
        question.service = "s";
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(registry.choose(question, instant{})->name != "b0");
        }
    }

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    /// Four back ends, of which one has answered many calls after `milliseconds` each.
    static void answer_calls(backend_registry& registry, int milliseconds) {
        registry.update(engines(4), at(0));
        for (int count = 0; count < 100; ++count) {
            registry.started("s", "b1", 0, at(0));
            registry.answering("s", "b1", at(0), at(milliseconds));
            registry.finished("s", "b1", at(0));
        }
    }

    void a_back_end_that_keeps_calls_without_a_byte_is_suspected() {
        backend_registry registry("zone", 1);
        answer_calls(registry, 60);
        registry.started("s", "b0", 0, at(100));
        CPPUNIT_ASSERT(registry.suspect_silent(at(700)).empty());
        const std::vector<std::string> suspected = registry.suspect_silent(at(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspected.size());
        backend_question question;
        question.service = "s";
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(registry.choose(question, at(900))->name != "b0");
        }
        registry.finished("s", "b0", at(100));
        CPPUNIT_ASSERT(registry.suspect_silent(at(5000)).empty());
    }

    void slowness_of_all_back_ends_suspects_none() {
        backend_registry registry("zone", 1);
        answer_calls(registry, 400);
        registry.started("s", "b0", 0, at(0));
        CPPUNIT_ASSERT(registry.suspect_silent(at(1500)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_policy_test);

}  // namespace tallyfold::tests
