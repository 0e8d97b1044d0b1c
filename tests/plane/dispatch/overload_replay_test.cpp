#include "tests/plane/dispatch/load_replay.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace std::chrono_literals;

/// Compares the dispatcher with the former decision under the drawn load of deployment A.
class overload_replay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(overload_replay_test);
    CPPUNIT_TEST(a_usual_load_is_neither_refused_nor_late);
    CPPUNIT_TEST(a_burst_delays_fewer_programs);
    CPPUNIT_TEST(a_hot_tenant_delays_itself);
    CPPUNIT_TEST(expected_waits_are_near_the_real_ones);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int seeds = 6;
    /// Programs that arrive while the load is high, or shortly after.
    static constexpr instant high_from{106s};
    static constexpr instant high_until{113s};

    static bool in_time(const replayed_program& program) {
        return program.end == replay_end::in_time;
    }
    static bool is_hot(const replayed_program& program) {
        return program.tenant == replay_hot_tenant;
    }
    static bool arrived_high(const replayed_program& program) {
        return program.arrived >= high_from && program.arrived < high_until;
    }
    /// Part of the programs for which `holds` that are in time.
    template <class Predicate>
    static double part_in_time(const std::vector<replay_result>& runs, Predicate&& holds) {
        double all = 0;
        double good = 0;
        for (const replay_result& run : runs) {
            all += static_cast<double>(run.count(holds));
            good += static_cast<double>(
                run.count([&](const auto& program) { return holds(program) && in_time(program); }));
        }
        return good / all;
    }
    static std::size_t ended(const replay_result& run, replay_end how) {
        return run.count([&](const auto& program) { return program.end == how; });
    }
    static std::vector<replay_result> replays(replay_load load, bool dispatched) {
        std::vector<replay_result> runs;
        for (load.seed = 1; load.seed <= seeds; ++load.seed) {
            runs.push_back(replay(load, dispatched));
        }
        return runs;
    }
    static double mean_first_event_ms(const std::vector<replay_result>& runs) {
        double total = 0;
        for (const replay_result& run : runs) {
            total +=
                static_cast<double>(to_milliseconds(run.first_event(0.95, high_from, high_until)));
        }
        return total / static_cast<double>(runs.size());
    }
    static bool any(const replayed_program& /*program*/) { return true; }

    void a_usual_load_is_neither_refused_nor_late() {
        for (const replay_result& run : replays({}, true)) {
            CPPUNIT_ASSERT(ended(run, replay_end::in_time) >= run.programs.size() - 2);
            CPPUNIT_ASSERT(ended(run, replay_end::refused_new) == 0);
            CPPUNIT_ASSERT(ended(run, replay_end::refused_running) == 0);
        }
    }

    void a_burst_delays_fewer_programs() {
        const replay_load load{.burst = 2.5};
        const auto former = replays(load, false);
        const auto now = replays(load, true);
        CPPUNIT_ASSERT(part_in_time(now, any) > part_in_time(former, any) + 0.15);
        // Neither route pays for the other one.
        for (const bool is_long : {false, true}) {
            const auto of_route = [&](const auto& program) { return program.is_long == is_long; };
            CPPUNIT_ASSERT(part_in_time(now, of_route) > part_in_time(former, of_route));
        }
        CPPUNIT_ASSERT(mean_first_event_ms(now) < 300);
        CPPUNIT_ASSERT(mean_first_event_ms(now) < 0.6 * mean_first_event_ms(former));
        for (std::size_t index = 0; index < now.size(); ++index) {
            CPPUNIT_ASSERT(now[index].most_beyond_slots * 10 < former[index].most_beyond_slots);
            // Programs under way are kept; refusals fall in the burst and end with it.
            CPPUNIT_ASSERT(ended(now[index], replay_end::refused_running) == 0);
            CPPUNIT_ASSERT(now[index].count([](const auto& program) {
                return program.end == replay_end::refused_new && !arrived_high(program);
            }) == 0);
        }
    }

    void a_hot_tenant_delays_itself() {
        const replay_load load{.hot = 6};
        const auto former = replays(load, false);
        const auto now = replays(load, true);
        const auto others = [](const auto& program) {
            return arrived_high(program) && !is_hot(program);
        };
        const auto hot = [](const auto& program) {
            return arrived_high(program) && is_hot(program);
        };
        CPPUNIT_ASSERT(part_in_time(now, others) > part_in_time(former, others) + 0.25);
        CPPUNIT_ASSERT(part_in_time(now, others) > part_in_time(now, hot));
        CPPUNIT_ASSERT(part_in_time(now, any) > part_in_time(former, any));
    }

    void expected_waits_are_near_the_real_ones() {
        double expected_ms = 0;
        double waited_ms = 0;
        for (const replay_result& run : replays({.burst = 2.5}, true)) {
            for (const replayed_program& program : run.programs) {
                for (const replayed_program::call& call : program.calls) {
                    expected_ms += static_cast<double>(to_milliseconds(call.expected_wait));
                    waited_ms += static_cast<double>(to_milliseconds(call.waited));
                }
            }
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, expected_ms / waited_ms, 0.25);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_replay_test);

}  // namespace tallyfold::tests
