#include "tests/support/separate_losses_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

/// Simulates losses of stores that are a catch-up time apart, as deployments have to bear them.
class separate_losses_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(separate_losses_simulation_test);
    CPPUNIT_TEST(members_hold_what_they_missed_once_they_have_caught_up);
    CPPUNIT_TEST(members_of_several_groups_hold_what_they_missed);
    CPPUNIT_TEST(groups_bear_a_loss_once_a_removed_machine_has_a_successor);
    CPPUNIT_TEST(several_groups_bear_losses_and_removed_machines);
    CPPUNIT_TEST(groups_of_five_bear_losses_and_removed_machines);
    CPPUNIT_TEST_SUITE_END();

    struct deployment {
        std::size_t machines = 0;
        std::uint32_t losses_borne = 1;
        drawn_losses drawn = drawn_losses::of_any_machine;
    };
    /// Guards against runs in which too little happens.
    struct least_totals {
        int losses = 0;
        int replacements = 0;
        std::size_t settled = 0;
    };

    static void check_seeds(std::uint64_t seeds, const deployment& simulated,
                            const least_totals& least) {
        least_totals sum;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            separate_losses_world world(seed, simulated.machines, simulated.losses_borne,
                                        simulated.drawn);
            world.run(std::chrono::seconds(40));
            world.recover();
            const std::string run = "seed " + std::to_string(seed) + ", " + world.describe_groups();
            CPPUNIT_ASSERT_MESSAGE(run, world.serves_new_programs());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run, std::size_t{0}, world.lost_turns().size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run, 0, world.members_behind());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run, 0, world.forwarder().false_unknowns());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run, 0, world.forwarder().overdrawn());
            sum.losses += world.losses();
            sum.replacements += world.replacements();
            sum.settled += world.forwarder().settled().size();
        }
        CPPUNIT_ASSERT(sum.losses > least.losses);
        CPPUNIT_ASSERT(sum.replacements >= least.replacements);
        CPPUNIT_ASSERT(sum.settled > least.settled);
    }

    // Guards against members that never fetch the turns settled while they were down or cut off, so
    // that these stay on a bare majority for as long as they are kept.
    void members_hold_what_they_missed_once_they_have_caught_up() {
        check_seeds(40, {3, 1, drawn_losses::of_returning_machines}, {200, 0, 3'000});
    }

    void members_of_several_groups_hold_what_they_missed() {
        check_seeds(20, {9, 1, drawn_losses::of_returning_machines}, {100, 0, 1'000});
    }

    // Guards against groups that wait so long before they replace a removed machine that the next
    // loss meets too few members.
    void groups_bear_a_loss_once_a_removed_machine_has_a_successor() {
        check_seeds(60, {3, 1, drawn_losses::of_any_machine}, {300, 101, 3'000});
    }

    void several_groups_bear_losses_and_removed_machines() {
        check_seeds(20, {9, 1, drawn_losses::of_any_machine}, {100, 31, 1'000});
    }

    void groups_of_five_bear_losses_and_removed_machines() {
        check_seeds(20, {5, 2, drawn_losses::of_any_machine}, {100, 31, 1'000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(separate_losses_simulation_test);

}  // namespace tallyfold::tests
