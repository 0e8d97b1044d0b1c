#include "tallyfold/plane/directory/store_planner.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using turns::store_id;
using turns::store_map;
using turns::store_member;

class store_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_planner_test);
    CPPUNIT_TEST(first_map_waits_for_enough_stores);
    CPPUNIT_TEST(new_disk_replaces_old_disk_of_same_node);
    CPPUNIT_TEST(new_disk_replaces_old_disk_that_is_still_live);
    CPPUNIT_TEST(change_completes_only_when_new_members_have_copied);
    CPPUNIT_TEST(change_completes_without_copy_at_one_remaining_member);
    CPPUNIT_TEST(group_recovers_from_survivors_of_lost_majority);
    CPPUNIT_TEST(recovery_is_deferred_until_allowed);
    CPPUNIT_TEST(silence_alone_does_not_start_recovery);
    CPPUNIT_TEST(group_without_surviving_disks_recovers_on_new_ones);
    CPPUNIT_TEST(retired_members_remain_copy_sources);
    CPPUNIT_TEST(group_recovers_without_permanently_silent_node);
    CPPUNIT_TEST(recovery_waits_for_unreachable_member);
    CPPUNIT_TEST(returning_member_is_readmitted_as_copy_source);
    CPPUNIT_TEST(after_loss_is_cleared_when_lost_turns_have_expired);
    CPPUNIT_TEST(recovered_group_serves_while_silent_member_is_replaced);
    CPPUNIT_TEST(replanned_recovery_requires_all_survivors);
    CPPUNIT_TEST(change_is_replanned_when_joining_member_is_silent);
    CPPUNIT_TEST(retired_store_is_removed_and_not_readmitted);
    CPPUNIT_TEST(open_retirement_does_not_block_repair_of_another_loss);
    CPPUNIT_TEST(open_retirement_does_not_block_recovery_of_lost_majority);
    CPPUNIT_TEST(open_retirement_completes_when_a_successor_joins);
    CPPUNIT_TEST(retired_member_remains_in_place_of_silent_one);
    CPPUNIT_TEST(retired_store_outside_the_group_never_joins_again);
    CPPUNIT_TEST(group_without_successors_is_reported);
    CPPUNIT_TEST(retirement_is_refused_when_too_few_would_remain);
    CPPUNIT_TEST(replaced_disk_does_not_count_as_remaining_store);
    CPPUNIT_TEST(retirement_before_formation_leaves_one_full_group);
    CPPUNIT_TEST(silent_store_is_removed_while_enough_remain);
    CPPUNIT_TEST(groups_are_spread_over_zones);
    CPPUNIT_TEST(silent_member_is_replaced_by_spare_store);
    CPPUNIT_TEST(groups_never_choose_the_same_store);
    CPPUNIT_TEST(group_does_not_shrink_without_spare_store);
    CPPUNIT_TEST(spare_store_can_be_retired);
    CPPUNIT_TEST(group_returns_to_its_size_after_a_recovery);
    CPPUNIT_TEST(spare_store_copies_as_soon_as_a_member_stops_reporting);
    CPPUNIT_TEST(change_is_withdrawn_when_the_member_returns_before_the_copy);
    CPPUNIT_TEST(change_that_collects_survivors_is_not_withdrawn);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static store_member member(store_id id, const std::string& node) {
        return {id, node, "10.0.0." + node + ":7000", "zone"};
    }
    static directory_state state_with_map(std::vector<store_member> current,
                                          std::vector<store_member> next = {}) {
        directory_state state;
        state.apply(change_store_groups{{store_map{1, std::move(current), std::move(next)}}});
        return state;
    }
    static void report(store_planner& planner, const store_member& store, instant now,
                       turns::map_epoch copied = 0) {
        planner.on_report({store, copied}, now);
    }
    /// The map planned for the only group.
    static std::optional<store_map> planned_map(const store_planner& planner,
                                                const directory_state& state, instant now) {
        const auto change = planner.plan(state, now);
        if (!change.has_value()) {
            return std::nullopt;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change->maps.size());
        return change->maps.front();
    }
    static const std::vector<store_member>& three_stores() {
        static const std::vector<store_member> members{member(1, "1"), member(2, "2"),
                                                       member(3, "3")};
        return members;
    }

    void first_map_waits_for_enough_stores() {
        store_planner planner({});
        planner.start(at(0));
        report(planner, three_stores()[0], at(1600));
        report(planner, three_stores()[1], at(1600));
        CPPUNIT_ASSERT(!planner.plan({}, at(1600)).has_value());
        report(planner, three_stores()[2], at(1600));
        const auto map = planned_map(planner, {}, at(1600));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map->current.size());
        CPPUNIT_ASSERT(!map->changing());
    }

    void new_disk_replaces_old_disk_of_same_node() {
        store_planner planner({});
        planner.start(at(0));
        report(planner, three_stores()[0], at(3000));
        report(planner, three_stores()[1], at(3000));
        report(planner, member(30, "3"), at(3000));
        const auto map = planned_map(planner, state_with_map(three_stores()), at(3000));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT_EQUAL(turns::map_epoch{2}, map->epoch);
        CPPUNIT_ASSERT(map->current == three_stores());
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(30, "3")};
        CPPUNIT_ASSERT(map->next == next);
    }

    void new_disk_replaces_old_disk_that_is_still_live() {
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(2800));
        }
        report(planner, member(30, "3"), at(3000));
        const auto map = planned_map(planner, state_with_map(three_stores()), at(3000));
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(30, "3")};
        CPPUNIT_ASSERT(map.has_value() && map->next == next);
    }

    void change_completes_only_when_new_members_have_copied() {
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(30, "3")};
        const directory_state state = state_with_map(three_stores(), next);
        store_planner planner({});
        planner.start(at(0));
        report(planner, next[0], at(3000), 1);
        report(planner, next[1], at(3000), 1);
        report(planner, next[2], at(3000), 0);
        CPPUNIT_ASSERT(!planner.plan(state, at(3000)).has_value());
        report(planner, next[2], at(3000), 1);
        const auto done = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(done.has_value() && !done->changing());
        CPPUNIT_ASSERT(done->current == next);
    }

    void change_completes_without_copy_at_one_remaining_member() {
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(30, "3")};
        const directory_state state = state_with_map(three_stores(), next);
        store_planner planner({});
        planner.start(at(0));
        report(planner, next[0], at(3000), 0);
        report(planner, next[1], at(3000), 1);
        report(planner, next[2], at(3000), 0);
        CPPUNIT_ASSERT(!planner.plan(state, at(3000)).has_value());
        report(planner, next[2], at(3000), 1);
        const auto done = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(done.has_value() && !done->changing());
        CPPUNIT_ASSERT(done->current == next);
    }

    /// The map planned when two of three disks are lost and the first one's successor has joined
    /// the open change.
    static std::optional<store_map> map_after_two_lost_disks(store_planner& planner,
                                                             const directory_state& state) {
        planner.start(at(0));
        report(planner, member(10, "1"), at(3000));
        report(planner, three_stores()[1], at(3000));
        report(planner, member(30, "3"), at(3000));
        return planned_map(planner, state, at(3000));
    }

    void group_recovers_from_survivors_of_lost_majority() {
        const std::vector<store_member> next{member(10, "1"), three_stores()[1], three_stores()[2]};
        store_planner planner({});
        const auto map = map_after_two_lost_disks(planner, state_with_map(three_stores(), next));
        CPPUNIT_ASSERT(map.has_value() && map->after_loss);
        // The successor may hold turns that are otherwise only on the second lost disk.
        const std::vector<store_member> survivors{three_stores()[1], member(10, "1"),
                                                  member(30, "3")};
        CPPUNIT_ASSERT(map->current == survivors);
        CPPUNIT_ASSERT(map->next == survivors);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map->required_copy_count());
        CPPUNIT_ASSERT(!map->has_current_quorum({2, 10}));
        CPPUNIT_ASSERT(map->has_current_quorum({2, 10, 30}));
    }

    /// Guards against nodes of an older build that would count a majority of the survivors as
    /// sufficient.
    void recovery_is_deferred_until_allowed() {
        const std::vector<store_member> next{member(10, "1"), three_stores()[1], three_stores()[2]};
        const directory_state state = state_with_map(three_stores(), next);
        store_planner planner({});
        planner.allow_recovery(false);
        CPPUNIT_ASSERT(!map_after_two_lost_disks(planner, state).has_value());
        CPPUNIT_ASSERT(planner.any_group_needs_recovery(state, at(3000)));
        planner.allow_recovery(true);
        const auto map = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(map.has_value() && map->after_loss);
    }

    void silence_alone_does_not_start_recovery() {
        store_planner planner({});
        planner.start(at(0));
        report(planner, three_stores()[0], at(60'000));
        CPPUNIT_ASSERT(!planner.plan(state_with_map(three_stores()), at(60'000)).has_value());
    }

    void group_without_surviving_disks_recovers_on_new_ones() {
        store_planner planner({});
        planner.start(at(0));
        for (const char* node : {"1", "2", "3"}) {
            report(planner, member(10 + static_cast<store_id>(node[0]), node), at(3000));
        }
        const auto map = planned_map(planner, state_with_map(three_stores()), at(3000));
        CPPUNIT_ASSERT(map.has_value() && map->after_loss);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map->current.size());
        CPPUNIT_ASSERT(map->current == map->next);
    }

    /// A group with an open change that replaces member 1 by a store on another node.
    static directory_state state_with_open_change() {
        return state_with_map(three_stores(),
                              {member(40, "4"), three_stores()[1], three_stores()[2]});
    }

    void retired_members_remain_copy_sources() {
        directory_state state = state_with_map(three_stores());
        state.apply(retire_store{"1", {1}});
        state.apply(retire_store{"2", {2}});
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(3000));
        }
        for (const char* node : {"4", "5"}) {
            report(planner, member(40 + static_cast<store_id>(node[0]), node), at(3000));
        }
        const auto map = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(map.has_value() && !map->after_loss);
        CPPUNIT_ASSERT(map->current == three_stores());
    }

    // Guards against a group that is blocked for good: a node fails permanently, and another member
    // loses its disk while the change to replace the node is open. The failed node is silent, not
    // known to be lost, so the change must not wait for a majority that needs it.
    void group_recovers_without_permanently_silent_node() {
        directory_state state = state_with_open_change();
        store_planner planner({});
        planner.start(at(0));
        const std::vector<store_member> alive{three_stores()[1], member(40, "4"), member(30, "3")};
        const auto run_until = [&](int& now, int end) {
            for (; now < end; now += 100) {
                for (const store_member& store : alive) {
                    report(planner, store, at(now));
                }
                if (const auto change = planner.plan(state, at(now))) {
                    state.apply(*change);
                }
            }
        };
        int now = 0;
        run_until(now, 6'000);
        // The member may return and may hold the only copy of a turn.
        CPPUNIT_ASSERT(!state.stores().groups.front().after_loss);
        run_until(now, 7'000);
        const store_map& map = state.stores().groups.front();
        CPPUNIT_ASSERT(map.after_loss && map.changing());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map.current.size());
        CPPUNIT_ASSERT(map.absent == std::vector<store_member>{three_stores()[0]});
        CPPUNIT_ASSERT(!map.contains(1));
    }

    void recovery_waits_for_unreachable_member() {
        directory_state state = state_with_map(three_stores());
        store_planner planner({});
        planner.start(at(0));
        for (int now = 0; now < 60'000; now += 100) {
            report(planner, three_stores()[1], at(now));
            report(planner, member(30, "3"), at(now));
            if (const auto change = planner.plan(state, at(now))) {
                state.apply(*change);
            }
            CPPUNIT_ASSERT(!state.stores().groups.front().after_loss);
        }
        CPPUNIT_ASSERT(state.stores().groups.front().contains(1));
    }

    void returning_member_is_readmitted_as_copy_source() {
        const std::vector<store_member> members{three_stores()[1], member(40, "4"),
                                                member(30, "3")};
        directory_state state;
        store_map map_after_loss{1, members, {}, 0, true};
        map_after_loss.absent = {three_stores()[0]};
        state.apply(change_store_groups{{map_after_loss}});
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : members) {
            report(planner, store, at(3000));
        }
        CPPUNIT_ASSERT(!planner.plan(state, at(3000)).has_value());
        report(planner, three_stores()[0], at(3000));
        const auto map = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(map.has_value() && map->after_loss && map->changing());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, map->required_copy_count());
        CPPUNIT_ASSERT(map->contains(1));
        CPPUNIT_ASSERT(map->absent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map->next.size());
    }

    void after_loss_is_cleared_when_lost_turns_have_expired() {
        directory_state state;
        state.apply(change_store_groups{{store_map{1, three_stores(), {}, 0, true}}});
        store_planner planner({});
        planner.start(at(0));
        const auto planned_at = [&](int now) {
            planner.update_incomplete_groups(state, std::chrono::seconds(60), at(now));
            for (const store_member& store : three_stores()) {
                report(planner, store, at(now));
            }
            return planned_map(planner, state, at(now));
        };
        CPPUNIT_ASSERT(!planned_at(3'000).has_value());
        CPPUNIT_ASSERT(!planned_at(63'000).has_value());
        const auto cleared = planned_at(63'100);
        CPPUNIT_ASSERT(cleared.has_value() && !cleared->after_loss);
        CPPUNIT_ASSERT(cleared->current == three_stores() && !cleared->changing());
    }

    // The group has recovered from a loss, and holds every turn at a majority again.
    void recovered_group_serves_while_silent_member_is_replaced() {
        directory_state state;
        store_map recovered{1, three_stores(), {}};
        recovered.after_loss = true;
        state.apply(change_store_groups{{recovered}});
        store_planner planner({});
        planner.start(at(0));
        for (const int time : {0, 7'000}) {
            report(planner, three_stores()[0], at(time));
            report(planner, three_stores()[1], at(time));
            report(planner, member(4, "4"), at(time));
        }
        const auto map = planned_map(planner, state, at(7'000));
        CPPUNIT_ASSERT(map.has_value() && map->changing());
        CPPUNIT_ASSERT(map->has_current_quorum({1, 2}));
        CPPUNIT_ASSERT(!map->has_current_quorum({1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, map->required_copy_count());
        // Turns may still have been lost with the former disks.
        CPPUNIT_ASSERT(map->after_loss);
    }

    // Store 20 joins a recovery from store 1, and fails.
    void replanned_recovery_requires_all_survivors() {
        directory_state state;
        const std::vector<store_member> members{three_stores()[0], member(20, "2"),
                                                member(30, "3")};
        store_map recovering{1, members, members};
        recovering.after_loss = true;
        state.apply(change_store_groups{{recovering}});
        store_planner planner({});
        planner.start(at(0));
        for (const int time : {0, 7'000}) {
            report(planner, members[0], at(time));
            report(planner, members[2], at(time));
            report(planner, member(4, "4"), at(time));
        }
        const auto map = planned_map(planner, state, at(7'000));
        CPPUNIT_ASSERT(map.has_value() && map->changing());
        CPPUNIT_ASSERT(!map->has_current_quorum({1, 30, 4}));
        CPPUNIT_ASSERT(!map->has_current_quorum({20, 30, 4}));
        CPPUNIT_ASSERT(map->has_current_quorum({1, 20, 30, 4}));
    }

    void change_is_replanned_when_joining_member_is_silent() {
        const std::vector<store_member> next{three_stores()[0], three_stores()[1],
                                             three_stores()[2], member(40, "4")};
        const directory_state state = state_with_map(three_stores(), next);
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(3000), 1);
        }
        const auto again = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT(again->current == three_stores());
        CPPUNIT_ASSERT(again->next == three_stores());
    }

    void retired_store_is_removed_and_not_readmitted() {
        std::vector<store_member> four = three_stores();
        four.push_back(member(4, "4"));
        directory_state state = state_with_map(four);
        state.apply(retire_store{"4", {}});
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : four) {
            report(planner, store, at(3000));
        }
        const auto map = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT(map->next == three_stores());
        directory_state after = state_with_map(four, three_stores());
        after.apply(retire_store{"4", {}});
        after.apply(change_store_groups{{store_map{2, three_stores(), {}}}});
        CPPUNIT_ASSERT(!planner.plan(after, at(3000)).has_value());
    }

    /// A group of three stores, the first of which is retired.
    static directory_state state_with_open_retirement() {
        directory_state state = state_with_map(three_stores());
        state.apply(retire_store{"1", {}});
        return state;
    }

    // Guards against a group that is never repaired again: an order to retire a store without a
    // successor made every change of members too small, for losses of other disks as well.
    void open_retirement_does_not_block_repair_of_another_loss() {
        store_planner planner({});
        planner.start(at(0));
        const std::vector<store_member> live{three_stores()[0], member(20, "2"), three_stores()[2]};
        for (const store_member& store : live) {
            report(planner, store, at(3000));
        }
        const auto map = planned_map(planner, state_with_open_retirement(), at(3000));
        CPPUNIT_ASSERT(map.has_value() && map->current == three_stores());
        CPPUNIT_ASSERT(same_members(map->next, live));
    }

    // Guards against the same for a group that has lost a majority of its disks.
    void open_retirement_does_not_block_recovery_of_lost_majority() {
        store_planner planner({});
        planner.start(at(0));
        const std::vector<store_member> live{three_stores()[0], member(20, "2"), member(30, "3")};
        for (const store_member& store : live) {
            report(planner, store, at(3000));
        }
        const auto map = planned_map(planner, state_with_open_retirement(), at(3000));
        CPPUNIT_ASSERT(map.has_value() && map->after_loss);
        CPPUNIT_ASSERT(same_members(map->current, live) && same_members(map->next, live));
    }

    void open_retirement_completes_when_a_successor_joins() {
        directory_state state = state_with_open_retirement();
        store_planner planner({});
        planner.start(at(0));
        std::vector<store_member> live{three_stores()[0], member(20, "2"), three_stores()[2]};
        const auto run_until = [&](int& now, int end) {
            for (; now < end; now += 100) {
                for (const store_member& store : live) {
                    report(planner, store, at(now), state.stores().groups.front().epoch);
                }
                if (const auto change = planner.plan(state, at(now))) {
                    state.apply(*change);
                }
            }
        };
        int now = 0;
        run_until(now, 5'000);
        CPPUNIT_ASSERT(same_members(state.stores().groups.front().current, live));
        CPPUNIT_ASSERT(!state.stores().groups.front().changing());
        live.push_back(member(4, "4"));
        run_until(now, 7'000);
        const std::vector<store_member> remaining{live[1], live[2], live[3]};
        CPPUNIT_ASSERT(same_members(state.stores().groups.front().current, remaining));
        CPPUNIT_ASSERT(!state.stores().groups.front().changing());
    }

    // Guards against a change that completes a retirement by leaving fewer live members.
    void retired_member_remains_in_place_of_silent_one() {
        store_planner planner({});
        planner.start(at(0));
        const std::vector<store_member> live{three_stores()[0], three_stores()[1], member(4, "4")};
        for (const int time : {0, 7'000}) {
            for (const store_member& store : live) {
                report(planner, store, at(time));
            }
        }
        const auto map = planned_map(planner, state_with_open_retirement(), at(7'000));
        CPPUNIT_ASSERT(map.has_value() && same_members(map->next, live));
    }

    // Guards against a member that is removed with its disk: the operator has been told that the
    // store holds nothing any more.
    void retired_store_outside_the_group_never_joins_again() {
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store :
             {member(4, "4"), three_stores()[0], three_stores()[1], member(30, "3")}) {
            report(planner, store, at(3000));
        }
        directory_state state =
            state_with_map({member(4, "4"), three_stores()[1], three_stores()[2]});
        state.apply(retire_store{"1", {1}});
        const auto map = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(map.has_value() && !has_id(map->next, 1));
        state.apply(retire_store{"3", {30}});
        CPPUNIT_ASSERT(!planned_map(planner, state, at(3000)).has_value() ||
                       !has_id(planned_map(planner, state, at(3000))->next, 1));
    }

    void group_without_successors_is_reported() {
        directory_state state = state_with_open_retirement();
        store_planner planner({});
        planner.start(at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, planner.find_unrepaired_groups(state, at(1000)).count);
        for (const int time : {1'000, 8'000}) {
            report(planner, three_stores()[0], at(time));
            report(planner, three_stores()[1], at(time));
        }
        const unrepaired_groups found = planner.find_unrepaired_groups(state, at(8'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.count);
        CPPUNIT_ASSERT(found.first.ends_with(" missing=0 silent=1 retired=1"));
        report(planner, member(4, "4"), at(8'000));
        report(planner, member(5, "5"), at(8'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             planner.find_unrepaired_groups(state, at(8'000)).count);
    }

    static bool may_retire(const store_planner& planner, const directory_state& state,
                           const std::string& node, instant now) {
        return planner.assess_retirement(state, node, {}, now).verdict ==
               retirement_verdict::allowed;
    }

    void retirement_is_refused_when_too_few_would_remain() {
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(7'000));
        }
        CPPUNIT_ASSERT(!may_retire(planner, state_with_map(three_stores()), "1", at(7'000)));
        std::vector<store_member> four = three_stores();
        four.push_back(member(4, "4"));
        report(planner, four.back(), at(7'000));
        directory_state state = state_with_map(four);
        CPPUNIT_ASSERT(may_retire(planner, state, "1", at(7'000)));
        state.apply(retire_store{"4", {}});
        CPPUNIT_ASSERT(!may_retire(planner, state, "1", at(7'000)));
        CPPUNIT_ASSERT(planner.assess_retirement(state, "1", {}, at(7'000)).verdict ==
                       retirement_verdict::too_few_remain);
    }

    // Guards against a group that shrinks below its size: a replaced disk must not count as a store
    // beside its successor when a retirement is checked.
    void replaced_disk_does_not_count_as_remaining_store() {
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(100));
        }
        report(planner, member(30, "3"), at(3000));
        const std::vector<store_member> current_members{three_stores()[0], three_stores()[1],
                                                        member(30, "3")};
        CPPUNIT_ASSERT(!may_retire(planner, state_with_map(current_members), "1", at(3000)));
    }

    void retirement_before_formation_leaves_one_full_group() {
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(100));
        }
        CPPUNIT_ASSERT(!may_retire(planner, {}, "1", at(100)));
        report(planner, member(4, "4"), at(100));
        CPPUNIT_ASSERT(may_retire(planner, {}, "1", at(100)));
    }

    void silent_store_is_removed_while_enough_remain() {
        std::vector<store_member> four = three_stores();
        four.push_back(member(4, "4"));
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(8000));
        }
        const auto map = planned_map(planner, state_with_map(four), at(8000));
        CPPUNIT_ASSERT(map.has_value() && map->next == three_stores());
        store_planner smaller_planner({});
        smaller_planner.start(at(0));
        report(smaller_planner, three_stores()[0], at(8000));
        report(smaller_planner, three_stores()[1], at(8000));
        CPPUNIT_ASSERT(!smaller_planner.plan(state_with_map(three_stores()), at(8000)).has_value());
    }

    /// Creates `count` stores, distributed over six zones.
    static std::vector<store_member> stores_in_six_zones(std::size_t count) {
        std::vector<store_member> members;
        for (std::size_t number = 0; number < count; ++number) {
            const std::string name = std::to_string(number + 1);
            members.push_back({number + 1, name, name, "zone-" + std::to_string(number % 6)});
        }
        return members;
    }
    static store_planner planner_for_two_losses(const std::vector<store_member>& stores,
                                                instant now) {
        store_planner_settings settings;
        settings.losses = 2;
        store_planner planner(settings);
        planner.start(at(0));
        for (const store_member& member : stores) {
            report(planner, member, now);
        }
        return planner;
    }
    static directory_state state_with_formed_groups(const store_planner& planner, instant now) {
        directory_state state;
        const auto change = planner.plan(state, now);
        CPPUNIT_ASSERT(change.has_value());
        state.apply(*change);
        return state;
    }

    void groups_are_spread_over_zones() {
        const directory_state state = state_with_formed_groups(
            planner_for_two_losses(stores_in_six_zones(36), at(1600)), at(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, state.stores().groups.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, state.stores().all().size());
        for (const store_map& map : state.stores().groups) {
            std::set<std::string> zones;
            for (const store_member& member : map.current) {
                zones.insert(member.zone);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, zones.size());
        }
        // Too few stores for two groups with a spare each.
        const directory_state few = state_with_formed_groups(
            planner_for_two_losses(stores_in_six_zones(8), at(1600)), at(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, few.stores().groups.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, few.stores().all().size());
    }

    void silent_member_is_replaced_by_spare_store() {
        std::vector<store_member> stores = stores_in_six_zones(36);
        const directory_state state =
            state_with_formed_groups(planner_for_two_losses(stores, at(1600)), at(1600));
        const store_member lost = state.stores().groups[2].current[1];
        std::erase(stores, lost);
        const store_planner planner = planner_for_two_losses(stores, at(8000));
        const auto change = planner.plan(state, at(8000));
        CPPUNIT_ASSERT(change.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change->maps.size());
        const store_map& map = change->maps.front();
        CPPUNIT_ASSERT_EQUAL(turns::group_number{2}, map.group);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, map.next.size());
        for (const store_member& member : map.next) {
            CPPUNIT_ASSERT(member != lost);
            const bool stays =
                map.contains(member.id) && state.stores().groups[2].contains(member.id);
            CPPUNIT_ASSERT(stays || !state.stores().contains(member.id));
        }
    }

    void groups_never_choose_the_same_store() {
        std::vector<store_member> stores = stores_in_six_zones(13);
        directory_state state =
            state_with_formed_groups(planner_for_two_losses(stores, at(1600)), at(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.stores().groups.size());
        std::erase(stores, state.stores().groups[0].current[0]);
        std::erase(stores, state.stores().groups[1].current[0]);
        const store_planner planner = planner_for_two_losses(stores, at(8000));
        for (int round = 0; round < 2; ++round) {
            const auto change = planner.plan(state, at(8000));
            CPPUNIT_ASSERT(change.has_value());
            state.apply(*change);
        }
        std::set<store_id> members;
        for (const store_map& map : state.stores().groups) {
            CPPUNIT_ASSERT(map.changing());
            for (const store_member& member : map.next) {
                CPPUNIT_ASSERT(members.insert(member.id).second);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, members.size());
    }

    void group_does_not_shrink_without_spare_store() {
        directory_state state = state_with_map(three_stores());
        state.apply(retire_store{"1", {}});
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three_stores()) {
            report(planner, store, at(3000));
        }
        CPPUNIT_ASSERT(!planner.plan(state, at(3000)).has_value());
        report(planner, member(4, "4"), at(3000));
        CPPUNIT_ASSERT(planner.plan(state, at(3000)).has_value());
    }

    void spare_store_can_be_retired() {
        const std::vector<store_member> stores = stores_in_six_zones(36);
        const store_planner planner = planner_for_two_losses(stores, at(1600));
        directory_state state = state_with_formed_groups(planner, at(1600));
        const auto spare = std::find_if(
            stores.begin(), stores.end(),
            [&](const store_member& store) { return !state.stores().contains(store.id); });
        CPPUNIT_ASSERT(may_retire(planner, state, spare->node, at(1600)));
        const auto disks = planner.disks_of(state, spare->node, at(1600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, disks.size());
        CPPUNIT_ASSERT(planner.disks_of(state, "unknown", at(1600)).empty());
        state.apply(retire_store{spare->node, disks});
        CPPUNIT_ASSERT(state.retired().contains(spare->id));
        // There are six spares; retiring a seventh store would leave a group too small.
        int retired_count = 1;
        for (const store_member& store : stores) {
            if (!state.retired().contains(store.id) &&
                may_retire(planner, state, store.node, at(1600))) {
                state.apply(
                    retire_store{store.node, planner.disks_of(state, store.node, at(1600))});
                ++retired_count;
            }
        }
        CPPUNIT_ASSERT_EQUAL(6, retired_count);
    }

    // Guards against a group that keeps all members which its recovery added, so that another group
    // finds no store to replace a lost member.
    void group_returns_to_its_size_after_a_recovery() {
        std::vector<store_member> four = three_stores();
        four.push_back(member(4, "4"));
        four.back().zone = "other";
        directory_state state;
        store_map recovered{1, four, {}};
        recovered.after_loss = true;
        state.apply(change_store_groups{{recovered}});
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : four) {
            report(planner, store, at(3000));
        }
        const auto map = planned_map(planner, state, at(3000));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map->next.size());
        // The zone with one member keeps it.
        CPPUNIT_ASSERT(has_id(map->next, 4));
    }

    /// Reports of all members and of a spare, the last of the third member at `away_since`.
    static void report_with_member_away(store_planner& planner, int away_since, int now) {
        planner.start(at(0));
        report(planner, three_stores()[2], at(away_since));
        report(planner, three_stores()[0], at(now));
        report(planner, three_stores()[1], at(now));
        report(planner, member(4, "4"), at(now));
    }

    // Guards against a group that bears no further loss for six seconds after a machine was
    // removed, although its successor runs.
    void spare_store_copies_as_soon_as_a_member_stops_reporting() {
        store_planner planner({});
        report_with_member_away(planner, 3000, 4400);
        CPPUNIT_ASSERT(!planner.plan(state_with_map(three_stores()), at(4400)).has_value());
        report_with_member_away(planner, 3000, 4600);
        const auto map = planned_map(planner, state_with_map(three_stores()), at(4600));
        CPPUNIT_ASSERT(map.has_value() && map->current == three_stores());
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(4, "4")};
        CPPUNIT_ASSERT(same_members(map->next, next));
    }

    void change_is_withdrawn_when_the_member_returns_before_the_copy() {
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(4, "4")};
        store_planner planner({});
        report_with_member_away(planner, 3000, 5000);
        CPPUNIT_ASSERT(!planner.plan(state_with_map(three_stores(), next), at(5000)).has_value());
        report(planner, three_stores()[2], at(5000));
        const auto map = planned_map(planner, state_with_map(three_stores(), next), at(5000));
        CPPUNIT_ASSERT(map.has_value() && !map->changing());
        CPPUNIT_ASSERT(map->current == three_stores());
    }

    void change_that_collects_survivors_is_not_withdrawn() {
        directory_state state;
        const std::vector<store_member> next{three_stores()[0], three_stores()[1], member(4, "4")};
        store_map collecting{1, three_stores(), next};
        collecting.after_loss = true;
        state.apply(change_store_groups{{collecting}});
        store_planner planner({});
        report_with_member_away(planner, 5000, 5000);
        CPPUNIT_ASSERT(!planner.plan(state, at(5000)).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_planner_test);

}  // namespace tallyfold::tests
