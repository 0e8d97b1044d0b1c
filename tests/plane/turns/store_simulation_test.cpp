#include "tests/support/store_world_runs.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

/// Simulates machines that crash and lose their disks one at a time.
class store_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_simulation_test);
    CPPUNIT_TEST(disk_wipes_in_one_group_lose_no_settled_turn);
    CPPUNIT_TEST(disk_wipes_and_moves_between_groups_lose_no_settled_turn);
    CPPUNIT_TEST(the_checks_detect_an_exceeded_budget);
    CPPUNIT_TEST(the_checks_detect_a_settled_turn_reported_as_unknown);
    CPPUNIT_TEST(the_checks_detect_a_store_that_joins_without_copying);
    CPPUNIT_TEST_SUITE_END();

    void disk_wipes_in_one_group_lose_no_settled_turn() {
        const run_totals sum = run_worlds(3, 60, injected_defect::nothing);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sum.first_broken, 0, sum.broken);
        // Guards against runs in which too few faults occur.
        CPPUNIT_ASSERT(sum.wipes > 100);
        CPPUNIT_ASSERT(sum.crashes > 60);
        CPPUNIT_ASSERT(sum.settled > 5'000);
    }

    void disk_wipes_and_moves_between_groups_lose_no_settled_turn() {
        const run_totals sum = run_worlds(13, 60, injected_defect::nothing);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(sum.first_broken, 0, sum.broken);
        CPPUNIT_ASSERT(sum.wipes > 60);
        CPPUNIT_ASSERT(sum.crashes > 40);
        CPPUNIT_ASSERT(sum.retired > 10);
        CPPUNIT_ASSERT(sum.adopted > 200);
        CPPUNIT_ASSERT(sum.refused > 100);
        CPPUNIT_ASSERT(sum.settled > 5'000);
    }

    void the_checks_detect_an_exceeded_budget() {
        CPPUNIT_ASSERT(run_worlds(13, 5, injected_defect::ledger_omitted).broken > 0);
    }

    void the_checks_detect_a_settled_turn_reported_as_unknown() {
        CPPUNIT_ASSERT(run_worlds(13, 5, injected_defect::turn_denied).broken > 0);
    }

    void the_checks_detect_a_store_that_joins_without_copying() {
        CPPUNIT_ASSERT(run_worlds(3, 20, injected_defect::copy_reported_early).broken > 0);
        CPPUNIT_ASSERT(run_worlds(13, 60, injected_defect::copy_reported_early).broken > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_simulation_test);

}  // namespace tallyfold::tests
