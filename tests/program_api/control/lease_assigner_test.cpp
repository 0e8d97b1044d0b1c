#include "tallyfold/program_api/control/lease_assigner.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace control;

class lease_assigner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lease_assigner_test);
    CPPUNIT_TEST(joining_scheduler_moves_only_its_share);
    CPPUNIT_TEST(lost_holder_is_replaced_after_the_grace_period);
    CPPUNIT_TEST(draining_holder_is_asked_to_hand_over);
    CPPUNIT_TEST_SUITE_END();

    static std::map<node_name, live_scheduler> live_schedulers(std::size_t count) {
        std::map<node_name, live_scheduler> made;
        for (std::size_t number = 1; number <= count; ++number) {
            made["scheduler-" + std::to_string(number)] = {"ip", false};
        }
        return made;
    }

    void joining_scheduler_moves_only_its_share() {
        std::size_t moved = 0;
        constexpr shard_id shards = 1000;
        for (shard_id shard = 0; shard < shards; ++shard) {
            const node_name before = lease_assigner::preferred_holder(shard, live_schedulers(4));
            const node_name after = lease_assigner::preferred_holder(shard, live_schedulers(5));
            if (before != after) {
                CPPUNIT_ASSERT_EQUAL(node_name("scheduler-5"), after);
                ++moved;
            }
        }
        CPPUNIT_ASSERT(moved > shards / 8);
        CPPUNIT_ASSERT(moved < shards / 3);
    }

    void lost_holder_is_replaced_after_the_grace_period() {
        lease_assigner assigner;
        const instant now(std::chrono::seconds(10));
        assigner.start_grace(now);
        const std::map<shard_id, journal::shard_lease> shards{{0, {3, "gone"}}};
        CPPUNIT_ASSERT(assigner.decide(shards, live_schedulers(2), now - std::chrono::seconds(1))
                           .assignments.empty());
        const auto plan = assigner.decide(shards, live_schedulers(2), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.assignments.size());
        CPPUNIT_ASSERT_EQUAL(lease_epoch{3}, plan.assignments[0].expected_epoch);
    }

    void draining_holder_is_asked_to_hand_over() {
        lease_assigner assigner;
        auto schedulers = live_schedulers(2);
        schedulers["scheduler-1"].draining = true;
        const std::map<shard_id, journal::shard_lease> shards{{0, {3, "scheduler-1"}}};
        const auto plan = assigner.decide(shards, schedulers, instant(std::chrono::seconds(10)));
        CPPUNIT_ASSERT(plan.assignments.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.hand_over.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_assigner_test);

}  // namespace tallyfold::tests
