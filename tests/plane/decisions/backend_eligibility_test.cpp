#include "tallyfold/plane/decisions/backend_eligibility.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using scheduling::backend_member;
using scheduling::backend_pool;

class backend_eligibility_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_eligibility_test);
    CPPUNIT_TEST(without_a_fault_a_back_end_is_trusted);
    CPPUNIT_TEST(a_reported_failure_makes_a_back_end_distrusted);
    CPPUNIT_TEST(an_ejected_back_end_is_unavailable);
    CPPUNIT_TEST(a_drained_back_end_is_excluded_until_its_address_changes);
    CPPUNIT_TEST(the_strictest_rule_decides);
    CPPUNIT_TEST(more_than_half_of_the_pool_counts_as_most);
    CPPUNIT_TEST(repeated_failures_double_the_distrust_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant now{std::chrono::seconds(50)};

    static std::vector<backend_member> members(std::size_t count) {
        std::vector<backend_member> made(count);
        for (std::size_t index = 0; index < count; ++index) {
            made[index].name = "b" + std::to_string(index);
            made[index].address = "10.0.0.1:" + std::to_string(8000 + index);
            made[index].listed_only = true;
        }
        return made;
    }
    static backend_pool pool_of(std::size_t count) {
        backend_pool pool;
        pool.update(members(count));
        return pool;
    }
    static backend_eligibility eligibility(const backend_pool& pool,
                                           const reported_failures& reported) {
        return eligibility_of(*pool.find("b0"), pool, reported, now);
    }

    void without_a_fault_a_back_end_is_trusted() {
        CPPUNIT_ASSERT(eligibility(pool_of(4), {}) == backend_eligibility::trusted);
    }

    void a_reported_failure_makes_a_back_end_distrusted() {
        reported_failures reported;
        reported.record("b0", now);
        CPPUNIT_ASSERT(eligibility(pool_of(4), reported) == backend_eligibility::distrusted);
    }

    void an_ejected_back_end_is_unavailable() {
        backend_pool pool = pool_of(4);
        pool.unreachable("b0", now);
        CPPUNIT_ASSERT(eligibility(pool, {}) == backend_eligibility::unavailable);
    }

    void a_drained_back_end_is_excluded_until_its_address_changes() {
        backend_pool pool = pool_of(4);
        pool.set_drained("b0", true);
        CPPUNIT_ASSERT(eligibility(pool, {}) == backend_eligibility::excluded);
        pool.update(members(4));
        CPPUNIT_ASSERT(eligibility(pool, {}) == backend_eligibility::excluded);
        std::vector<backend_member> moved = members(4);
        moved[0].address = "10.0.0.2:8000";
        pool.update(moved);
        CPPUNIT_ASSERT(eligibility(pool, {}) == backend_eligibility::trusted);
    }

    void the_strictest_rule_decides() {
        backend_pool pool = pool_of(4);
        reported_failures reported;
        reported.record("b0", now);
        pool.unreachable("b0", now);
        CPPUNIT_ASSERT(eligibility(pool, reported) == backend_eligibility::unavailable);
        pool.set_drained("b0", true);
        CPPUNIT_ASSERT(eligibility(pool, reported) == backend_eligibility::excluded);
    }

    void more_than_half_of_the_pool_counts_as_most() {
        const backend_pool pool = pool_of(4);
        reported_failures reported;
        reported.record("b0", now);
        reported.record("b1", now);
        CPPUNIT_ASSERT(!most_have_reported_failures(pool, reported, now));
        reported.record("b2", now);
        CPPUNIT_ASSERT(most_have_reported_failures(pool, reported, now));
        CPPUNIT_ASSERT(!most_have_reported_failures(pool, reported,
                                                    now + reported_failures::initial_distrust));
    }

    void repeated_failures_double_the_distrust_time() {
        reported_failures reported;
        instant at = now;
        for (const int seconds : {2, 4, 8, 8}) {
            CPPUNIT_ASSERT(reported.record("b", at));
            const instant end = at + std::chrono::seconds(seconds);
            CPPUNIT_ASSERT(reported.is_distrusted("b", end - duration(1)));
            CPPUNIT_ASSERT(!reported.is_distrusted("b", end));
            at = end;
        }
        // A report of the same failure by another node does not count again.
        CPPUNIT_ASSERT(reported.record("b", at));
        CPPUNIT_ASSERT(!reported.record("b", at + std::chrono::milliseconds(299)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_eligibility_test);

}  // namespace tallyfold::tests
