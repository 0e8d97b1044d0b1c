#include "tallyfold/plane/tenants/spent_window.hpp"

#include "tallyfold/plane/tenants/permit_holder.hpp"
#include "tests/plane/tenants/quota_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class spent_window_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(spent_window_test);
    CPPUNIT_TEST(one_given_back_leaves_the_newer_one_counted);
    CPPUNIT_TEST(one_that_has_left_the_window_frees_nothing);
    CPPUNIT_TEST_SUITE_END();

    // Two permits were spent, at 0 s and at 3 s, and the first was given back at 3 s, since its
    // call had waited and was never sent. At 5.5 s the window held the second one, and 0 were
    // counted. Cause: a permit was taken out of the newest slot that held one, whenever it had been
    // spent, so the slot of 3 s lost its permit, and the one of 0 s, which nobody held any more,
    // was counted until it left the window.
    void one_given_back_leaves_the_newer_one_counted() {
        spent_window spent(std::chrono::seconds(5));
        const instant later = beginning + std::chrono::seconds(3);
        spent.add(beginning);
        spent.add(later);
        CPPUNIT_ASSERT(spent.take_back(beginning, later));
        CPPUNIT_ASSERT_EQUAL(1U, spent.count(beginning + milliseconds(5'500)));
        CPPUNIT_ASSERT_EQUAL(0U, spent.count(beginning + milliseconds(8'300)));
    }

    // A permit that had left the window was given back: the node counted one spent less below the
    // ceiling that it had been lent, and so could spend one that the lender counted nowhere.
    void one_that_has_left_the_window_frees_nothing() {
        permit_holder holder(quota_rules{}, "n", 1);
        permit_lender lender{quota_rules{}};
        holder.use({limited_tenant("t", 10, 10)});
        lender.use({limited_tenant("t", 10, 10)});
        lender.start(beginning - std::chrono::seconds(10));
        const auto exchange = [&](instant now) {
            holder.apply(lender.answer(holder.report(now), now), now);
        };
        holder.begin_wait("t", permit_need::under_way);
        exchange(beginning);
        holder.end_wait("t", permit_need::under_way);
        CPPUNIT_ASSERT(holder.take("t", beginning));
        const instant later = beginning + std::chrono::seconds(6);
        exchange(later);
        const std::uint64_t counted = lender.in_use("t");
        CPPUNIT_ASSERT(!holder.give_back("t", beginning, later));
        std::uint64_t taken = 0;
        while (holder.take("t", later)) {
            ++taken;
        }
        CPPUNIT_ASSERT(taken <= counted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spent_window_test);

}  // namespace tallyfold::tests
