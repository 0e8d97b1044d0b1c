#include "tallyfold/listing/list_duty.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using listing::list_duty;

class list_duty_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(list_duty_test);
    CPPUNIT_TEST(the_leader_reads);
    CPPUNIT_TEST(a_node_that_knows_no_list_reads);
    CPPUNIT_TEST(successors_take_over_one_after_the_other);
    CPPUNIT_TEST_SUITE_END();

    static duration after(int milliseconds) { return std::chrono::milliseconds(milliseconds); }

    void the_leader_reads() { CPPUNIT_ASSERT((list_duty{true, true, after(0), 0}.reads())); }

    void a_node_that_knows_no_list_reads() {
        CPPUNIT_ASSERT((list_duty{false, false, after(0), 4}.reads()));
    }

    void successors_take_over_one_after_the_other() {
        CPPUNIT_ASSERT(!(list_duty{false, true, after(1'300), 0}.reads()));
        CPPUNIT_ASSERT((list_duty{false, true, after(1'600), 0}.reads()));
        CPPUNIT_ASSERT(!(list_duty{false, true, after(1'600), 1}.reads()));
        CPPUNIT_ASSERT((list_duty{false, true, after(1'700), 1}.reads()));
        CPPUNIT_ASSERT(!(list_duty{false, true, after(2'200), 5}.reads()));
        CPPUNIT_ASSERT((list_duty{false, true, after(2'300), 5}.reads()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(list_duty_test);

}  // namespace tallyfold::tests
