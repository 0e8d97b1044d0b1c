#include "tallyfold/scheduling/engine_speed.hpp"

#include <cmath>
#include <random>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduling;

class engine_speed_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_speed_test);
    CPPUNIT_TEST(nothing_is_known_without_samples);
    CPPUNIT_TEST(engines_are_compared_with_their_own_idle_pace);
    CPPUNIT_TEST(lasting_load_is_not_a_slow_period);
    CPPUNIT_TEST(a_slow_period_is_seen_and_forgotten);
    CPPUNIT_TEST(a_removed_engine_starts_anew);
    CPPUNIT_TEST(one_absurd_sample_does_not_move_the_estimates);
    CPPUNIT_TEST(stalls_of_some_calls_leave_the_estimates);
    CPPUNIT_TEST(slow_periods_are_not_taken_for_an_effect_of_sharing);
    CPPUNIT_TEST(any_samples_leave_finite_values);
    CPPUNIT_TEST_SUITE_END();

    static duration us(double value) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::micro>(value));
    }
    static double in_us(duration value) { return static_cast<double>(value.count()); }
    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static speed_sample sample(std::uint32_t running, double token_us) {
        return {running, 1'000, us(13'000), us(token_us)};
    }
    static void record(engine_speed& speed, const backend_name& engine, std::uint32_t running,
                       double token_us, int from, int count = 40) {
        for (int number = 0; number < count; ++number) {
            speed.record(engine, sample(running, token_us), at(from + number));
        }
    }

    void nothing_is_known_without_samples() {
        const engine_speed speed;
        CPPUNIT_ASSERT(speed.token_time("a", 3, at(1)) == duration::zero());
        CPPUNIT_ASSERT_EQUAL(1.0, speed.slowdown("a", at(1)));
        CPPUNIT_ASSERT(speed.prefill_time_per_token() > duration::zero());
    }

    /// Guards against a slow engine that is taken for an overloaded one.
    void engines_are_compared_with_their_own_idle_pace() {
        engine_speed speed;
        record(speed, "slow", 1, 3'900, 1'000);
        record(speed, "fast", 1, 1'600, 1'000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3'900, in_us(speed.token_time("slow", 1, at(1'040))), 50);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'600, in_us(speed.token_time("fast", 1, at(1'040))), 50);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.slowdown("slow", at(1'040)), 0.01);
        // An engine without samples is assumed to be an average one.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2'750, in_us(speed.token_time("new", 1, at(1'040))), 50);
    }

    /// Guards against avoiding an engine because its calls share it: that is what slots are for.
    void lasting_load_is_not_a_slow_period() {
        engine_speed speed;
        record(speed, "a", 1, 3'000, 1'000);
        record(speed, "a", 6, 3'600, 2'000, 400);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, speed.slowdown("a", at(2'400)), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3'600, in_us(speed.token_time("a", 6, at(2'400))), 200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3'000, in_us(speed.idle_token_time("a")), 150);
    }

    void a_slow_period_is_seen_and_forgotten() {
        engine_speed speed;
        record(speed, "a", 2, 3'000, 1'000, 200);
        record(speed, "a", 2, 7'500, 1'300, 6);
        CPPUNIT_ASSERT(speed.slowdown("a", at(1'306)) > 1.8);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3'000, in_us(speed.idle_token_time("a")), 150);
        const instant later = at(1'306) + engine_speed::slowdown_lifetime;
        CPPUNIT_ASSERT_EQUAL(1.0, speed.slowdown("a", later));
    }

    void a_removed_engine_starts_anew() {
        engine_speed speed;
        record(speed, "a", 1, 3'000, 1'000);
        speed.remove_engine("a");
        CPPUNIT_ASSERT(speed.token_time("a", 1, at(1'100)) == duration::zero());
    }

    /// Guards against a stalled caller or a broken clock whose single sample makes the choice of
    /// engines avoid all prefills from then on.
    void one_absurd_sample_does_not_move_the_estimates() {
        engine_speed speed;
        record(speed, "a", 1, 3'000, 1'000);
        const speed_sample absurd{1, 500, std::chrono::hours(1), std::chrono::seconds(2)};
        speed.record("a", absurd, at(1'100));
        CPPUNIT_ASSERT(in_us(speed.idle_token_time("a")) < 1.05 * 3'000);
        CPPUNIT_ASSERT(in_us(speed.prefill_time_per_token()) <= 14);
    }

    /// Guards against estimates that drift away from all samples: the idle time is derived from the
    /// effect of sharing, and that effect from the idle time.
    void stalls_of_some_calls_leave_the_estimates() {
        for (const unsigned seed : {1U, 2U, 3U}) {
            std::mt19937 random(seed);
            engine_speed speed;
            for (int number = 0; number < 5'000; ++number) {
                const std::string engine = number % 3 == 0 ? "fast" : "slow";
                const double usual = engine == "fast" ? 1'600 : 3'900;
                const bool stalled = random() % 10 == 0;
                const double token_us = stalled ? 20'000 + random() % 700'000 : usual;
                speed.record(engine, sample(random() % 6 + 1, token_us), at(5 * number));
                if (number % 100 == 99) {
                    const double fast = in_us(speed.idle_token_time("fast"));
                    const double slow = in_us(speed.idle_token_time("slow"));
                    const std::string seen = std::to_string(number) + ": " + std::to_string(fast) +
                                             " and " + std::to_string(slow);
                    CPPUNIT_ASSERT_MESSAGE(seen, fast > 0.4 * 1'600 && fast < 1.6 * 1'600);
                    CPPUNIT_ASSERT_MESSAGE(seen, slow > 0.4 * 3'900 && slow < 1.6 * 3'900);
                    CPPUNIT_ASSERT_MESSAGE(seen, fast < 0.8 * slow);
                    CPPUNIT_ASSERT(speed.slowdown("fast", at(5 * number)) < 10);
                }
            }
        }
    }

    /// Slow periods of 600 ms, 15 in 100, during which more calls run at an engine.
    void slow_periods_are_not_taken_for_an_effect_of_sharing() {
        for (const unsigned seed : {1U, 2U, 3U}) {
            std::mt19937 random(seed);
            engine_speed speed;
            for (int period = 0; period < 100; ++period) {
                const bool slow = random() % 100 < 15;
                for (int number = 0; number < 30; ++number) {
                    const std::uint32_t running = slow ? random() % 3 + 4 : random() % 4 + 1;
                    const int time = period * 600 + number * 20;
                    speed.record("a", sample(running, slow ? 7'500 : 3'000), at(time));
                }
                if (period >= 10) {
                    const double idle = in_us(speed.idle_token_time("a"));
                    const std::string seen = std::to_string(period) + ": " + std::to_string(idle);
                    CPPUNIT_ASSERT_MESSAGE(seen, idle > 0.6 * 3'000 && idle < 1.4 * 3'000);
                }
            }
        }
    }

    void any_samples_leave_finite_values() {
        check_property("estimates stay finite and positive for any samples", [] {
            engine_speed speed;
            instant now{};
            for (int count = 0; count < 100; ++count) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
                speed_sample drawn;
                drawn.running = *rc::gen::arbitrary<std::uint32_t>();
                drawn.prefilled_tokens = *rc::gen::arbitrary<std::uint32_t>();
                drawn.first_event = duration(*rc::gen::arbitrary<std::int32_t>());
                drawn.token_time = duration(*rc::gen::inRange(-10, 3'000'000));
                const auto engine = *rc::gen::element<std::string>("a", "b");
                speed.record(engine, drawn, now);
                RC_ASSERT(std::isfinite(speed.slowdown(engine, now)));
                RC_ASSERT(speed.slowdown(engine, now) >= 1);
                RC_ASSERT(speed.token_time(engine, drawn.running, now) >= duration::zero());
                RC_ASSERT(speed.token_time("c", 1, now) >= duration::zero());
                RC_ASSERT(speed.prefill_time_per_token() >= duration::zero());
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_speed_test);

}  // namespace tallyfold::tests
