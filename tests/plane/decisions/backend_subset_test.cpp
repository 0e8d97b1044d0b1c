#include "tallyfold/plane/decisions/backend_subset.hpp"

#include <map>
#include <set>

#include "tallyfold/base/common/hash.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using scheduling::backend_member;
using scheduling::backend_pool;
using scheduling::backend_state;

class backend_subset_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_subset_test);
    CPPUNIT_TEST(a_node_uses_a_fixed_number_of_back_ends);
    CPPUNIT_TEST(the_subset_widens_when_all_its_back_ends_are_busy);
    CPPUNIT_TEST(the_subset_skips_unusable_back_ends);
    CPPUNIT_TEST(removing_a_back_end_keeps_the_order_of_the_others);
    CPPUNIT_TEST(many_nodes_cover_all_back_ends_evenly);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<backend_member> members(std::size_t count) {
        std::vector<backend_member> made(count);
        for (std::size_t index = 0; index < count; ++index) {
            made[index].name = "b" + std::to_string(index);
            made[index].listed_only = true;
        }
        return made;
    }
    static std::set<std::string> names_of(const std::vector<const backend_state*>& backends) {
        std::set<std::string> names;
        for (const backend_state* backend : backends) {
            names.insert(backend->member.name);
        }
        return names;
    }
    static bool any(const backend_state& /*backend*/) { return true; }

    void a_node_uses_a_fixed_number_of_back_ends() {
        backend_pool pool;
        pool.update(members(50));
        backend_subset subset(7);
        subset.update(members(50));
        const auto first = names_of(subset.usable(pool, any));
        CPPUNIT_ASSERT_EQUAL(backend_subset::base_size, first.size());
        CPPUNIT_ASSERT(first == names_of(subset.usable(pool, any)));
        backend_subset few(7);
        few.update(members(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, few.usable(pool, any).size());
    }

    void the_subset_widens_when_all_its_back_ends_are_busy() {
        backend_pool pool;
        pool.update(members(50));
        backend_subset subset(7);
        subset.update(members(50));
        for (const std::string& name : names_of(subset.usable(pool, any))) {
            CPPUNIT_ASSERT_EQUAL(backend_subset::base_size, subset.usable(pool, any).size());
            for (std::uint32_t call = 0; call < backend_subset::busy_threshold; ++call) {
                pool.started(name, 0);
            }
        }
        CPPUNIT_ASSERT_EQUAL(2 * backend_subset::base_size, subset.usable(pool, any).size());
    }

    void the_subset_skips_unusable_back_ends() {
        backend_pool pool;
        pool.update(members(50));
        backend_subset subset(7);
        subset.update(members(50));
        const std::string unusable = *names_of(subset.usable(pool, any)).begin();
        const auto others = names_of(subset.usable(
            pool, [&](const backend_state& backend) { return backend.member.name != unusable; }));
        CPPUNIT_ASSERT_EQUAL(backend_subset::base_size, others.size());
        CPPUNIT_ASSERT(!others.contains(unusable));
    }

    void removing_a_back_end_keeps_the_order_of_the_others() {
        backend_subset before(7);
        before.update(members(50));
        backend_subset after(7);
        after.update(members(49));
        std::vector<std::string> expected = before.order();
        std::erase(expected, "b49");
        CPPUNIT_ASSERT(expected == after.order());
    }

    void many_nodes_cover_all_back_ends_evenly() {
        backend_pool pool;
        pool.update(members(51));
        std::map<std::string, int> nodes_by_backend;
        constexpr int nodes = 255;
        for (int node = 0; node < nodes; ++node) {
            backend_subset subset(stable_hash("frontend-" + std::to_string(node)));
            subset.update(members(51));
            for (const std::string& name : names_of(subset.usable(pool, any))) {
                ++nodes_by_backend[name];
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{51}, nodes_by_backend.size());
        for (const auto& [name, count] : nodes_by_backend) {
            // The mean is 20 nodes for each back end.
            CPPUNIT_ASSERT_MESSAGE(name + " " + std::to_string(count), count >= 7 && count <= 40);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_subset_test);

}  // namespace tallyfold::tests
