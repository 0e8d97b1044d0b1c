#include "tallyfold/plane/tenants/permit_rule.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace tenants;

class permit_rule_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(permit_rule_test);
    CPPUNIT_TEST(calls_under_way_get_all_of_the_limit);
    CPPUNIT_TEST(new_programs_leave_the_reserve);
    CPPUNIT_TEST(what_is_lent_elsewhere_counts_against_the_bound_only);
    CPPUNIT_TEST(while_settling_the_rate_alone_is_lent);
    CPPUNIT_TEST(while_settling_a_node_keeps_what_it_had);
    CPPUNIT_TEST(within_a_window_of_its_start_a_lender_leaves_the_allowance);
    CPPUNIT_TEST(waiting_times_follow_the_pace_of_the_limit);
    CPPUNIT_TEST(nothing_is_lent_beyond_the_bound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration long_ago = std::chrono::seconds(60);

    /// 10 a second and a burst of 10: 60 a window, 86 with the allowance.
    static limit_use tenant_with(std::uint64_t counted, std::uint64_t spent) {
        return {10, 60, 86, counted, spent, 0};
    }
    static permit_use asking_for(std::uint32_t needed, std::uint32_t beginning,
                                 std::uint32_t wanted) {
        return {"t", 0, 0, 0, needed, beginning, wanted};
    }
    static lendable lent(const permit_use& use, const limit_use& tenant,
                         duration running_for = long_ago) {
        return lendable_permits(use, tenant, running_for, quota_rules{});
    }

    void calls_under_way_get_all_of_the_limit() {
        CPPUNIT_ASSERT_EQUAL(5.0, lent(asking_for(9, 0, 0), tenant_with(55, 55)).needed);
    }

    void new_programs_leave_the_reserve() {
        const lendable open = lent(asking_for(0, 9, 9), tenant_with(40, 40));
        CPPUNIT_ASSERT_EQUAL(5.0, open.beginning);
        CPPUNIT_ASSERT_EQUAL(0.0, open.spare);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(0, 9, 9), tenant_with(45, 45)).beginning);
        // Calls under way go first.
        CPPUNIT_ASSERT_EQUAL(2.0, lent(asking_for(3, 9, 0), tenant_with(40, 40)).beginning);
    }

    void what_is_lent_elsewhere_counts_against_the_bound_only() {
        // 20 are spent, 50 more lie ready at other nodes.
        const lendable open = lent(asking_for(9, 0, 9), tenant_with(70, 20));
        CPPUNIT_ASSERT_EQUAL(9.0, open.needed);
        CPPUNIT_ASSERT_EQUAL(7.0, open.spare);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(9, 0, 9), tenant_with(86, 20)).needed);
    }

    void while_settling_the_rate_alone_is_lent() {
        const duration early = std::chrono::milliseconds(300);
        CPPUNIT_ASSERT_EQUAL(3.0, lent(asking_for(9, 9, 0), tenant_with(0, 0), early).needed);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(9, 9, 0), tenant_with(0, 0), early).beginning);
        limit_use granted = tenant_with(0, 0);
        granted.granted_while_settling = 2;
        CPPUNIT_ASSERT_EQUAL(1.0, lent(asking_for(9, 0, 0), granted, early).needed);
    }

    void while_settling_a_node_keeps_what_it_had() {
        permit_use use = asking_for(0, 0, 9);
        use.spent = 10;
        use.ceiling = 14;
        CPPUNIT_ASSERT_EQUAL(4.0, lent(use, tenant_with(0, 0), duration::zero()).spare);
    }

    void within_a_window_of_its_start_a_lender_leaves_the_allowance() {
        const permit_use use = asking_for(9, 0, 0);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(use, tenant_with(60, 20), std::chrono::seconds(4)).needed);
        CPPUNIT_ASSERT_EQUAL(9.0, lent(use, tenant_with(60, 20), std::chrono::seconds(5)).needed);
    }

    void waiting_times_follow_the_pace_of_the_limit() {
        // 60 in five seconds are 12 a second.
        CPPUNIT_ASSERT_EQUAL(500U, time_to_free_ms(tenant_with(0, 0), 6, quota_rules{}));
        CPPUNIT_ASSERT_EQUAL(50U, time_to_free_ms(tenant_with(0, 0), 0, quota_rules{}));
    }

    void nothing_is_lent_beyond_the_bound() {
        check_property("all that is lent stays within the bound", [] {
            const auto number = [](std::uint32_t most) {
                return *rc::gen::inRange<std::uint32_t>(0, most);
            };
            const limit_use tenant = tenant_with(number(100), number(100));
            permit_use use = asking_for(number(200), number(200), number(200));
            use.ceiling = number(100);
            const duration running_for = std::chrono::milliseconds(number(8'000));
            const lendable open = lent(use, tenant, running_for);
            const double left = std::max(0.0, tenant.bound - static_cast<double>(tenant.counted));
            RC_ASSERT(open.needed >= 0 && open.beginning >= 0 && open.spare >= 0);
            RC_ASSERT(open.needed + open.beginning + open.spare <= left);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_rule_test);

}  // namespace tallyfold::tests
