#include "tallyfold/plane/dispatch/program_needs.hpp"

#include <algorithm>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;
using namespace std::chrono_literals;

class program_needs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(program_needs_test);
    CPPUNIT_TEST(unknown_routes_need_nothing);
    CPPUNIT_TEST(estimates_are_near_the_truth);
    CPPUNIT_TEST(estimates_follow_the_objective);
    CPPUNIT_TEST(waits_are_not_counted);
    CPPUNIT_TEST(runaways_are_told_apart);
    CPPUNIT_TEST(any_values_give_finite_estimates);
    CPPUNIT_TEST_SUITE_END();

    static constexpr token_count answer_tokens = 70;
    static constexpr duration call_time = 270ms;

    static program_call call(const std::string& route, program_hash program, token_count used,
                             std::optional<duration> left, instant arrived) {
        return {route, program, used, left, arrived};
    }

    /// Runs programs of the given numbers of calls; each call waits `waits` for its slot.
    static void run_programs(program_needs& needs, const std::string& route,
                             const std::vector<int>& lengths, duration pause, duration waits,
                             bool objectives) {
        instant now{100s};
        program_hash program = stable_number(route);
        for (const int length : lengths) {
            ++program;
            const duration objective = (call_time + pause) * length * 2;
            for (int made = 0; made < length; ++made) {
                const std::optional<duration> left =
                    objectives ? std::optional(objective) : std::nullopt;
                const token_count used = answer_tokens * static_cast<token_count>(made);
                needs.record_call(call(route, program, used, left, now), now + waits);
                needs.record_answer(route, answer_tokens, call_time);
                now += waits + call_time + pause;
            }
        }
    }

    static program_hash stable_number(const std::string& route) { return route.size() * 100'000; }

    static void check_near(duration expected, duration actual) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(expected.count()),
                                     static_cast<double>(actual.count()),
                                     0.15 * static_cast<double>(expected.count()));
    }

    void unknown_routes_need_nothing() {
        const program_needs needs;
        CPPUNIT_ASSERT(needs.expected_time(call("r", 1, 0, {}, instant{})) == duration::zero());
        CPPUNIT_ASSERT(needs.expected_calls(call("r", 1, 0, {}, instant{})) == 1);
        CPPUNIT_ASSERT(!needs.is_runaway("r", 1'000'000));
    }

    void estimates_are_near_the_truth() {
        program_needs needs;
        run_programs(needs, "short", std::vector<int>(100, 3), 60ms, 0ms, false);
        run_programs(needs, "long", std::vector<int>(100, 9), 20ms, 0ms, false);
        for (int made = 0; made < 3; ++made) {
            const auto used = answer_tokens * static_cast<token_count>(made);
            check_near(call_time + (2 - made) * (call_time + 60ms),
                       needs.expected_time(call("short", 0, used, {}, instant{})));
        }
        for (int made = 0; made < 9; ++made) {
            const auto used = answer_tokens * static_cast<token_count>(made);
            check_near(call_time + (8 - made) * (call_time + 20ms),
                       needs.expected_time(call("long", 0, used, {}, instant{})));
        }
        // A short first answer must not make the second call pass for a first one.
        CPPUNIT_ASSERT(needs.expected_calls(call("short", 0, 10, {}, instant{})) < 2.2);
    }

    void estimates_follow_the_objective() {
        // Guards against a program of one call being taken for a late one of mean length.
        program_needs needs;
        std::vector<int> lengths;
        for (int count = 0; count < 60; ++count) {
            lengths.push_back(1 + 2 * (count % 3));
        }
        run_programs(needs, "r", lengths, 60ms, 0ms, true);
        for (const int length : {1, 3, 5}) {
            const program_call first =
                call("r", 7, 0, (call_time + 60ms) * length * 2, instant{200s});
            CPPUNIT_ASSERT_DOUBLES_EQUAL(length, needs.expected_calls(first), 0.35 * length);
        }
        // It is remembered for the later calls, whose time left says less.
        needs.record_call(call("r", 8, 0, (call_time + 60ms) * 10, instant{200s}), instant{200s});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            3, needs.expected_calls(call("r", 8, 2 * answer_tokens, 1s, instant{201s})), 1);
    }

    void waits_are_not_counted() {
        // Guards against estimates that rise with the queue, which made all programs look late.
        program_needs waiting;
        run_programs(waiting, "r", std::vector<int>(100, 3), 60ms, 900ms, false);
        check_near(call_time + 2 * (call_time + 60ms),
                   waiting.expected_time(call("r", 0, 0, {}, instant{})));
    }

    void runaways_are_told_apart() {
        program_needs needs;
        run_programs(needs, "r", std::vector<int>(50, 3), 60ms, 0ms, false);
        CPPUNIT_ASSERT(!needs.is_runaway("r", 6 * answer_tokens));
        CPPUNIT_ASSERT(needs.is_runaway("r", 16 * answer_tokens));
    }

    void any_values_give_finite_estimates() {
        check_property("estimates are finite and bounded", [] {
            program_needs needs;
            instant now{100s};
            for (int count = *rc::gen::inRange(0, 200); count > 0; --count) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
                const program_call made = call(
                    "r", *rc::gen::inRange<program_hash>(0, 5), *rc::gen::arbitrary<token_count>(),
                    std::chrono::milliseconds(*rc::gen::arbitrary<std::int32_t>()), now);
                needs.record_call(made, now);
                needs.record_answer("r", *rc::gen::arbitrary<std::uint32_t>(),
                                    std::chrono::milliseconds(*rc::gen::inRange(-5, 10'000)));
                RC_ASSERT(needs.expected_calls(made) >= 1);
                RC_ASSERT(needs.expected_calls(made) < 1'000);
                RC_ASSERT(needs.expected_time(made) >= duration::zero());
                RC_ASSERT(needs.expected_time(made) < 3h);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_needs_test);

}  // namespace tallyfold::tests
