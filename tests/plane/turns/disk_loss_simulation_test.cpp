#include "tests/support/store_world_runs.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

/// Simulates disk losses at any time, and power losses of all machines.
class disk_loss_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(disk_loss_simulation_test);
    CPPUNIT_TEST(turns_are_served_after_a_second_disk_loss_during_a_membership_change);
    CPPUNIT_TEST(successive_disk_losses_lose_no_settled_turn);
    CPPUNIT_TEST_SUITE_END();

    // Guards against refusing turns permanently after a second disk loss during a membership
    // change: two of the three former members are gone, so a majority of them can never reply,
    // although the remaining stores hold all turns.
    void turns_are_served_after_a_second_disk_loss_during_a_membership_change() {
        store_world world(1, 3);
        world.run(1500);
        CPPUNIT_ASSERT(world.forwarder().settled().size() > 10);
        world.lose_second_disk_during_membership_change();
        CPPUNIT_ASSERT(world.serves_new_programs());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.lost_turns().size());
    }

    void successive_disk_losses_lose_no_settled_turn() {
        const run_totals one_group =
            run_worlds(3, 60, injected_defect::nothing, disk_losses::in_series);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(one_group.first_broken, 0, one_group.broken);
        CPPUNIT_ASSERT(one_group.wipes_in_change > 100);
        CPPUNIT_ASSERT(one_group.power_losses > 60);
        CPPUNIT_ASSERT(one_group.settled > 1'000);
        const run_totals several_groups =
            run_worlds(13, 40, injected_defect::nothing, disk_losses::in_series);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(several_groups.first_broken, 0, several_groups.broken);
        CPPUNIT_ASSERT(several_groups.wipes_in_change > 100);
        CPPUNIT_ASSERT(several_groups.settled > 1'000);
        const run_totals group_of_five =
            run_worlds(7, 40, injected_defect::nothing, disk_losses::in_series, 2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(group_of_five.first_broken, 0, group_of_five.broken);
        CPPUNIT_ASSERT(group_of_five.wipes_in_change > 100);
        CPPUNIT_ASSERT(group_of_five.settled > 300);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(disk_loss_simulation_test);

}  // namespace tallyfold::tests
