#include "tallyfold/plane/directory/group_recovery.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using turns::store_id;
using turns::store_map;
using turns::store_member;

/// Tests each recovery rule by itself; store_planner_test covers sequences.
class group_recovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(group_recovery_test);
    CPPUNIT_TEST(disk_is_lost_when_its_node_reports_another);
    CPPUNIT_TEST(silent_disk_is_lost_only_when_retired);
    CPPUNIT_TEST(silent_member_is_given_up_after_retention);
    CPPUNIT_TEST(silent_member_left_out_of_change_is_given_up);
    CPPUNIT_TEST(no_recovery_while_unreachable_members_form_majority);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration retention = std::chrono::seconds(75);

    store_planner_settings settings_;
    store_heartbeats heartbeats_;
    directory_state state_;

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static store_member member(store_id id, const std::string& node) {
        return {id, node, "10.0.0." + node + ":7000", "zone"};
    }
    static store_map three_member_map() {
        return {1, {member(1, "1"), member(2, "2"), member(3, "3")}, {}};
    }

    /// The view of a leader whose leadership began at 0 ms.
    [[nodiscard]] store_view view_at(instant now) const {
        return {settings_, heartbeats_, state_, now};
    }
    void report(const store_member& store, instant now) { heartbeats_.on_report({store, 0}, now); }

    void disk_is_lost_when_its_node_reports_another() {
        heartbeats_.start(at(0));
        report(member(1, "1"), at(100));
        CPPUNIT_ASSERT(!view_at(at(200)).is_lost(member(1, "1")));
        report(member(10, "1"), at(200));
        CPPUNIT_ASSERT(view_at(at(200)).is_lost(member(1, "1")));
        CPPUNIT_ASSERT(!view_at(at(200)).is_lost(member(10, "1")));
    }

    void silent_disk_is_lost_only_when_retired() {
        heartbeats_.start(at(0));
        const instant expired = at(0) + retention + std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(!view_at(expired).is_lost(member(1, "1")));
        state_.apply(retire_store{"1", {1}});
        CPPUNIT_ASSERT(!view_at(at(0) + retention).is_lost(member(1, "1")));
        CPPUNIT_ASSERT(view_at(expired).is_lost(member(1, "1")));
    }

    void silent_member_is_given_up_after_retention() {
        heartbeats_.start(at(0));
        CPPUNIT_ASSERT(
            !is_given_up(view_at(at(0) + retention), three_member_map(), member(1, "1")));
        const instant expired = at(0) + retention + std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(is_given_up(view_at(expired), three_member_map(), member(1, "1")));
    }

    void silent_member_left_out_of_change_is_given_up() {
        heartbeats_.start(at(0));
        store_map changing = three_member_map();
        changing.next = {member(2, "2"), member(3, "3"), member(4, "4")};
        CPPUNIT_ASSERT(!is_given_up(view_at(at(6'000)), changing, member(1, "1")));
        CPPUNIT_ASSERT(is_given_up(view_at(at(6'001)), changing, member(1, "1")));
        // A member that the change keeps is not given up.
        CPPUNIT_ASSERT(!is_given_up(view_at(at(6'001)), changing, member(2, "2")));
    }

    void no_recovery_while_unreachable_members_form_majority() {
        heartbeats_.start(at(0));
        report(member(30, "3"), at(80'000));
        // The other two are silent, but could form a majority elsewhere.
        CPPUNIT_ASSERT(!needs_recovery(view_at(at(80'000)), three_member_map()));
        report(member(1, "1"), at(80'000));
        CPPUNIT_ASSERT(needs_recovery(view_at(at(80'000)), three_member_map()));
        report(member(2, "2"), at(80'000));
        CPPUNIT_ASSERT(!needs_recovery(view_at(at(80'000)), three_member_map()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_recovery_test);

}  // namespace tallyfold::tests
