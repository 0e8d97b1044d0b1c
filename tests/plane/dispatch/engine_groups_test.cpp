#include "tallyfold/plane/dispatch/engine_groups.hpp"

#include <algorithm>
#include <map>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;

class engine_groups_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_groups_test);
    CPPUNIT_TEST(ten_thousand_engines_make_157_groups);
    CPPUNIT_TEST(groups_are_of_equal_size_and_do_not_depend_on_the_order);
    CPPUNIT_TEST(programs_spread_evenly_over_the_groups);
    CPPUNIT_TEST(a_further_group_moves_only_the_programs_that_it_gets);
    CPPUNIT_TEST(the_order_of_nodes_is_the_same_everywhere_and_the_leader_is_last);
    CPPUNIT_TEST(a_lost_node_leaves_the_order_of_the_others);
    CPPUNIT_TEST(groups_spread_over_the_directory_nodes);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<backend_name> engine_names(std::size_t count) {
        std::vector<backend_name> names;
        for (std::size_t number = 0; number < count; ++number) {
            names.push_back("engine-" + std::to_string(number));
        }
        return names;
    }

    void ten_thousand_engines_make_157_groups() {
        CPPUNIT_ASSERT_EQUAL(group_index{157}, group_count(10'000));
        CPPUNIT_ASSERT_EQUAL(group_index{1}, group_count(0));
        CPPUNIT_ASSERT_EQUAL(group_index{1}, group_count(64));
        CPPUNIT_ASSERT_EQUAL(group_index{2}, group_count(65));
        CPPUNIT_ASSERT(assign_groups({}).empty());
    }

    /// Guards against two nodes that derive different groups from the same list, and against a
    /// group with more engines than one decision may scan.
    void groups_are_of_equal_size_and_do_not_depend_on_the_order() {
        check_property("groups are of equal size, whatever the order of the list", [] {
            const auto names = engine_names(*rc::gen::inRange<std::size_t>(1, 700));
            const auto assigned = assign_groups(names);
            std::map<group_index, std::size_t> sizes;
            std::map<backend_name, group_index> by_name;
            for (std::size_t position = 0; position < names.size(); ++position) {
                ++sizes[assigned[position]];
                by_name[names[position]] = assigned[position];
            }
            RC_ASSERT(sizes.size() == group_count(names.size()));
            const auto [least, most] = std::minmax_element(
                sizes.begin(), sizes.end(),
                [](auto& left, auto& right) { return left.second < right.second; });
            RC_ASSERT(most->second <= max_group_engines);
            RC_ASSERT(most->second - least->second <= 1);
            auto reversed = names;
            std::reverse(reversed.begin(), reversed.end());
            const auto again = assign_groups(reversed);
            for (std::size_t position = 0; position < names.size(); ++position) {
                RC_ASSERT(again[position] == by_name.at(reversed[position]));
            }
        });
    }

    void programs_spread_evenly_over_the_groups() {
        std::vector<int> programs(157);
        for (std::uint64_t program = 1; program <= 157'000; ++program) {
            ++programs.at(group_of_program(program, 157));
        }
        const auto [least, most] = std::minmax_element(programs.begin(), programs.end());
        CPPUNIT_ASSERT(*least > 800);
        CPPUNIT_ASSERT(*most < 1'200);
    }

    void a_further_group_moves_only_the_programs_that_it_gets() {
        check_property("programs move only to the new group", [] {
            const auto groups = *rc::gen::inRange<group_index>(1, 200);
            const auto program = *rc::gen::arbitrary<std::uint64_t>();
            const group_index before = group_of_program(program, groups);
            const group_index after = group_of_program(program, groups + 1);
            RC_ASSERT(before < groups);
            RC_ASSERT(after == before || after == groups);
        });
    }

    void the_order_of_nodes_is_the_same_everywhere_and_the_leader_is_last() {
        check_property("same order from any list, leader last", [] {
            const engine_group group{"service", *rc::gen::inRange<group_index>(0, 200)};
            auto nodes = engine_names(*rc::gen::inRange<std::size_t>(1, 12));
            const node_name leader = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
            const auto order = dispatch_order(group, nodes, leader);
            RC_ASSERT(order.back() == leader);
            RC_ASSERT(std::is_permutation(order.begin(), order.end(), nodes.begin(), nodes.end()));
            std::reverse(nodes.begin(), nodes.end());
            RC_ASSERT(dispatch_order(group, nodes, leader) == order);
        });
    }

    void a_lost_node_leaves_the_order_of_the_others() {
        const auto nodes = engine_names(5);
        for (group_index index = 0; index < 50; ++index) {
            auto order = dispatch_order({"service", index}, nodes, "");
            const node_name lost = order.front();
            auto others = nodes;
            std::erase(others, lost);
            order.erase(order.begin());
            CPPUNIT_ASSERT(dispatch_order({"service", index}, others, "") == order);
        }
    }

    void groups_spread_over_the_directory_nodes() {
        const auto nodes = engine_names(5);
        std::map<node_name, int> first;
        for (group_index index = 0; index < 157; ++index) {
            ++first[dispatch_order({"service", index}, nodes, nodes[2]).front()];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.size());
        for (const auto& [node, groups] : first) {
            CPPUNIT_ASSERT_MESSAGE(node, groups > 20 && groups < 60);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_groups_test);

}  // namespace tallyfold::tests
