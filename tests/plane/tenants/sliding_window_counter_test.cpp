#include "tallyfold/plane/tenants/sliding_window_counter.hpp"

#include "tallyfold/plane/tenants/permit_holder.hpp"
#include "tests/plane/tenants/quota_world.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class sliding_window_counter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sliding_window_counter_test);
    CPPUNIT_TEST(a_returned_permit_leaves_the_newer_one_counted);
    CPPUNIT_TEST(a_permit_outside_the_window_is_not_returned);
    CPPUNIT_TEST_SUITE_END();

    // A returned permit must be removed from its own slot. Removed from a newer slot, it left the
    // later permit uncounted.
    void a_returned_permit_leaves_the_newer_one_counted() {
        sliding_window_counter spent(std::chrono::seconds(5));
        const instant later = start_time + std::chrono::seconds(3);
        spent.add(start_time);
        spent.add(later);
        CPPUNIT_ASSERT(spent.remove_at(start_time, later));
        CPPUNIT_ASSERT_EQUAL(1U, spent.count(start_time + milliseconds(5'500)));
        CPPUNIT_ASSERT_EQUAL(0U, spent.count(start_time + milliseconds(8'300)));
    }

    // A permit that is returned after it has left the window must not allow another one to be
    // spent, since the lender counts that one nowhere.
    void a_permit_outside_the_window_is_not_returned() {
        permit_holder holder(quota_rules{}, "n", 1);
        permit_lender lender{quota_rules{}};
        holder.use({limited_tenant("t", 10, 10)});
        lender.use({limited_tenant("t", 10, 10)});
        lender.start(start_time - std::chrono::seconds(10));
        const auto exchange = [&](instant now) {
            holder.apply(lender.answer(holder.report(now), now), now);
        };
        holder.begin_wait("t", permit_need::running_program);
        exchange(start_time);
        holder.end_wait("t", permit_need::running_program);
        CPPUNIT_ASSERT(holder.try_acquire("t", start_time));
        const instant later = start_time + std::chrono::seconds(6);
        exchange(later);
        const std::uint64_t counted = lender.in_use("t");
        CPPUNIT_ASSERT(!holder.release("t", start_time, later));
        std::uint64_t taken = 0;
        while (holder.try_acquire("t", later)) {
            ++taken;
        }
        CPPUNIT_ASSERT(taken <= counted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sliding_window_counter_test);

}  // namespace tallyfold::tests
