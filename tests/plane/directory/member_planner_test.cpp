#include "tallyfold/plane/directory/member_planner.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using consensus::replica_id;

class member_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(member_planner_test);
    CPPUNIT_TEST(silent_voter_is_removed_when_enough_remain);
    CPPUNIT_TEST(silent_surplus_voter_is_removed_before_two_more_losses_count);
    CPPUNIT_TEST(silent_voter_is_kept_when_too_few_would_remain);
    CPPUNIT_TEST(silent_voter_is_removed_for_caught_up_learner);
    CPPUNIT_TEST(replica_is_removed_when_its_node_joins_with_new_disk);
    CPPUNIT_TEST(second_lost_voter_is_removed_after_promotion_of_its_successor);
    CPPUNIT_TEST(removal_of_lost_voter_is_deferred_for_a_limited_time);
    CPPUNIT_TEST(late_join_request_does_not_replace_a_member_heard_since);
    CPPUNIT_TEST(learner_is_promoted_only_when_caught_up);
    CPPUNIT_TEST(silent_voters_are_counted_without_learners_and_the_leader);
    CPPUNIT_TEST_SUITE_END();

    static constexpr replica_id self = 1;
    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    static replication_view voters(std::size_t count) {
        replication_view view;
        view.commit_index = 10;
        for (replica_id id = 1; id <= count; ++id) {
            view.members.members[id] = {"10.0.0." + std::to_string(id) + ":7000", false};
            view.matched[id] = 10;
        }
        return view;
    }

    /// A planner that last received a message from `silent_member` at 0 ms, and from the others at
    /// `now`.
    static member_planner planner_with_silent_member(const replication_view& view,
                                                     replica_id silent_member, instant now) {
        member_planner planner({});
        planner.start(at(0));
        for (const auto& [id, member] : view.members.members) {
            planner.on_message(id, id == silent_member ? at(0) : now);
        }
        return planner;
    }

    /// A planner of a directory that tolerates two losses.
    static member_planner planner_for_two_losses() {
        member_planner_settings settings;
        settings.max_voters = 7;
        settings.min_voters = 5;
        return member_planner(settings);
    }

    void silent_voter_is_removed_when_enough_remain() {
        // Guards against a silent voter that stays: after one further loss, two of four voters
        // would be left, which is no majority.
        const replication_view view = voters(4);
        const auto next = planner_with_silent_member(view, 3, at(6000)).plan(view, self, at(6000));
        CPPUNIT_ASSERT(next.has_value());
        CPPUNIT_ASSERT(!next->members.contains(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, next->voter_count());
    }

    void silent_surplus_voter_is_removed_before_two_more_losses_count() {
        // Guards against a node that was replaced by plan and stays a voter: two of six voters may
        // then be lost beside it, and three are no majority.
        const replication_view view = voters(6);
        member_planner planner = planner_for_two_losses();
        planner.start(at(0));
        for (const auto& [id, member] : view.members.members) {
            planner.on_message(id, at(id == 3 ? 0 : 1'400));
        }
        CPPUNIT_ASSERT(!planner.plan(view, self, at(1'500)).has_value());
        const auto next = planner.plan(view, self, at(1'600));
        CPPUNIT_ASSERT(next.has_value() && !next->members.contains(3));
    }

    void silent_voter_is_kept_when_too_few_would_remain() {
        const replication_view view = voters(3);
        CPPUNIT_ASSERT(
            !planner_with_silent_member(view, 3, at(6000)).plan(view, self, at(6000)).has_value());
    }

    void silent_voter_is_removed_for_caught_up_learner() {
        replication_view view = voters(5);
        view.members.members[9] = {"10.0.0.9:7000", true};
        view.matched[9] = 10;
        const auto next = planner_with_silent_member(view, 2, at(6000)).plan(view, self, at(6000));
        CPPUNIT_ASSERT(next.has_value());
        CPPUNIT_ASSERT(!next->members.contains(2));
        CPPUNIT_ASSERT(next->members.contains(9));
    }

    void replica_is_removed_when_its_node_joins_with_new_disk() {
        const replication_view view = voters(3);
        member_planner planner = planner_with_silent_member(view, 0, at(1000));
        planner.on_join({77, "10.0.0.2:7000"}, at(1000));
        const auto removed = planner.plan(view, self, at(1000));
        CPPUNIT_ASSERT(removed.has_value() && !removed->members.contains(2));
        replication_view rest = view;
        rest.members = *removed;
        const auto added = planner.plan(rest, self, at(1000));
        CPPUNIT_ASSERT(added.has_value() && added->members.at(77).learner);
    }

    /// A planner for two tolerated losses. One of five voters has been removed, and the disk of
    /// voter 2 is replaced.
    static member_planner planner_after_first_removal(const replication_view& view) {
        member_planner planner = planner_for_two_losses();
        planner.start(at(0));
        for (const auto& [id, member] : view.members.members) {
            planner.on_message(id, at(900));
        }
        planner.on_join({77, "10.0.0.2:7000"}, at(1000));
        return planner;
    }

    void second_lost_voter_is_removed_after_promotion_of_its_successor() {
        // Guards against acknowledgements by two disks when two may be lost at once.
        replication_view view = voters(4);
        member_planner planner = planner_after_first_removal(view);
        auto next = planner.plan(view, self, at(1000));
        CPPUNIT_ASSERT(next.has_value() && next->members.contains(2));
        CPPUNIT_ASSERT(next->members.at(77).learner);
        view.members = *next;
        view.matched[77] = 10;
        planner.on_message(77, at(1100));
        next = planner.plan(view, self, at(1100));
        CPPUNIT_ASSERT(next.has_value() && next->members.contains(2));
        CPPUNIT_ASSERT(!next->members.at(77).learner);
        view.members = *next;
        next = planner.plan(view, self, at(1200));
        CPPUNIT_ASSERT(next.has_value() && !next->members.contains(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, next->voter_count());
    }

    void removal_of_lost_voter_is_deferred_for_a_limited_time() {
        replication_view view = voters(4);
        member_planner planner = planner_after_first_removal(view);
        view.members.members[77] = {"10.0.0.2:7000", true};
        CPPUNIT_ASSERT(!planner.plan(view, self, at(2400)).has_value());
        planner.on_message(77, at(2500));
        const auto next = planner.plan(view, self, at(2600));
        CPPUNIT_ASSERT(next.has_value() && !next->members.contains(2));
    }

    void late_join_request_does_not_replace_a_member_heard_since() {
        const replication_view view = voters(5);
        member_planner planner({});
        planner.start(at(0));
        planner.on_join({99, "10.0.0.5:7000"}, at(1000));
        planner.on_message(5, at(1020));
        CPPUNIT_ASSERT(!planner.plan(view, self, at(1030)).has_value());
    }

    void silent_voters_are_counted_without_learners_and_the_leader() {
        replication_view view = voters(5);
        view.members.members[9] = {"10.0.0.9:7000", true};
        member_planner planner({});
        planner.start(at(0));
        planner.on_message(2, at(6'000));
        planner.on_message(3, at(6'000));
        // Voters 4 and 5, the learner and the leader itself were not heard.
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             planner.silent_voter_count(view.members, self, at(1'000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             planner.silent_voter_count(view.members, self, at(6'000)));
    }

    void learner_is_promoted_only_when_caught_up() {
        replication_view view = voters(3);
        view.members.members[9] = {"10.0.0.9:7000", true};
        view.matched[9] = 2;
        member_planner planner = planner_with_silent_member(view, 0, at(1000));
        CPPUNIT_ASSERT(!planner.plan(view, self, at(1000)).has_value());
        view.matched[9] = 9;
        const auto next = planner.plan(view, self, at(1000));
        CPPUNIT_ASSERT(next.has_value() && !next->members.at(9).learner);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_planner_test);

}  // namespace tallyfold::tests
