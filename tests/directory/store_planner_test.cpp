#include "tallyfold/directory/store_planner.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using turns::store_id;
using turns::store_map;
using turns::store_member;

class store_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_planner_test);
    CPPUNIT_TEST(the_first_map_waits_for_enough_stores);
    CPPUNIT_TEST(a_new_disk_takes_the_place_of_the_old_one);
    CPPUNIT_TEST(a_new_disk_is_seen_while_the_old_one_still_counts_as_live);
    CPPUNIT_TEST(a_change_ends_only_when_each_new_member_has_copied);
    CPPUNIT_TEST(a_change_whose_new_member_died_is_planned_again);
    CPPUNIT_TEST(a_retired_store_leaves_and_does_not_return);
    CPPUNIT_TEST(a_store_is_not_retired_when_too_few_would_remain);
    CPPUNIT_TEST(a_silent_store_is_left_out_while_enough_remain);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }
    static store_member member(store_id id, const std::string& node) {
        return {id, node, "10.0.0." + node + ":7000", "zone"};
    }
    static directory_state with_map(std::vector<store_member> current,
                                    std::vector<store_member> next = {}) {
        directory_state state;
        state.apply(replace_store_map{store_map{1, std::move(current), std::move(next)}});
        return state;
    }
    static void report(store_planner& planner, const store_member& store, instant now,
                       turns::map_epoch copied = 0) {
        planner.on_report({store, copied}, now);
    }
    static const std::vector<store_member>& three() {
        static const std::vector<store_member> members{member(1, "1"), member(2, "2"),
                                                       member(3, "3")};
        return members;
    }

    void the_first_map_waits_for_enough_stores() {
        store_planner planner({});
        planner.start(at(0));
        report(planner, three()[0], at(1600));
        report(planner, three()[1], at(1600));
        CPPUNIT_ASSERT(!planner.plan({}, at(1600)).has_value());
        report(planner, three()[2], at(1600));
        const auto map = planner.plan({}, at(1600));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, map->current.size());
        CPPUNIT_ASSERT(!map->changing());
    }

    void a_new_disk_takes_the_place_of_the_old_one() {
        store_planner planner({});
        planner.start(at(0));
        report(planner, three()[0], at(3000));
        report(planner, three()[1], at(3000));
        report(planner, member(30, "3"), at(3000));
        const auto map = planner.plan(with_map(three()), at(3000));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT_EQUAL(turns::map_epoch{2}, map->epoch);
        CPPUNIT_ASSERT(map->current == three());
        const std::vector<store_member> next{three()[0], three()[1], member(30, "3")};
        CPPUNIT_ASSERT(map->next == next);
    }

    void a_new_disk_is_seen_while_the_old_one_still_counts_as_live() {
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three()) {
            report(planner, store, at(2800));
        }
        report(planner, member(30, "3"), at(3000));
        const auto map = planner.plan(with_map(three()), at(3000));
        const std::vector<store_member> next{three()[0], three()[1], member(30, "3")};
        CPPUNIT_ASSERT(map.has_value() && map->next == next);
    }

    void a_change_ends_only_when_each_new_member_has_copied() {
        const std::vector<store_member> next{three()[0], three()[1], member(30, "3")};
        const directory_state state = with_map(three(), next);
        store_planner planner({});
        planner.start(at(0));
        report(planner, next[0], at(3000), 1);
        report(planner, next[1], at(3000), 1);
        report(planner, next[2], at(3000), 0);
        CPPUNIT_ASSERT(!planner.plan(state, at(3000)).has_value());
        report(planner, next[2], at(3000), 1);
        const auto done = planner.plan(state, at(3000));
        CPPUNIT_ASSERT(done.has_value() && !done->changing());
        CPPUNIT_ASSERT(done->current == next);
    }

    void a_change_whose_new_member_died_is_planned_again() {
        const std::vector<store_member> next{three()[0], three()[1], three()[2], member(40, "4")};
        const directory_state state = with_map(three(), next);
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three()) {
            report(planner, store, at(3000), 1);
        }
        const auto again = planner.plan(state, at(3000));
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT(again->current == three());
        CPPUNIT_ASSERT(again->next == three());
    }

    void a_retired_store_leaves_and_does_not_return() {
        std::vector<store_member> four = three();
        four.push_back(member(4, "4"));
        directory_state state = with_map(four);
        state.apply(retire_store{"4"});
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : four) {
            report(planner, store, at(3000));
        }
        const auto map = planner.plan(state, at(3000));
        CPPUNIT_ASSERT(map.has_value());
        CPPUNIT_ASSERT(map->next == three());
        directory_state after = with_map(four, three());
        after.apply(retire_store{"4"});
        after.apply(replace_store_map{store_map{2, three(), {}}});
        CPPUNIT_ASSERT(!planner.plan(after, at(3000)).has_value());
    }

    void a_store_is_not_retired_when_too_few_would_remain() {
        const store_planner planner({});
        CPPUNIT_ASSERT(!planner.may_retire(with_map(three()), "1"));
        std::vector<store_member> four = three();
        four.push_back(member(4, "4"));
        directory_state state = with_map(four);
        CPPUNIT_ASSERT(planner.may_retire(state, "1"));
        state.apply(retire_store{"4"});
        CPPUNIT_ASSERT(!planner.may_retire(state, "1"));
    }

    void a_silent_store_is_left_out_while_enough_remain() {
        std::vector<store_member> four = three();
        four.push_back(member(4, "4"));
        store_planner planner({});
        planner.start(at(0));
        for (const store_member& store : three()) {
            report(planner, store, at(8000));
        }
        const auto map = planner.plan(with_map(four), at(8000));
        CPPUNIT_ASSERT(map.has_value() && map->next == three());
        store_planner fewer({});
        fewer.start(at(0));
        report(fewer, three()[0], at(8000));
        report(fewer, three()[1], at(8000));
        CPPUNIT_ASSERT(!fewer.plan(with_map(three()), at(8000)).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_planner_test);

}  // namespace tallyfold::tests
