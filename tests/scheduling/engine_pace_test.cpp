#include "tallyfold/scheduling/engine_pace.hpp"

#include <cmath>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace scheduling;

class engine_pace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_pace_test);
    CPPUNIT_TEST(the_prompt_rate_is_that_of_an_idle_engine);
    CPPUNIT_TEST(a_common_slowdown_is_measured);
    CPPUNIT_TEST(one_slow_engine_does_not_raise_the_common_slowdown);
    CPPUNIT_TEST(engines_of_different_speed_are_not_slowed);
    CPPUNIT_TEST(a_slow_period_of_the_only_engine_in_use_is_not_a_slowdown);
    CPPUNIT_TEST(expired_samples_are_ignored);
    CPPUNIT_TEST(any_samples_leave_finite_values);
    CPPUNIT_TEST_SUITE_END();

    static duration ms(double value) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(value));
    }
    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    /// Records 20 events and ended streams for each engine at `now`.
    static void record_events(engine_pace& pace, const std::vector<std::string>& engines,
                              double gap, instant now) {
        for (int count = 0; count < 20; ++count) {
            for (const std::string& engine : engines) {
                pace.record_events(engine, 1, ms(gap), now);
                pace.record_stream_end(engine, ms(gap));
            }
        }
    }

    void the_prompt_rate_is_that_of_an_idle_engine() {
        engine_pace pace;
        for (int count = 0; count < 50; ++count) {
            pace.record_prompt_processed(10'000, ms(100));
            pace.record_prompt_processed(10'000, ms(400));
            pace.record_prompt_processed(10, ms(90));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, pace.read_ms_per_token(), 0.002);
    }

    void a_common_slowdown_is_measured() {
        engine_pace pace;
        CPPUNIT_ASSERT_EQUAL(1.0, pace.slowdown(at(1)));
        record_events(pace, {"a", "b", "c"}, 20, at(1000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, pace.slowdown(at(1000)), 0.05);
        record_events(pace, {"a", "b", "c"}, 60, at(2000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, pace.slowdown(at(2000)), 0.2);
    }

    void one_slow_engine_does_not_raise_the_common_slowdown() {
        engine_pace pace;
        record_events(pace, {"a", "b", "c"}, 20, at(1000));
        record_events(pace, {"a", "b"}, 20, at(1500));
        record_events(pace, {"c"}, 200, at(1500));
        CPPUNIT_ASSERT(pace.gap_ms("c", at(1500)) > 150);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, pace.gap_ms("a", at(1500)), 1);
        CPPUNIT_ASSERT(pace.slowdown(at(1500)) < 1.5);
    }

    /// Guards against a limit on running calls at a node whose engines are idle: two of three work
    /// at 0.7 of the usual speed, the third at 1.7.
    void engines_of_different_speed_are_not_slowed() {
        engine_pace pace;
        record_events(pace, {"fast"}, 24, at(1000));
        record_events(pace, {"slow-1", "slow-2"}, 58, at(1000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, pace.slowdown(at(1000)), 0.05);
        record_events(pace, {"fast"}, 72, at(2000));
        record_events(pace, {"slow-1", "slow-2"}, 174, at(2000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, pace.slowdown(at(2000)), 0.2);
    }

    /// Guards against a limit on running calls while one or two calls run at an engine that is slow
    /// for some hundred milliseconds.
    void a_slow_period_of_the_only_engine_in_use_is_not_a_slowdown() {
        engine_pace pace;
        record_events(pace, {"a", "b", "c", "d"}, 20, at(1000));
        for (int count = 0; count < 10; ++count) {
            pace.record_events("a", 1, ms(50), at(2000 + 20 * count));
        }
        CPPUNIT_ASSERT_EQUAL(1.0, pace.slowdown(at(2200)));
    }

    void expired_samples_are_ignored() {
        engine_pace pace;
        record_events(pace, {"a", "b", "c"}, 20, at(1000));
        pace.record_events("a", 1, ms(500), at(1100));
        const instant later = at(1100) + engine_pace::sample_lifetime;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, pace.gap_ms("a", later), 5);
        CPPUNIT_ASSERT_EQUAL(1.0, pace.slowdown(later));
    }

    void any_samples_leave_finite_values() {
        check_property("estimates stay finite for any samples", [] {
            engine_pace pace;
            instant now{};
            for (int count = 0; count < 100; ++count) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
                const duration took = std::chrono::milliseconds(*rc::gen::inRange(-10, 1'000'000));
                pace.record_prompt_processed(*rc::gen::arbitrary<std::uint32_t>(), took);
                pace.record_events("a", *rc::gen::inRange<std::size_t>(0, 1000), took, now);
                pace.record_stream_end("a", took);
                pace.record_call_end(took);
                RC_ASSERT(std::isfinite(pace.slowdown(now)) && pace.slowdown(now) >= 1);
                RC_ASSERT(std::isfinite(pace.gap_ms("a", now)) && pace.gap_ms("a", now) >= 0);
                RC_ASSERT(std::isfinite(pace.read_ms_per_token()));
                RC_ASSERT(pace.read_ms_per_token() >= 0);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_pace_test);

}  // namespace tallyfold::tests
