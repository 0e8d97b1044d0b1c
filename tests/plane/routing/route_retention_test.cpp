#include "tallyfold/plane/routing/configuration.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class route_retention_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(route_retention_test);
    CPPUNIT_TEST(retention_is_exact_to_the_millisecond);
    CPPUNIT_TEST(retention_is_bounded_by_what_records_hold);
    CPPUNIT_TEST_SUITE_END();

    static duration retention_of(double seconds) {
        routing::route route;
        route.retention_seconds = seconds;
        return route.retention();
    }

    void retention_is_exact_to_the_millisecond() {
        CPPUNIT_ASSERT(retention_of(0) == duration::zero());
        CPPUNIT_ASSERT(retention_of(60.5) == std::chrono::milliseconds(60'500));
    }

    void retention_is_bounded_by_what_records_hold() {
        constexpr std::chrono::milliseconds largest(4'294'967'295);
        CPPUNIT_ASSERT(retention_of(4'294'967.295) == largest);
        CPPUNIT_ASSERT(retention_of(4'294'967.296) == largest);
        CPPUNIT_ASSERT(retention_of(1e10) == largest);
        CPPUNIT_ASSERT(retention_of(1e300) == largest);
        CPPUNIT_ASSERT(retention_of(-1) == duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_retention_test);

}  // namespace tallyfold::tests
