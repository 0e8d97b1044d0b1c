/// @file
/// Guards against clients that take more than the process has, and against ordinary clients that
/// are locked out by those that don't behave.

#include "tallyfold/plane/resources/client_budget.hpp"

#include <rapidcheck.h>

#include <vector>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace resources;

class client_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(client_budget_test);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST(large_reservations_leave_room_to_small_ones);
    CPPUNIT_TEST(one_large_reservation_is_always_granted);
    CPPUNIT_TEST(stalled_reader_gives_way_to_a_newer_one);
    CPPUNIT_TEST(trickle_is_no_progress);
    CPPUNIT_TEST(slow_reader_that_makes_progress_stays);
    CPPUNIT_TEST(stalled_message_gives_way_before_a_kept_connection);
    CPPUNIT_TEST(served_connection_never_gives_way);
    CPPUNIT_TEST(groups_do_not_lock_each_other_out);
    CPPUNIT_TEST(random_sequences_stay_within_the_limits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t mib = 1U << 20U;
    static constexpr instant start{std::chrono::seconds(100)};

    static budget_limits limits() {
        budget_limits chosen;
        chosen.bytes = 12 * mib;
        chosen.large_bytes = 8 * mib;
        chosen.connections.fill(3);
        return chosen;
    }
    static client_id open_reader(client_budget& budget, instant now) {
        const client_id id = budget.open(client_group::callers, now);
        budget.set_stage(id, client_stage::reading, now);
        return id;
    }

    void memory_is_bounded() {
        client_budget budget(limits());
        std::uint64_t granted = 0;
        for (int count = 0; count < 1'000; ++count) {
            const client_id id = open_reader(budget, start);
            granted += budget.reserve(id, client_budget::max_small_bytes) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{96}, granted);
        CPPUNIT_ASSERT_EQUAL(12 * mib, budget.reserved_bytes());
    }

    void large_reservations_leave_room_to_small_ones() {
        client_budget budget(limits());
        const client_id first = open_reader(budget, start);
        const client_id second = open_reader(budget, start);
        const client_id small = open_reader(budget, start);
        CPPUNIT_ASSERT(budget.reserve(first, 7 * mib));
        CPPUNIT_ASSERT(!budget.reserve(second, 2 * mib));
        CPPUNIT_ASSERT(budget.reserve(small, client_budget::max_small_bytes));
    }

    void one_large_reservation_is_always_granted() {
        client_budget budget(limits());
        const client_id small = open_reader(budget, start);
        const client_id large = open_reader(budget, start);
        CPPUNIT_ASSERT(budget.reserve(small, client_budget::max_small_bytes));
        CPPUNIT_ASSERT(budget.reserve(large, 100 * mib));
        CPPUNIT_ASSERT(!budget.reserve(open_reader(budget, start), 2 * mib));
    }

    void stalled_reader_gives_way_to_a_newer_one() {
        client_budget budget(limits());
        const client_id stalled = open_reader(budget, start);
        CPPUNIT_ASSERT(budget.reserve(stalled, 8 * mib));
        const instant later = start + client_budget::stall_time;
        const client_id newer = open_reader(budget, later);
        CPPUNIT_ASSERT(!budget.reserve(newer, 4 * mib));
        const auto before =
            budget.memory_victim(newer, 4 * mib, later - std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(!before);
        const auto victim = budget.memory_victim(newer, 4 * mib, later);
        CPPUNIT_ASSERT(victim == stalled);
        budget.close(stalled);
        CPPUNIT_ASSERT(budget.reserve(newer, 4 * mib));
    }

    void trickle_is_no_progress() {
        client_budget budget(limits());
        const client_id trickling = open_reader(budget, start);
        CPPUNIT_ASSERT(budget.reserve(trickling, 8 * mib));
        instant now = start;
        for (int count = 0; count < 10; ++count) {
            now += std::chrono::milliseconds(500);
            budget.record_bytes(trickling, 1, now);
        }
        const client_id newer = open_reader(budget, now);
        CPPUNIT_ASSERT(budget.memory_victim(newer, 4 * mib, now) == trickling);
    }

    void slow_reader_that_makes_progress_stays() {
        client_budget budget(limits());
        const client_id slow = open_reader(budget, start);
        CPPUNIT_ASSERT(budget.reserve(slow, 8 * mib));
        const instant later = start + std::chrono::minutes(1);
        budget.record_bytes(slow, client_budget::progress_step_bytes, later);
        const client_id newer = open_reader(budget, later);
        CPPUNIT_ASSERT(!budget.memory_victim(newer, 4 * mib, later));
    }

    void stalled_message_gives_way_before_a_kept_connection() {
        client_budget budget(limits());
        const client_id kept = budget.open(client_group::callers, start);
        budget.set_stage(kept, client_stage::kept, start);
        const client_id half = open_reader(budget, start + std::chrono::seconds(1));
        const client_id arriving = open_reader(budget, start + std::chrono::seconds(3));
        const instant now = start + std::chrono::seconds(3);
        CPPUNIT_ASSERT(budget.is_full(client_group::callers));
        CPPUNIT_ASSERT(budget.connection_victim(client_group::callers, now) == half);
        budget.close(half);
        CPPUNIT_ASSERT(budget.connection_victim(client_group::callers, now) == kept);
        budget.close(kept);
        CPPUNIT_ASSERT(!budget.connection_victim(client_group::callers, now));
        budget.close(arriving);
    }

    void served_connection_never_gives_way() {
        client_budget budget(limits());
        const client_id served = open_reader(budget, start);
        CPPUNIT_ASSERT(budget.reserve(served, 8 * mib));
        budget.set_stage(served, client_stage::serving, start);
        const instant later = start + std::chrono::hours(1);
        const client_id newer = open_reader(budget, later);
        CPPUNIT_ASSERT(!budget.memory_victim(newer, 4 * mib, later));
        budget.close(newer);
        CPPUNIT_ASSERT(!budget.connection_victim(client_group::callers, later));
    }

    void groups_do_not_lock_each_other_out() {
        client_budget budget(limits());
        for (int count = 0; count < 3; ++count) {
            budget.open(client_group::readiness, start);
        }
        CPPUNIT_ASSERT(budget.is_full(client_group::readiness));
        CPPUNIT_ASSERT(!budget.is_full(client_group::metrics));
        CPPUNIT_ASSERT(!budget.connection_victim(client_group::metrics, start));
    }

    /// Applies one random step; evicts as client_registry does.
    static void apply_step(client_budget& budget, std::vector<client_id>& open, instant now) {
        const int step = *rc::gen::inRange(0, 5);
        if (step == 0 || open.empty()) {
            open.push_back(open_reader(budget, now));
            return;
        }
        const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
        const client_id id = open[index];
        if (step == 1) {
            budget.close(id);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (step == 2) {
            budget.record_bytes(id, *rc::gen::inRange<std::uint64_t>(0, 8'192), now);
        } else if (step == 3) {
            budget.set_stage(id, static_cast<client_stage>(*rc::gen::inRange(0, 5)), now);
        } else {
            const auto bytes = *rc::gen::inRange<std::uint64_t>(0, 3 * mib);
            while (!budget.reserve(id, bytes)) {
                const auto victim = budget.memory_victim(id, bytes, now);
                if (!victim) {
                    break;
                }
                RC_ASSERT(*victim != id);
                budget.close(*victim);
                std::erase(open, *victim);
            }
        }
    }

    void random_sequences_stay_within_the_limits() {
        const bool holds = rc::check("reservations stay within the limits and come back", [] {
            client_budget budget(limits());
            std::vector<client_id> open;
            instant now = start;
            const int steps = *rc::gen::inRange(1, 200);
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 800));
                apply_step(budget, open, now);
                RC_ASSERT(budget.reserved_bytes() <= budget.limits().bytes);
            }
            for (const client_id id : open) {
                budget.close(id);
            }
            RC_ASSERT(budget.reserved_bytes() == 0U);
            RC_ASSERT(budget.connections(client_group::callers) == 0U);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_budget_test);

}  // namespace tallyfold::tests
