#include "tallyfold/plane/tenants/permit_lender.hpp"

#include "tests/plane/tenants/quota_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class permit_lender_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(permit_lender_test);
    CPPUNIT_TEST(new_programs_leave_the_last_permits_to_those_under_way);
    CPPUNIT_TEST(absurd_and_doubled_reports_do_no_harm);
    CPPUNIT_TEST_SUITE_END();

    static permit_report first_report(std::uint64_t question, permit_use use) {
        permit_report report;
        report.node = "n";
        report.life = 1;
        report.question = question;
        report.whole = true;
        report.uses = {std::move(use)};
        return report;
    }

    static permit_lender settled_keeper() {
        permit_lender lender{quota_rules{}};
        lender.use({limited_tenant("t", 10, 10)});
        lender.start(beginning - std::chrono::seconds(1));
        return lender;
    }

    void new_programs_leave_the_last_permits_to_those_under_way() {
        permit_lender lender = settled_keeper();
        // 55 of 60 are spent: nothing for what begins, the rest for what is under way.
        permit_use use{"t", 55, 55, 55, 0, 1, 3};
        const permit_answer later = lender.answer(first_report(1, use), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{55}, later.grants.front().ceiling);
        // 45 are open to new programs; 11 come back at 12 a second.
        CPPUNIT_ASSERT_EQUAL(916U, later.grants.front().retry_new_program_after_ms);
        CPPUNIT_ASSERT_EQUAL(0U, later.grants.front().retry_after_ms);
        use.needed = 2;
        const permit_answer answer = lender.answer(first_report(2, use), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{57}, answer.grants.front().ceiling);
        use.needed = 9;
        const permit_answer refused = lender.answer(first_report(3, use), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, refused.grants.front().ceiling);
        CPPUNIT_ASSERT(refused.grants.front().retry_after_ms > 0);
    }

    void absurd_and_doubled_reports_do_no_harm() {
        permit_lender lender = settled_keeper();
        const permit_use use{"t", 5, 9, 5, 0, 0, 0};
        CPPUNIT_ASSERT(lender.answer(first_report(7, use), beginning).outcome ==
                       permit_outcome::granted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, lender.in_use("t"));
        // The same again, and an older one.
        CPPUNIT_ASSERT(lender.answer(first_report(7, use), beginning).outcome ==
                       permit_outcome::wants_whole);
        CPPUNIT_ASSERT(lender.answer(first_report(3, use), beginning).outcome ==
                       permit_outcome::wants_whole);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, lender.in_use("t"));
        // A part of a report from a node that the lender doesn't know.
        permit_report part = first_report(8, use);
        part.life = 2;
        part.whole = false;
        CPPUNIT_ASSERT(lender.answer(part, beginning).outcome == permit_outcome::wants_whole);
        // Nobody's permits, and more than there are.
        const permit_answer unknown =
            lender.answer(first_report(9, {"nobody", 1, 500, 1, 10, 0, 10}), beginning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, unknown.grants.front().ceiling);
        const permit_answer absurd = lender.answer(
            first_report(10, {"t", 0, 0, 0, 4'000'000'000U, 0, 4'000'000'000U}), beginning);
        CPPUNIT_ASSERT(absurd.grants.front().ceiling <= 60);
        lender.expire(beginning + std::chrono::seconds(8));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lender.in_use("t"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_lender_test);

}  // namespace tallyfold::tests
