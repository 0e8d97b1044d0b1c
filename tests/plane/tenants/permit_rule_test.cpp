#include "tallyfold/plane/tenants/permit_rule.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace tenants;

class permit_rule_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(permit_rule_test);
    CPPUNIT_TEST(running_programs_may_use_the_whole_limit);
    CPPUNIT_TEST(new_programs_leave_the_reserved_share);
    CPPUNIT_TEST(permits_lent_elsewhere_count_against_the_bound_only);
    CPPUNIT_TEST(only_the_rate_is_lent_while_settling);
    CPPUNIT_TEST(a_node_keeps_its_permits_while_settling);
    CPPUNIT_TEST(the_allowance_is_not_lent_in_the_first_window);
    CPPUNIT_TEST(lends_at_the_rate_in_the_first_window);
    CPPUNIT_TEST(a_node_keeps_its_permits_in_the_first_window);
    CPPUNIT_TEST(the_token_bucket_limits_lending_and_reserves_a_share);
    CPPUNIT_TEST(the_tolerated_burst_plus_the_rate_for_a_window_is_the_bound);
    CPPUNIT_TEST(retry_delays_follow_the_rate_of_the_limit);
    CPPUNIT_TEST(nothing_is_lent_beyond_the_bound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration long_ago = std::chrono::seconds(60);

    /// Rate 10 a second and burst 10: limit 60 in a window, bound 86 with the allowance.
    static limit_use tenant_with(std::uint64_t counted, std::uint64_t spent) {
        return {10, 60, 86, counted, spent, 0};
    }
    static permit_use asking_for(std::uint32_t waiting_running, std::uint32_t waiting_new,
                                 std::uint32_t spare_wanted) {
        return {"t", 0, 0, 0, waiting_running, waiting_new, spare_wanted};
    }
    static granted_permits lent(const permit_use& use, const limit_use& tenant,
                                duration running_for = long_ago) {
        return lendable_permits(use, tenant, running_for, quota_rules{});
    }

    void running_programs_may_use_the_whole_limit() {
        CPPUNIT_ASSERT_EQUAL(5.0, lent(asking_for(9, 0, 0), tenant_with(55, 55)).needed);
    }

    void new_programs_leave_the_reserved_share() {
        const granted_permits open = lent(asking_for(0, 9, 9), tenant_with(40, 40));
        CPPUNIT_ASSERT_EQUAL(5.0, open.beginning);
        CPPUNIT_ASSERT_EQUAL(0.0, open.spare);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(0, 9, 9), tenant_with(45, 45)).beginning);
        // Calls of running programs are served first.
        CPPUNIT_ASSERT_EQUAL(2.0, lent(asking_for(3, 9, 0), tenant_with(40, 40)).beginning);
    }

    void permits_lent_elsewhere_count_against_the_bound_only() {
        // 20 are spent, and 50 more are lent to other nodes.
        const granted_permits open = lent(asking_for(9, 0, 9), tenant_with(70, 20));
        CPPUNIT_ASSERT_EQUAL(9.0, open.needed);
        CPPUNIT_ASSERT_EQUAL(7.0, open.spare);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(9, 0, 9), tenant_with(86, 20)).needed);
    }

    void only_the_rate_is_lent_while_settling() {
        const duration early = std::chrono::milliseconds(300);
        CPPUNIT_ASSERT_EQUAL(3.0, lent(asking_for(9, 9, 0), tenant_with(0, 0), early).needed);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(9, 9, 0), tenant_with(0, 0), early).beginning);
        limit_use granted = tenant_with(0, 0);
        granted.lent_since_start = 2;
        CPPUNIT_ASSERT_EQUAL(1.0, lent(asking_for(9, 0, 0), granted, early).needed);
    }

    void a_node_keeps_its_permits_while_settling() {
        permit_use use = asking_for(0, 0, 9);
        use.spent = 10;
        use.spent_limit = 14;
        CPPUNIT_ASSERT_EQUAL(4.0, lent(use, tenant_with(0, 0), duration::zero()).spare);
    }

    void the_allowance_is_not_lent_in_the_first_window() {
        const permit_use use = asking_for(9, 0, 0);
        CPPUNIT_ASSERT_EQUAL(0.0, lent(use, tenant_with(60, 20), std::chrono::seconds(4)).needed);
        CPPUNIT_ASSERT_EQUAL(9.0, lent(use, tenant_with(60, 20), std::chrono::seconds(5)).needed);
    }

    void lends_at_the_rate_in_the_first_window() {
        const duration early = std::chrono::seconds(2);
        const permit_use use = asking_for(50, 0, 0);
        CPPUNIT_ASSERT_EQUAL(20.0, lent(use, tenant_with(0, 0), early).needed);
        limit_use tenant = tenant_with(0, 0);
        tenant.lent_since_start = 17;
        CPPUNIT_ASSERT_EQUAL(3.0, lent(use, tenant, early).needed);
        CPPUNIT_ASSERT_EQUAL(50.0, lent(use, tenant, std::chrono::seconds(5)).needed);
        // New programs get three quarters of what is left.
        tenant.lent_since_start = 12;
        CPPUNIT_ASSERT_EQUAL(6.0, lent(asking_for(0, 50, 0), tenant, early).beginning);
    }

    void a_node_keeps_its_permits_in_the_first_window() {
        permit_use use = asking_for(0, 0, 9);
        use.spent = 10;
        use.spent_limit = 14;
        limit_use tenant = tenant_with(0, 0);
        tenant.lent_since_start = 99;
        CPPUNIT_ASSERT_EQUAL(4.0, lent(use, tenant, std::chrono::seconds(1)).spare);
    }

    void the_token_bucket_limits_lending_and_reserves_a_share() {
        limit_use tenant = tenant_with(0, 0);
        tenant.burst_tolerance = 20;
        tenant.left_by_token_bucket = 12.5;
        CPPUNIT_ASSERT_EQUAL(12.0, lent(asking_for(50, 9, 9), tenant).needed);
        const granted_permits open = lent(asking_for(0, 4, 9), tenant);
        CPPUNIT_ASSERT_EQUAL(4.0, open.beginning);
        CPPUNIT_ASSERT_EQUAL(3.0, open.spare);
        tenant.left_by_token_bucket = -3;
        CPPUNIT_ASSERT_EQUAL(0.0, lent(asking_for(9, 9, 9), tenant).needed);
    }

    void the_tolerated_burst_plus_the_rate_for_a_window_is_the_bound() {
        const duration slot = std::chrono::milliseconds(250);
        // 86 - 50, less 2.5 for the slot.
        CPPUNIT_ASSERT_EQUAL(33.5, burst_tolerance_for(tenant_with(0, 0), quota_rules{}, slot));
        // Without allowance and burst, some permits must be lent all the same.
        const limit_use narrow{10, 50, 50, 0, 0, 0};
        CPPUNIT_ASSERT_EQUAL(3.5, burst_tolerance_for(narrow, quota_rules{}, slot));
    }

    void retry_delays_follow_the_rate_of_the_limit() {
        // 60 in five seconds are 12 a second.
        CPPUNIT_ASSERT_EQUAL(500U, time_to_free_ms(tenant_with(0, 0), 6, quota_rules{}));
        CPPUNIT_ASSERT_EQUAL(50U, time_to_free_ms(tenant_with(0, 0), 0, quota_rules{}));
    }

    void nothing_is_lent_beyond_the_bound() {
        check_property("lent permits stay within the bound", [] {
            const auto number = [](std::uint32_t most) {
                return *rc::gen::inRange<std::uint32_t>(0, most);
            };
            const limit_use tenant = tenant_with(number(100), number(100));
            permit_use use = asking_for(number(200), number(200), number(200));
            use.spent_limit = number(100);
            const duration running_for = std::chrono::milliseconds(number(8'000));
            const granted_permits open = lent(use, tenant, running_for);
            const double left = std::max(0.0, tenant.bound - static_cast<double>(tenant.counted));
            RC_ASSERT(open.needed >= 0 && open.beginning >= 0 && open.spare >= 0);
            RC_ASSERT(open.needed + open.beginning + open.spare <= left);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_rule_test);

}  // namespace tallyfold::tests
