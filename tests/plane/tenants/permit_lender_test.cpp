#include "tallyfold/plane/tenants/permit_lender.hpp"

#include "tests/plane/tenants/quota_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class permit_lender_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(permit_lender_test);
    CPPUNIT_TEST(last_permits_are_reserved_for_running_programs);
    CPPUNIT_TEST(invalid_and_repeated_reports_do_no_harm);
    CPPUNIT_TEST(lends_at_the_rate_after_a_burst);
    CPPUNIT_TEST(permits_of_the_previous_lender_do_not_count_as_lent);
    CPPUNIT_TEST(readded_tenant_includes_permits_held_by_nodes);
    CPPUNIT_TEST_SUITE_END();

    static permit_report first_report(std::uint64_t sequence, permit_use use) {
        permit_report report;
        report.node = "n";
        report.process_id = 1;
        report.sequence = sequence;
        report.is_full = true;
        report.uses = {std::move(use)};
        return report;
    }

    static permit_lender settled_lender() {
        permit_lender lender{quota_rules{}};
        lender.use({limited_tenant("t", 10, 10)});
        lender.start(start_time - std::chrono::seconds(1));
        return lender;
    }

    void last_permits_are_reserved_for_running_programs() {
        permit_lender lender = settled_lender();
        // 55 of 60 are spent: none are left for new programs, five for running ones.
        permit_use use{"t", 55, 55, 55, 0, 1, 3};
        const permit_answer later = lender.answer(first_report(1, use), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{55}, later.grants.front().spent_limit);
        // New programs may use 45; 11 permits are free again at 12 a second.
        CPPUNIT_ASSERT_EQUAL(916U, later.grants.front().retry_new_program_after_ms);
        CPPUNIT_ASSERT_EQUAL(0U, later.grants.front().retry_after_ms);
        use.waiting_running = 2;
        const permit_answer answer = lender.answer(first_report(2, use), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{57}, answer.grants.front().spent_limit);
        use.waiting_running = 9;
        const permit_answer refused = lender.answer(first_report(3, use), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, refused.grants.front().spent_limit);
        CPPUNIT_ASSERT(refused.grants.front().retry_after_ms > 0);
    }

    /// Permits granted to a node that has spent all it had and requests `needed`.
    static std::uint64_t granted(permit_lender& lender, std::uint64_t sequence, std::uint64_t spent,
                                 std::uint32_t needed, instant now) {
        const permit_use use{"t", spent, spent, static_cast<std::uint32_t>(spent), needed, 0, 0};
        const permit_answer answer = lender.answer(first_report(sequence, use), now);
        return answer.grants.empty() ? 0 : answer.grants.front().spent_limit - spent;
    }

    void lends_at_the_rate_after_a_burst() {
        permit_lender lender{quota_rules{}};
        lender.use({limited_tenant("t", 10, 10)});
        lender.start(start_time - std::chrono::seconds(10));
        // The bound is 86, so 33 may be lent at once, and 10 a second after that.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{33}, granted(lender, 1, 0, 60, start_time));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, granted(lender, 2, 33, 60, start_time));
        const instant later = start_time + std::chrono::seconds(1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, granted(lender, 3, 33, 60, later));
    }

    void permits_of_the_previous_lender_do_not_count_as_lent() {
        permit_lender lender{quota_rules{}};
        lender.use({limited_tenant("t", 10, 10)});
        lender.start(start_time);
        const instant later = start_time + std::chrono::seconds(1);
        // The node returns seven unused permits of the previous lender, which are lent again in
        // addition to the rate.
        lender.answer(first_report(1, {"t", 20, 27, 20, 0, 0, 9}), later);
        lender.answer(first_report(2, {"t", 20, 20, 20, 0, 0, 0}), later);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, granted(lender, 3, 20, 60, later));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, granted(lender, 4, 37, 60, later));
    }

    void readded_tenant_includes_permits_held_by_nodes() {
        permit_lender lender = settled_lender();
        lender.answer(first_report(1, {"t", 5, 9, 5, 0, 0, 0}), start_time);
        lender.use({limited_tenant("another", 10, 10)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lender.in_use("t"));
        lender.use({limited_tenant("t", 10, 10)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, lender.in_use("t"));
    }

    void invalid_and_repeated_reports_do_no_harm() {
        permit_lender lender = settled_lender();
        const permit_use use{"t", 5, 9, 5, 0, 0, 0};
        CPPUNIT_ASSERT(lender.answer(first_report(7, use), start_time).outcome ==
                       permit_outcome::granted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, lender.in_use("t"));
        // A repeated report, and an older one.
        CPPUNIT_ASSERT(lender.answer(first_report(7, use), start_time).outcome ==
                       permit_outcome::full_report_required);
        CPPUNIT_ASSERT(lender.answer(first_report(3, use), start_time).outcome ==
                       permit_outcome::full_report_required);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, lender.in_use("t"));
        // A partial report from an unknown process of the node.
        permit_report part = first_report(8, use);
        part.process_id = 2;
        part.is_full = false;
        CPPUNIT_ASSERT(lender.answer(part, start_time).outcome ==
                       permit_outcome::full_report_required);
        // An unknown tenant, and more permits than the limit.
        const permit_answer unknown =
            lender.answer(first_report(9, {"nobody", 1, 500, 1, 10, 0, 10}), start_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unknown.grants.front().spent_limit);
        const permit_answer absurd = lender.answer(
            first_report(10, {"t", 0, 0, 0, 4'000'000'000U, 0, 4'000'000'000U}), start_time);
        CPPUNIT_ASSERT(absurd.grants.front().spent_limit <= 60);
        lender.expire(start_time + std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lender.in_use("t"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_lender_test);

}  // namespace tallyfold::tests
