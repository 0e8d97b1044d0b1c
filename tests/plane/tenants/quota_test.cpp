#include <algorithm>
#include <random>

#include "tests/plane/tenants/quota_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class quota_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_test);
    CPPUNIT_TEST(no_call_is_refused_far_below_the_limit);
    CPPUNIT_TEST(overload_is_admitted_up_to_the_limit);
    CPPUNIT_TEST(the_bound_holds_under_faults);
    CPPUNIT_TEST(the_bound_holds_when_permits_are_returned_late);
    CPPUNIT_TEST(the_bound_holds_after_a_loss_of_power);
    CPPUNIT_TEST(the_bound_holds_while_nodes_restart_and_the_lender_changes);
    CPPUNIT_TEST(the_bound_holds_under_all_faults_at_once);
    CPPUNIT_TEST(the_bound_holds_at_many_nodes_under_all_faults_at_once);
    CPPUNIT_TEST(spare_permits_at_other_nodes_cause_no_refusals);
    CPPUNIT_TEST(spare_permits_at_other_nodes_refuse_no_new_programs);
    CPPUNIT_TEST(the_bound_holds_for_new_programs);
    CPPUNIT_TEST(a_change_of_lender_alone_causes_few_refusals);
    CPPUNIT_TEST(the_loss_of_all_lender_state_is_detected);
    CPPUNIT_TEST(permits_of_dead_and_frozen_nodes_are_recovered);
    CPPUNIT_TEST(a_lowered_limit_applies_after_a_window);
    CPPUNIT_TEST(an_unreachable_lender_causes_few_refusals_at_a_steady_rate);
    CPPUNIT_TEST(an_unlimited_tenant_needs_no_permit);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t node_count = 12;
    /// Enough nodes that each has few of a tenant's calls, or none, within a window.
    static constexpr std::size_t many_nodes = 69;

    static quota_world world(std::uint64_t seed, double rate) {
        return {seed, node_count, limited_tenant("t", rate, rate), quota_rules{}};
    }

    static void require_within_bound(const quota_world& simulation, std::uint64_t seed) {
        CPPUNIT_ASSERT_MESSAGE(
            "seed " + std::to_string(seed) + ": " + std::to_string(simulation.max_in_window()),
            static_cast<double>(simulation.max_in_window()) <= simulation.bound());
    }

    void no_call_is_refused_far_below_the_limit() {
        quota_world underloaded = world(1, 100);
        underloaded.run(std::chrono::seconds(20), 60);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, underloaded.refused);
    }

    void overload_is_admitted_up_to_the_limit() {
        quota_world overloaded = world(2, 50);
        overloaded.run(std::chrono::seconds(30), 400);
        CPPUNIT_ASSERT(overloaded.refused > 0);
        CPPUNIT_ASSERT(static_cast<double>(overloaded.max_in_window()) <= overloaded.bound());
        // In the long run the full rate is admitted: no permits are lost.
        const double admitted = static_cast<double>(
            overloaded.admitted_since(overloaded.now - std::chrono::seconds(15)));
        CPPUNIT_ASSERT(admitted >= 15 * 50 * 0.95);
    }

    /// @param restarts true: nodes restart and the lender stays; false: the lender changes and no
    /// node restarts
    static void inject_faults(quota_world& simulation, std::uint64_t seed, bool restarts) {
        std::mt19937_64 random(seed);
        for (int round = 0; round < 24; ++round) {
            switch (random() % 6) {
                case 0:
                case 2:
                    restarts ? simulation.restart(random() % node_count)
                             : simulation.change_lender();
                    break;
                case 1:
                    simulation.freeze(random() % node_count, milliseconds(random() % 7'000));
                    break;
                case 3:
                    simulation.message_loss = static_cast<double>(random() % 40) / 100;
                    break;
                case 4:
                    simulation.message_loss = 0;
                    break;
                default:
                    simulation.lender_reachable = !simulation.lender_reachable;
                    break;
            }
            simulation.run(milliseconds(100 + random() % 1'400), 30 + random() % 500);
            if (random() % 2 == 0) {
                simulation.lender_reachable = true;
            }
        }
    }

    /// Restarts and lender changes separately; the_bound_holds_under_all_faults_at_once combines
    /// them.
    void the_bound_holds_under_faults() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world simulation = world(seed, 60);
            inject_faults(simulation, seed, seed % 2 == 0);
            const auto without_lender = static_cast<double>(simulation.max_lender_losses());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(simulation.max_in_window()),
                static_cast<double>(simulation.max_in_window()) <=
                    simulation.bound() + without_lender);
        }
    }

    // Permits returned late must be removed from the slot in which they were counted. Removed from
    // the newest slot, they left calls that had just run uncounted, and the lender lent their
    // permits again.
    void the_bound_holds_when_permits_are_returned_late() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world simulation = world(seed, 60);
            simulation.late_return_share = 0.5;
            simulation.run(std::chrono::seconds(6), 30);
            std::mt19937_64 random(seed);
            for (int round = 0; round < 8; ++round) {
                const duration length = milliseconds(1'000 + random() % 3'000);
                simulation.run(length, 60 * (0.5 + static_cast<double>(random() % 8)));
            }
            require_within_bound(simulation, seed);
            CPPUNIT_ASSERT(simulation.returned > 0);
        }
    }

    // After a loss of power neither the nodes nor the new lender know what was spent in the last
    // window. A lender that lends the whole limit at once then exceeds the bound.
    void the_bound_holds_after_a_loss_of_power() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world simulation = world(seed, 60);
            std::mt19937_64 random(seed);
            for (int round = 0; round < 4; ++round) {
                simulation.run(milliseconds(1'500 + random() % 7'000), 100 + random() % 500);
                simulation.lose_power(milliseconds(200 + random() % 1'800));
            }
            simulation.run(std::chrono::seconds(7), 300);
            const auto without_lender = static_cast<double>(simulation.max_lender_losses());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(simulation.max_in_window()),
                static_cast<double>(simulation.max_in_window()) <=
                    simulation.bound() + without_lender);
            // Lost state delays calls for a window at most.
            const double admitted = static_cast<double>(
                simulation.admitted_since(simulation.now - std::chrono::seconds(2)));
            CPPUNIT_ASSERT(admitted >= 2 * 60 * 0.8);
        }
    }

    // When a node and the lender that had its reports are both gone, the next lender doesn't know
    // what that node spent, and must not lend the difference to the limit again.
    void the_bound_holds_while_nodes_restart_and_the_lender_changes() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world simulation = world(seed, 60);
            std::mt19937_64 random(seed);
            std::size_t next = 0;
            for (int round = 0; round < 12; ++round) {
                simulation.run(milliseconds(300 + random() % 600), 100 + random() % 500);
                simulation.restart(next++ % node_count);
                if (round % 5 == 4) {
                    simulation.change_lender();
                }
            }
            const auto without_lender = static_cast<double>(simulation.max_lender_losses());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(simulation.max_in_window()),
                static_cast<double>(simulation.max_in_window()) <=
                    simulation.bound() + without_lender);
        }
    }

    /// Random sequence of power losses, restarts, lender changes and frozen nodes, which may
    /// overlap within a window.
    static void inject_all_faults(quota_world& simulation, std::uint64_t seed, std::size_t nodes,
                                  double rate) {
        std::mt19937_64 random(seed);
        simulation.late_return_share = seed % 2 == 0 ? 0 : 0.3;
        for (int round = 0; round < 14; ++round) {
            switch (random() % 5) {
                case 0:
                    simulation.change_lender();
                    break;
                case 1:
                    simulation.lose_power(milliseconds(100 + random() % 1'500));
                    break;
                case 2:
                    simulation.restart(random() % nodes);
                    break;
                case 3:
                    simulation.freeze(random() % nodes, milliseconds(random() % 7'000));
                    break;
                default:
                    for (std::size_t number = 0; number < nodes; number += 2) {
                        simulation.restart(number);
                    }
                    simulation.change_lender();
                    break;
            }
            const duration length = milliseconds(100 + random() % 1'500);
            simulation.run(length, rate * (0.5 + static_cast<double>(random() % 10)));
        }
    }

    void the_bound_holds_under_all_faults_at_once() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world simulation = world(seed, 60);
            inject_all_faults(simulation, seed, node_count, 60);
            require_within_bound(simulation, seed);
        }
    }

    // While a new lender settles, a node without recently granted permits must not admit a call by
    // itself: one call at each of many nodes exceeds the bound.
    void the_bound_holds_at_many_nodes_under_all_faults_at_once() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            quota_world simulation{seed, many_nodes, limited_tenant("t", 10, 10), quota_rules{}};
            inject_all_faults(simulation, seed, many_nodes, 10);
            require_within_bound(simulation, seed);
        }
    }

    // Permits held in advance at other nodes must not cause refusals far below the limit: part of
    // the burst tolerance is reserved for waiting calls.
    void spare_permits_at_other_nodes_cause_no_refusals() {
        quota_world underloaded{1, many_nodes, limited_tenant("t", 10, 9), quota_rules{}};
        underloaded.run(std::chrono::seconds(17), 6.2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, underloaded.refused);
    }

    /// New programs at many nodes, at half of the limit: none is refused once the lender has been
    /// there for a window, at first and after a loss of power.
    void spare_permits_at_other_nodes_refuse_no_new_programs() {
        for (const double rate : {12.0, 30.0}) {
            quota_world simulation{1, many_nodes, limited_tenant("t", rate, rate), quota_rules{}};
            simulation.need = permit_need::new_program;
            for (int lender = 0; lender < 2; ++lender) {
                simulation.run(std::chrono::seconds(6), rate / 2);
                const std::uint64_t before = simulation.refused;
                simulation.run(std::chrono::seconds(15), rate / 2);
                CPPUNIT_ASSERT_EQUAL(before, simulation.refused);
                simulation.lose_power(std::chrono::seconds(1));
            }
        }
    }

    void the_bound_holds_for_new_programs() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            quota_world simulation = world(seed, 30);
            simulation.need = permit_need::new_program;
            std::mt19937_64 random(seed);
            for (int round = 0; round < 6; ++round) {
                simulation.run(milliseconds(500 + random() % 4'000), 400);
                simulation.lose_power(milliseconds(100 + random() % 1'500));
            }
            require_within_bound(simulation, seed);
        }
    }

    void a_change_of_lender_alone_causes_few_refusals() {
        quota_world simulation = world(8, 100);
        simulation.run(std::chrono::seconds(8), 60);
        const std::uint64_t before = simulation.refused;
        simulation.change_lender();
        simulation.run(std::chrono::seconds(4), 60);
        CPPUNIT_ASSERT(simulation.refused - before <= 3);
    }

    /// Shows that the checks above detect a lender that has lost its state and lends as if it were
    /// not new, when the nodes that could report to it have restarted too.
    void the_loss_of_all_lender_state_is_detected() {
        quota_world simulation = world(3, 60);
        std::size_t most = 0;
        for (int round = 0; round < 20; ++round) {
            simulation.run(milliseconds(600), 600);
            for (std::size_t number = 0; number < node_count; ++number) {
                simulation.restart(number);
            }
            simulation.lender().start(simulation.now - std::chrono::seconds(10));
            most = std::max(most, simulation.max_in_window());
        }
        CPPUNIT_ASSERT(static_cast<double>(most) > simulation.bound());
    }

    void permits_of_dead_and_frozen_nodes_are_recovered() {
        quota_world simulation = world(4, 50);
        simulation.run(std::chrono::seconds(6), 300);
        for (std::size_t number = 0; number < node_count; number += 2) {
            simulation.restart(number);
            simulation.freeze(number + 1, std::chrono::seconds(4));
        }
        simulation.run(std::chrono::seconds(12), 300);
        const double admitted = static_cast<double>(
            simulation.admitted_since(simulation.now - std::chrono::seconds(5)));
        CPPUNIT_ASSERT(admitted >= 5 * 50 * 0.95);
        CPPUNIT_ASSERT(simulation.returned > 0);
    }

    void a_lowered_limit_applies_after_a_window() {
        quota_world simulation = world(5, 200);
        simulation.run(std::chrono::seconds(6), 180);
        simulation.change_limit(20, 20);
        simulation.run(std::chrono::seconds(6), 180);
        const instant since = simulation.now;
        simulation.run(std::chrono::seconds(5), 180);
        CPPUNIT_ASSERT(static_cast<double>(simulation.admitted_since(since)) <= simulation.bound());
    }

    void an_unreachable_lender_causes_few_refusals_at_a_steady_rate() {
        quota_world simulation = world(6, 100);
        simulation.run(std::chrono::seconds(6), 60);
        const std::uint64_t before = simulation.refused;
        simulation.lender_reachable = false;
        simulation.run(milliseconds(1'500), 60);
        // Permits held in advance and the nodes' own rates cover an election.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(simulation.refused - before),
                               simulation.refused - before <= 9);
        simulation.lender_reachable = true;
        simulation.change_lender();
        const std::uint64_t after = simulation.refused;
        simulation.run(std::chrono::seconds(5), 60);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(simulation.refused - after),
                               simulation.refused - after <= 3);
    }

    void an_unlimited_tenant_needs_no_permit() {
        permit_holder holder(quota_rules{}, "n", 1);
        holder.use({limited_tenant("free", 0, 0), limited_tenant("t", 10, 10)});
        CPPUNIT_ASSERT(holder.try_acquire("free", start_time));
        CPPUNIT_ASSERT(!holder.try_acquire("t", start_time));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.tenant_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

}  // namespace tallyfold::tests
