#include <rapidcheck.h>

#include "tallyfold/plane/turns/types.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace turns;

class store_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_table_test);
    CPPUNIT_TEST(an_older_map_changes_nothing);
    CPPUNIT_TEST(a_single_newer_map_does_not_advance_the_table_epoch);
    CPPUNIT_TEST(a_group_number_out_of_range_is_refused);
    CPPUNIT_TEST(a_program_keeps_its_group_when_members_change);
    CPPUNIT_TEST(maps_merge_to_the_same_table_in_any_order);
    CPPUNIT_TEST_SUITE_END();

    static store_map map_of(group_number group, map_epoch epoch, std::vector<store_id> ids) {
        store_map map;
        map.epoch = epoch;
        map.group = group;
        for (const store_id id : ids) {
            map.current.push_back({id, "node-" + std::to_string(id), "", "zone"});
        }
        return map;
    }
    static store_table two_groups() {
        return {3, {map_of(0, 1, {1, 2, 3}), map_of(1, 3, {4, 5, 6})}};
    }

    void an_older_map_changes_nothing() {
        store_table table = two_groups();
        CPPUNIT_ASSERT(!table.merge_newer(map_of(1, 2, {9})));
        CPPUNIT_ASSERT(!table.merge_newer(map_of(1, 3, {9})));
        CPPUNIT_ASSERT(table == two_groups());
    }

    void a_single_newer_map_does_not_advance_the_table_epoch() {
        store_table table = two_groups();
        CPPUNIT_ASSERT(table.merge_newer(map_of(1, 5, {4, 5, 7})));
        // Epoch 4 may have changed the other group, so updates are still requested from epoch 3 on.
        CPPUNIT_ASSERT_EQUAL(map_epoch{3}, table.epoch);
        CPPUNIT_ASSERT(table.contains(7) && !table.contains(6));
        store_table newer = two_groups();
        newer.epoch = 5;
        newer.groups[0] = map_of(0, 4, {1, 2, 8});
        CPPUNIT_ASSERT(table.merge_newer(newer));
        CPPUNIT_ASSERT_EQUAL(map_epoch{5}, table.epoch);
        CPPUNIT_ASSERT(table.contains(8) && table.contains(7));
    }

    void a_group_number_out_of_range_is_refused() {
        store_table table = two_groups();
        CPPUNIT_ASSERT(!table.merge_newer(map_of(max_groups, 9, {1})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.groups.size());
    }

    void a_program_keeps_its_group_when_members_change() {
        store_table table = two_groups();
        std::set<group_number> used;
        for (int number = 0; number < 50; ++number) {
            const std::string program = "program-" + std::to_string(number);
            const group_number before = table.group_of(program);
            store_table changed = table;
            changed.merge_newer(map_of(0, 9, {11, 12, 13}));
            CPPUNIT_ASSERT_EQUAL(before, changed.group_of(program));
            used.insert(before);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
    }

    void maps_merge_to_the_same_table_in_any_order() {
        const bool holds = rc::check("the newest map of each group is kept", [] {
            const auto epochs =
                *rc::gen::container<std::vector<map_epoch>>(5, rc::gen::inRange<map_epoch>(1, 9));
            std::vector<store_map> maps;
            for (std::size_t index = 0; index < epochs.size(); ++index) {
                const auto group = static_cast<group_number>(index % 2);
                maps.push_back(map_of(group, epochs[index] * 2 + group, {epochs[index]}));
            }
            store_table forward = two_groups();
            store_table backward = two_groups();
            for (std::size_t index = 0; index < maps.size(); ++index) {
                forward.merge_newer(maps[index]);
                backward.merge_newer(maps[maps.size() - 1 - index]);
            }
            RC_ASSERT(forward == backward);
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_table_test);

}  // namespace tallyfold::tests
