#include <algorithm>
#include <random>

#include "tests/plane/tenants/quota_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class quota_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quota_test);
    CPPUNIT_TEST(far_below_the_limit_nothing_is_refused);
    CPPUNIT_TEST(far_above_the_limit_just_the_limit_is_let_in);
    CPPUNIT_TEST(the_bound_holds_under_faults);
    CPPUNIT_TEST(the_bound_holds_when_permits_come_back_late);
    CPPUNIT_TEST(the_bound_holds_when_all_power_is_lost);
    CPPUNIT_TEST(the_bound_holds_while_nodes_restart_and_the_keeper_changes);
    CPPUNIT_TEST(the_bound_holds_under_all_faults_at_once);
    CPPUNIT_TEST(the_bound_holds_at_many_nodes_under_all_faults_at_once);
    CPPUNIT_TEST(permits_at_hand_elsewhere_refuse_nobody);
    CPPUNIT_TEST(a_keeper_that_is_new_alone_lends_the_whole_limit);
    CPPUNIT_TEST(without_the_bound_faults_are_noticed);
    CPPUNIT_TEST(permits_of_dead_and_frozen_nodes_come_back);
    CPPUNIT_TEST(a_lowered_limit_binds_after_a_window);
    CPPUNIT_TEST(a_silent_keeper_stops_nobody_who_keeps_his_pace);
    CPPUNIT_TEST(a_tenant_without_a_limit_needs_no_permit);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t node_count = 12;
    /// So many that each has few of a tenant's calls, or none, within a window.
    static constexpr std::size_t many_nodes = 69;

    static quota_world world(std::uint64_t seed, double rate) {
        return {seed, node_count, limited_tenant("t", rate, rate), quota_rules{}};
    }

    static void require_within_bound(const quota_world& played, std::uint64_t seed) {
        CPPUNIT_ASSERT_MESSAGE(
            "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
            static_cast<double>(played.max_in_window()) <= played.bound());
    }

    void far_below_the_limit_nothing_is_refused() {
        quota_world calm = world(1, 100);
        calm.run(std::chrono::seconds(20), 60);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, calm.refused);
    }

    void far_above_the_limit_just_the_limit_is_let_in() {
        quota_world pressed = world(2, 50);
        pressed.run(std::chrono::seconds(30), 400);
        CPPUNIT_ASSERT(pressed.refused > 0);
        CPPUNIT_ASSERT(static_cast<double>(pressed.max_in_window()) <= pressed.bound());
        // In the long run the rate comes through, not less: permits don't get lost.
        const double let_in =
            static_cast<double>(pressed.let_in_since(pressed.now - std::chrono::seconds(15)));
        CPPUNIT_ASSERT(let_in >= 15 * 50 * 0.95);
    }

    /// @param restarts nodes restart, and no keeper changes; otherwise the other way round
    static void play_faults(quota_world& played, std::uint64_t seed, bool restarts) {
        std::mt19937_64 random(seed);
        for (int round = 0; round < 24; ++round) {
            switch (random() % 6) {
                case 0:
                case 2:
                    restarts ? played.restart(random() % node_count) : played.change_keeper();
                    break;
                case 1:
                    played.freeze(random() % node_count, milliseconds(random() % 7'000));
                    break;
                case 3:
                    played.loss = static_cast<double>(random() % 40) / 100;
                    break;
                case 4:
                    played.loss = 0;
                    break;
                default:
                    played.keeper_reachable = !played.keeper_reachable;
                    break;
            }
            played.run(milliseconds(100 + random() % 1'400), 30 + random() % 500);
            if (random() % 2 == 0) {
                played.keeper_reachable = true;
            }
        }
    }

    /// Restarted nodes and changed keepers apart; the_bound_holds_under_all_faults_at_once has
    /// both.
    void the_bound_holds_under_faults() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            play_faults(played, seed, seed % 2 == 0);
            const auto without_lender = static_cast<double>(played.max_silences());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
                static_cast<double>(played.max_in_window()) <= played.bound() + without_lender);
        }
    }

    // Within five seconds 474 of a tenant's requests ran where 416 are allowed, in 47 of these 60
    // seeds over the bound, without any fault. Half of the calls waited for up to three seconds and
    // then didn't run, so that their permits went back. Cause: a permit given back was taken out of
    // the newest slot of the node's window, whenever it had been spent. Calls that had run just now
    // went uncounted, and the lender lent their permits once more. Shown by: with each permit taken
    // out of the slot that it went into, 375 at most.
    void the_bound_holds_when_permits_come_back_late() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            played.late_returns = 0.5;
            played.run(std::chrono::seconds(6), 30);
            std::mt19937_64 random(seed);
            for (int round = 0; round < 8; ++round) {
                const duration length = milliseconds(1'000 + random() % 3'000);
                played.run(length, 60 * (0.5 + static_cast<double>(random() % 8)));
            }
            require_within_bound(played, seed);
            CPPUNIT_ASSERT(played.taken_back > 0);
        }
    }

    // Within five seconds 140 of a tenant's requests ran where 99 are allowed, in fleets of real
    // processes; in this world 835 at most where 416 are allowed, over the bound in 59 of 60 seeds.
    // All machines lost power while the tenant pressed against its limit, and came back within two
    // seconds.
    // Cause: a new lender lent the whole limit at once. It knows what living nodes have spent, but
    // the nodes were new too, so nobody knew what had been spent in the window before. That much
    // had often been spent in one moment, when a window before had ended, so no lender without that
    // knowledge could have lent anything.
    // Shown by: limits_hold in eight of twelve runs with real processes, each time in a window that
    // holds the loss of power; here, all that was over came from the first second of a new lender.
    // With a bound on what is spent in each shorter span, and a lender that lends at the rate in
    // its first window: 372 at most.
    void the_bound_holds_when_all_power_is_lost() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            std::mt19937_64 random(seed);
            for (int round = 0; round < 4; ++round) {
                played.run(milliseconds(1'500 + random() % 7'000), 100 + random() % 500);
                played.lose_power(milliseconds(200 + random() % 1'800));
            }
            played.run(std::chrono::seconds(7), 300);
            const auto without_lender = static_cast<double>(played.max_silences());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
                static_cast<double>(played.max_in_window()) <= played.bound() + without_lender);
            // What is forgotten costs a window, not more.
            const double let_in =
                static_cast<double>(played.let_in_since(played.now - std::chrono::seconds(2)));
            CPPUNIT_ASSERT(let_in >= 2 * 60 * 0.8);
        }
    }

    // 107 of a tenant's requests ran within five seconds where 106 are allowed, on a played day; in
    // this world 511 at most where 416 are allowed, over the bound in all 60 seeds. Nodes restarted
    // one after the other, and the lender changed.
    // Cause: what a node has spent is known to itself and to the lender that it told. When both are
    // gone, the next lender counts only what living nodes tell, and lent the difference to the
    // limit once more. Shown by: the lender that changes knows all nodes that restarted before, the
    // one after it none of their former lives; with a bound on what is spent in each shorter span,
    // and a lender that lends at the rate in its first window: 317 at most. That the played day
    // went this way is inferred from a replay, which kept the limit: there quota_keeper_started
    // named another node.
    void the_bound_holds_while_nodes_restart_and_the_keeper_changes() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            std::mt19937_64 random(seed);
            std::size_t next = 0;
            for (int round = 0; round < 12; ++round) {
                played.run(milliseconds(300 + random() % 600), 100 + random() % 500);
                played.restart(next++ % node_count);
                if (round % 5 == 4) {
                    played.change_keeper();
                }
            }
            const auto without_lender = static_cast<double>(played.max_silences());
            CPPUNIT_ASSERT_MESSAGE(
                "seed " + std::to_string(seed) + ": " + std::to_string(played.max_in_window()),
                static_cast<double>(played.max_in_window()) <= played.bound() + without_lender);
        }
    }

    /// A drawn sequence of lost power, restarts, changed lenders and frozen nodes, any of them
    /// again before the last one's window has ended.
    static void play_all_faults(quota_world& played, std::uint64_t seed, std::size_t nodes,
                                double rate) {
        std::mt19937_64 random(seed);
        played.late_returns = seed % 2 == 0 ? 0 : 0.3;
        for (int round = 0; round < 14; ++round) {
            switch (random() % 5) {
                case 0:
                    played.change_keeper();
                    break;
                case 1:
                    played.lose_power(milliseconds(100 + random() % 1'500));
                    break;
                case 2:
                    played.restart(random() % nodes);
                    break;
                case 3:
                    played.freeze(random() % nodes, milliseconds(random() % 7'000));
                    break;
                default:
                    for (std::size_t number = 0; number < nodes; number += 2) {
                        played.restart(number);
                    }
                    played.change_keeper();
                    break;
            }
            const duration length = milliseconds(100 + random() % 1'500);
            played.run(length, rate * (0.5 + static_cast<double>(random() % 10)));
        }
    }

    void the_bound_holds_under_all_faults_at_once() {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            quota_world played = world(seed, 60);
            play_all_faults(played, seed, node_count, 60);
            require_within_bound(played, seed);
        }
    }

    // 113 of a tenant's requests ran where 86 are allowed, over the bound in 7 of these 20 seeds:
    // at 69 nodes, after a loss of power or a change of the lender, with calls at most nodes at
    // once. Cause: while a new lender settled, a node that it had refused let one call in all the
    // same, though it had no pace of its own: it had been let nothing since its start. Of the
    // lender's pace nothing was left over for 69 such calls. Shown by: the same seeds, where only
    // nodes that were let some of late go on without the lender: 60 at most.
    void the_bound_holds_at_many_nodes_under_all_faults_at_once() {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            quota_world played{seed, many_nodes, limited_tenant("t", 10, 10), quota_rules{}};
            play_all_faults(played, seed, many_nodes, 10);
            require_within_bound(played, seed);
        }
    }

    // 15 in 100 calls of a tenant that used 62 in 100 of its rate were refused at 69 nodes, without
    // any fault. Each node was lent a permit for calls to come, until all of them together reached
    // the bound, and a call at a node without one was refused though the tenant was far below its
    // limit. A part of the burst tolerance is kept for calls that wait.
    void permits_at_hand_elsewhere_refuse_nobody() {
        quota_world calm{1, many_nodes, limited_tenant("t", 10, 9), quota_rules{}};
        calm.run(std::chrono::seconds(17), 6.2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, calm.refused);
    }

    void a_keeper_that_is_new_alone_lends_the_whole_limit() {
        quota_world played = world(8, 100);
        played.run(std::chrono::seconds(8), 60);
        const std::uint64_t before = played.refused;
        played.change_keeper();
        played.run(std::chrono::seconds(4), 60);
        CPPUNIT_ASSERT(played.refused - before <= 3);
    }

    /// Shows that the checks above see a keeper that forgets what it lent, and doesn't know that it
    /// is new, where the nodes that could tell it have restarted too.
    void without_the_bound_faults_are_noticed() {
        quota_world played = world(3, 60);
        std::size_t most = 0;
        for (int round = 0; round < 20; ++round) {
            played.run(milliseconds(600), 600);
            for (std::size_t number = 0; number < node_count; ++number) {
                played.restart(number);
            }
            played.keeper().start(played.now - std::chrono::seconds(10));
            most = std::max(most, played.max_in_window());
        }
        CPPUNIT_ASSERT(static_cast<double>(most) > played.bound());
    }

    void permits_of_dead_and_frozen_nodes_come_back() {
        quota_world played = world(4, 50);
        played.run(std::chrono::seconds(6), 300);
        for (std::size_t number = 0; number < node_count; number += 2) {
            played.restart(number);
            played.freeze(number + 1, std::chrono::seconds(4));
        }
        played.run(std::chrono::seconds(12), 300);
        const double let_in =
            static_cast<double>(played.let_in_since(played.now - std::chrono::seconds(5)));
        CPPUNIT_ASSERT(let_in >= 5 * 50 * 0.95);
        CPPUNIT_ASSERT(played.taken_back > 0);
    }

    void a_lowered_limit_binds_after_a_window() {
        quota_world played = world(5, 200);
        played.run(std::chrono::seconds(6), 180);
        played.change_limit(20, 20);
        played.run(std::chrono::seconds(6), 180);
        const instant since = played.now;
        played.run(std::chrono::seconds(5), 180);
        CPPUNIT_ASSERT(static_cast<double>(played.let_in_since(since)) <= played.bound());
    }

    void a_silent_keeper_stops_nobody_who_keeps_his_pace() {
        quota_world played = world(6, 100);
        played.run(std::chrono::seconds(6), 60);
        const std::uint64_t before = played.refused;
        played.keeper_reachable = false;
        played.run(milliseconds(1'500), 60);
        // Nodes bridge an election with the permits at hand and their own pace.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(played.refused - before),
                               played.refused - before <= 9);
        played.keeper_reachable = true;
        played.change_keeper();
        const std::uint64_t after = played.refused;
        played.run(std::chrono::seconds(5), 60);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(played.refused - after), played.refused - after <= 3);
    }

    void a_tenant_without_a_limit_needs_no_permit() {
        permit_holder holder(quota_rules{}, "n", 1);
        holder.use({limited_tenant("free", 0, 0), limited_tenant("t", 10, 10)});
        CPPUNIT_ASSERT(holder.take("free", beginning));
        CPPUNIT_ASSERT(!holder.take("t", beginning));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.active());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

}  // namespace tallyfold::tests
